"""Tells a target that reads a request slowly from one that acknowledges nothing any more."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from ..transport import USER_TIMEOUT_MILLISECONDS, set_user_timeout

# Smaller requests fit into the receive window of a target that reads nothing yet.
WATCHED_BODY_BYTES = 32 << 10
SILENCE_SECONDS = USER_TIMEOUT_MILLISECONDS / 1000
CHECK_INTERVAL_SECONDS = 0.25
# A window probe is unanswered for a round trip in any case.
MINIMUM_PROBES = 2
# Part of Linux's ``struct tcp_info``: state, number of unanswered window probes, retransmission
# time-out, number of segments in flight, and milliseconds since the last acknowledgement.
_TCP_INFO = struct.Struct("=B2xB4xI12xI28xI")
_ESTABLISHED = 1


@dataclass(frozen=True, slots=True)
class SendingState:
    """What the kernel knows of the peer's acknowledgements.

    ``seconds`` is the time since the last one.
    """

    segments_in_flight: int
    unanswered_probes: int
    seconds: float


def read_sending_state(sock: socket.socket) -> SendingState | None:
    """Return the state of an open connection, or None where the kernel does not tell it."""
    if not hasattr(socket, "TCP_INFO"):
        return None
    try:
        content = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return None
    if len(content) < _TCP_INFO.size:
        return None
    state, probes, timeout, in_flight, milliseconds = _TCP_INFO.unpack(content)
    if state != _ESTABLISHED or not timeout:
        return None
    return SendingState(in_flight, probes, milliseconds / 1000)


class SilenceDetector:
    """Decides whether a peer that should acknowledge something has been silent for too long.

    A peer that reads nothing closes its receive window, but goes on to answer window probes.
    """

    def __init__(self):
        self._waiting_since: float | None = None

    def is_silent(self, now: float, state: SendingState) -> bool:
        """Return whether nothing was acknowledged for ``SILENCE_SECONDS`` that was due."""
        if not state.segments_in_flight and state.unanswered_probes < MINIMUM_PROBES:
            self._waiting_since = None
            return False
        heard_at = now - state.seconds
        if self._waiting_since is None:
            self._waiting_since = now
        elif heard_at > self._waiting_since:
            self._waiting_since = heard_at
        return now - self._waiting_since >= SILENCE_SECONDS


class AcknowledgementWatch:
    """Takes the place of the kernel's time-out while a large request is sent.

    ``TCP_USER_TIMEOUT`` also counts the time in which the peer keeps its receive window closed.

    Parameters
    ----------
    transport : asyncio.Transport
        The connection.
    on_silence : callable
        Called once if the peer is silent.
    """

    def __init__(self, transport: asyncio.Transport, on_silence: Callable[[], None]):
        self._transport = transport
        self._on_silence = on_silence
        self._detector = SilenceDetector()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to check, unless the kernel does not tell the state of the connection."""
        if self._read_state() is not None:
            set_user_timeout(self._transport, 0)
            self._schedule()

    def stop(self) -> None:
        """Leave the connection to the kernel's time-out again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            if not self._transport.is_closing():
                set_user_timeout(self._transport)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        state = None if self._transport.is_closing() else self._read_state()
        if state is None:
            # The peer has closed its side, and the exchange ends with what it sent.
            return
        if self._detector.is_silent(asyncio.get_running_loop().time(), state):
            self._on_silence()
        else:
            self._schedule()

    def _read_state(self) -> SendingState | None:
        sock = self._transport.get_extra_info("socket")
        return None if sock is None else read_sending_state(sock)
