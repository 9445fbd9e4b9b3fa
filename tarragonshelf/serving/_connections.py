"""Connection of a caller: counts, paces and bounds its bytes before aiohttp parses them.

aiohttp's public settings bound each line and field of a head, but not the empty lines before it,
the time for it, the bytes read in one turn of the event loop, or the framing of a chunked body.
"""

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader, web

from ..buffering import (
    FRAMED_CONNECTION_BYTES,
    LARGE_READ_BYTES,
    SMALL_READ_BYTES,
    BufferBudget,
    BufferLimits,
    Holding,
    HoldingState,
    Reservation,
    choose_read_size,
    exceeds_framing_allowance,
    record_progress,
    set_state,
)
from ..catalogue import CallerLimits
from ..telemetry import Metrics
from ._memory import MemoryTrimmer, read_resident_bytes

# Limit for the request line and the empty lines before it, in addition to the catalogue's limit on
# the header fields, which is checked after parsing.
MAXIMUM_REQUEST_LINE_BYTES = 64 << 10
# Bytes of later requests that are read while one is under way. A caller that sends more is not
# read until the response, so its disconnection is noticed only then.
PIPELINED_BYTES = 64 << 10
# Header fields whose memory is part of that of a connection, and the memory of each further one:
# the objects of aiohttp and h11.
ORDINARY_FIELDS = 128
FIELD_BYTES = 512

# Share of the bytes for callers above which free memory is returned to the operating system.
TRIM_SHARE = 0.75


def is_idle(handler: web.RequestHandler) -> bool:
    """Return whether a connection waits for the head of a request.

    aiohttp has no public attribute for this. Its private ``_waiter`` is pending only until a head
    has been read, so a request whose handler has not started yet does not count as idle.
    """
    waiter = handler._waiter
    return waiter is not None and not waiter.done()


def has_parsed_head(handler: web.RequestHandler) -> bool:
    """Return whether a head was parsed whose request has not begun.

    A handler that is not waiting yet, or not again, counts as without one: its next request begins
    in the next turns of the event loop, or a part of its head is all that was received.
    """
    waiter = handler._waiter
    return waiter is not None and waiter.done()


def has_queued_request(handler: web.RequestHandler) -> bool:
    """Return whether a head was parsed whose request has not begun.

    Unlike with ``has_parsed_head``, the handler may still be writing an earlier response. aiohttp
    has no public attribute for this, either.
    """
    return bool(handler._messages)


class CallerConnections:
    """The connections of callers, and the budget that they share.

    Parameters
    ----------
    budget : BufferBudget
        Grants memory.
    get_limits : callable
        Returns the limits of the catalogue in force.
    report : callable
        Logs an event, given by its name and fields.
    metrics : Metrics
        Counts the connections that were closed, by reason.
    """

    def __init__(
        self,
        budget: BufferBudget,
        get_limits: Callable[[], CallerLimits],
        *,
        report: Callable[..., None],
        metrics: Metrics,
    ):
        self.budget = budget
        self.get_limits = get_limits
        self.report = report
        self.metrics = metrics
        self.trimmer = MemoryTrimmer()
        # Shared by all connections, as each read is copied before the next one begins.
        self.read_buffer = memoryview(bytearray(LARGE_READ_BYTES))
        self._connections: dict[Holding, CallerConnection] = {}

    def update_limits(self, limits: BufferLimits) -> None:
        """Set the limits when the process begins to serve."""
        self.budget.limits = limits
        self.trimmer.threshold_bytes = read_resident_bytes() + int(
            TRIM_SHARE * limits.maximum_bytes
        )

    def open(self, now: float, connection: "CallerConnection") -> Holding | None:
        """Return the holding of a new connection, or None if it must be closed."""
        holding, reservation = self.budget.open(now)
        self.close_evicted(reservation)
        if holding is None:
            self.report_closed("no-connection-left")
            return None
        self._connections[holding] = connection
        return holding

    def close(self, holding: Holding) -> None:
        """Forget a connection."""
        self.budget.close(holding)
        self._connections.pop(holding, None)

    def reserve(self, now: float, holding: Holding, size: int) -> bool:
        """Reserve memory for a connection, in place of those that have stalled."""
        reservation = self.budget.reserve(now, holding, size)
        self.close_evicted(reservation)
        return reservation.is_granted

    def take_framing_place(self, now: float, holding: Holding) -> bool:
        """Let a connection go beyond the framing allowance if there is a place."""
        reservation = self.budget.take_framing_place(now, holding)
        self.close_evicted(reservation)
        return reservation.is_granted

    def report_closed(self, reason: str) -> None:
        """Report a connection that was closed for a limit."""
        self.metrics.count("caller_refusals_total", ("reason", reason))
        self.report(
            "caller_closed",
            reason=reason,
            held_bytes=self.budget.held_bytes,
            connections=self.budget.connection_count,
        )

    def close_evicted(self, reservation: Reservation) -> None:
        """Close the connections that have lost their place."""
        for holding in reservation.evicted:
            connection = self._connections.pop(holding, None)
            if connection is not None:
                is_new = holding.state == HoldingState.IDLE
                connection.abort("idle-evicted" if is_new else "stalled")

    def check(self, now: float, margin: float) -> None:
        """Close connections that exceed the time-outs of the catalogue by ``margin`` seconds."""
        for connection in list(self._connections.values()):
            connection.check(now, margin)


class _Transport(asyncio.Transport):
    """The transport that aiohttp sees: pausing is shared, and written bytes are counted."""

    def __init__(self, transport: asyncio.Transport, connection: "CallerConnection"):
        super().__init__()
        self.connection = connection
        self._transport = transport

    def write(self, data) -> None:
        self._transport.write(data)
        self.connection.count_unsent()

    def writelines(self, parts) -> None:
        self._transport.writelines(parts)
        self.connection.count_unsent()

    def pause_reading(self) -> None:
        self.connection.pause(is_handler=True)

    def resume_reading(self) -> None:
        self.connection.resume(is_handler=True)

    def get_extra_info(self, name, default=None):
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def is_reading(self) -> bool:
        return self._transport.is_reading()

    def close(self) -> None:
        self._transport.close()

    def abort(self) -> None:
        self._transport.abort()

    def get_write_buffer_size(self) -> int:
        return self._transport.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._transport.get_write_buffer_limits()

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self._transport.set_write_buffer_limits(high, low)

    def set_protocol(self, protocol) -> None:
        self._transport.set_protocol(protocol)

    def get_protocol(self):
        return self._transport.get_protocol()

    def can_write_eof(self) -> bool:
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        self._transport.write_eof()


class CallerConnection(asyncio.BufferedProtocol):
    """Stands between the socket and aiohttp's handler of one connection.

    Parameters
    ----------
    connections : CallerConnections
        All connections of the server.
    handler : web.RequestHandler
        Parses the requests.
    closes_if_full : bool, optional
        Close the connection if a body of unknown size does not fit into the memory. Without it,
        the server must refuse a request for which ``is_refused`` is set.
    """

    def __init__(
        self,
        connections: CallerConnections,
        handler: web.RequestHandler,
        *,
        closes_if_full: bool = False,
    ):
        self.connections = connections
        self.closes_if_full = closes_if_full
        # Whether the request under way did not fit into the memory.
        self.is_refused = False
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._holding: Holding | None = None
        self._content: StreamReader | None = None
        self._read_size = SMALL_READ_BYTES
        self._head_bytes = 0
        self._head_began_at = 0.0
        # Bytes of the request under way as they were received, and what is reserved for it.
        self._received = 0
        self._reserved = 0
        self._received_at = 0.0
        # Bytes of its head that aiohttp holds twice.
        self._decoded = 0
        # Bytes of its body that aiohttp has parsed.
        self._body_bytes = 0
        # Bytes received up to the last byte of content.
        self._received_with_content = 0
        self._connection_bytes = 0
        # Whether the rest of a body is dropped, as the response was given before its end.
        self._is_discarding = False
        # Lines of its head, and the length of its body if that was declared.
        self._head_lines = 0
        self._declared = 0
        # Later requests, which aiohttp gets after the response.
        self._later = b""
        self._unsent = 0
        self._response_bytes = 0
        self._is_paused_by_handler = False
        self._is_paused_by_pipelining = False

    # Called by the server

    def begin(self, content: StreamReader) -> None:
        """Begin a request whose head was parsed."""
        self._content = content
        self.is_refused = False
        self._head_bytes = 0
        self._received_at = _read_time()
        if self._holding is not None:
            set_state(self._received_at, self._holding, HoldingState.RECEIVING)
            self._begin_running_if_complete()
        if self._later:
            asyncio.get_running_loop().call_soon(self._pass_later)

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for a body of known size; return False if it does not fit."""
        missing = size - self._content.total_bytes
        if self._holding is None or not self.connections.reserve(
            _read_time(), self._holding, missing
        ):
            self.is_refused = True
            return False
        self._reserved += missing
        self._declared = size
        return True

    def reserve(self, size: int) -> bool:
        """Reserve memory for a response; return False if it does not fit."""
        return self._holding is not None and self.connections.reserve(
            _read_time(), self._holding, size
        )

    def begin_running(self) -> None:
        """Keep the memory of the request until it ends."""
        if self._holding is not None:
            self.connections.budget.release_framing_place(self._holding)
            set_state(_read_time(), self._holding, HoldingState.RUNNING)

    def begin_writing(self, size: int) -> None:
        """Hold a response of known size, instead of the request, until the request ends."""
        if self._holding is not None:
            set_state(_read_time(), self._holding, HoldingState.WRITING)
            self.connections.budget.set_size(self._holding, self._connection_bytes + size)

    def record_written(self, size: int) -> None:
        """Record a part of the response that the caller has made room for."""
        if self._holding is not None:
            record_progress(_read_time(), self._holding, size)

    def _begin_running_if_complete(self) -> None:
        content, holding = self._content, self._holding
        is_complete = content is not None and content.is_eof()
        if is_complete and holding is not None and holding.state == HoldingState.RECEIVING:
            self.begin_running()

    def end(self, response_bytes: int) -> None:
        """End the request; its response, of so many bytes, is written next."""
        self._response_bytes = response_bytes
        self._is_discarding = self._content is not None and not self._content.is_eof()
        self._content = None
        self._received = self._reserved = self._decoded = 0
        self._body_bytes = self._received_with_content = 0
        self._head_lines = self._declared = 0
        self._read_size = SMALL_READ_BYTES
        if self._holding is not None:
            set_state(_read_time(), self._holding, HoldingState.IDLE)
            self.connections.budget.release_framing_place(self._holding)
            base = self._connection_bytes + response_bytes
            self.connections.budget.set_size(self._holding, base)
        if self._later:
            asyncio.get_running_loop().call_soon(self._pass_later)

    def check(self, now: float, margin: float) -> None:
        """Close the connection if its head or its body takes too long."""
        limits = self.connections.get_limits()
        self.count_unsent()
        if self._head_bytes:
            if now - self._head_began_at > limits.header_seconds + margin:
                self.abort("head-timeout")
        elif (
            self._content is not None
            and not self._content.is_eof()
            and (now - self._received_at > limits.idle_seconds + margin)
        ):
            self.abort("body-timeout")

    def abort(self, reason: str) -> None:
        """Close the connection at once."""
        self.connections.report_closed(reason)
        if self._transport is not None:
            self._transport.abort()

    # Called by aiohttp through its transport

    def pause(self, *, is_handler: bool) -> None:
        """Stop reading, on behalf of aiohttp or of the limit on later requests."""
        if is_handler:
            self._is_paused_by_handler = True
        self._transport.pause_reading()

    def resume(self, *, is_handler: bool) -> None:
        """Read again unless the other one still wants none."""
        if is_handler:
            self._is_paused_by_handler = False
            # aiohttp has parsed what it held back.
            self._begin_running_if_complete()
        if not self._is_paused_by_handler and not self._is_paused_by_pipelining:
            self._transport.resume_reading()

    def count_unsent(self) -> None:
        """Count the bytes that the transport has not sent."""
        if self._holding is None:
            return
        unsent = self._transport.get_write_buffer_size()
        if not unsent and not self._unsent and self._content is not None:
            return
        now, holding, budget = _read_time(), self._holding, self.connections.budget
        if self._content is None:
            base = self._connection_bytes + self._reserved
            if not unsent:
                self._response_bytes = 0
            # aiohttp holds the whole response until the transport has sent nearly all of it.
            budget.set_size(holding, base + self._response_bytes + unsent)
            if unsent and holding.state != HoldingState.WRITING:
                set_state(now, holding, HoldingState.WRITING)
            elif not unsent and holding.state == HoldingState.WRITING:
                set_state(now, holding, HoldingState.IDLE)
        if unsent < self._unsent:
            record_progress(now, holding, self._unsent - unsent)
        self._unsent = unsent

    # Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection if there is a place for it."""
        self._transport = transport
        self._holding = self.connections.open(_read_time(), self)
        if self._holding is None:
            transport.abort()
            return
        self._connection_bytes = self._holding.size
        self._handler.connection_made(_Transport(transport, self))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which bounds the work of one turn."""
        return self.connections.read_buffer[: self._read_size]

    def buffer_updated(self, size: int) -> None:
        """Pass received bytes to aiohttp within the limits."""
        if self._holding is None or self._transport.is_closing():
            return
        data = bytes(self.connections.read_buffer[:size])
        if self._later or self._is_complete():
            self._keep_for_later(data)
        else:
            self._pass(_read_time(), data)

    def _is_complete(self) -> bool:
        return self._content is not None and self._content.is_eof()

    def _pass(self, now: float, data: bytes) -> None:
        """Pass received bytes to aiohttp in parts, up to the end of the request under way.

        A later request would be parsed at once, and hold memory for each of its header fields.
        """
        is_body = self._content is not None and not self._is_discarding
        is_within_body = is_body and self._declared - self._content.total_bytes >= len(data)
        step = len(data) if is_within_body else SMALL_READ_BYTES
        for at in range(0, len(data), step):
            if self._holding is None or self._transport.is_closing():
                return
            is_next = self._content is None and has_queued_request(self._handler)
            if at and (is_next or self._is_complete()):
                self._keep_for_later(data[at:])
                return
            self._pass_part(now, data[at : at + step])

    def _keep_for_later(self, data: bytes) -> None:
        self._later += data
        if len(self._later) > PIPELINED_BYTES and not self._is_paused_by_pipelining:
            self._is_paused_by_pipelining = True
            self.pause(is_handler=False)

    def _pass_later(self) -> None:
        """Pass on what was kept, once a request has begun or ended."""
        if self._holding is None or self._is_complete():
            return
        later, self._later = self._later, b""
        self._pass(_read_time(), later)
        if self._is_paused_by_pipelining and len(self._later) <= PIPELINED_BYTES:
            self._is_paused_by_pipelining = False
            self.resume(is_handler=False)

    def _pass_part(self, now: float, data: bytes) -> None:
        size = len(data)
        if not self._count(now, data):
            return
        self._handler.data_received(data)
        content = self._content
        if content is not None:
            self._check_framing(now, content, size)
            self._begin_running_if_complete()
        elif has_parsed_head(self._handler):
            self._head_bytes = 0
            set_state(now, self._holding, HoldingState.RECEIVING)
        elif not self._is_discarding:
            self._count_head(now, size)

    def eof_received(self) -> bool | None:
        """Pass on the end of the stream."""
        return self._handler.eof_received() if self._holding is not None else None

    def pause_writing(self) -> None:
        """Pass on that the caller reads slowly."""
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the caller has read."""
        self.count_unsent()
        self._handler.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        """Release all memory of the connection."""
        if self._holding is None:
            return
        self.connections.close(self._holding)
        self._holding = None
        self._handler.connection_lost(error)

    # Limits

    def _count(self, now: float, data: bytes) -> bool:
        """Count received bytes; return False if the connection was closed for them."""
        content, size = self._content, len(data)
        if self._is_discarding:
            return True
        self._received += size
        self._received_at = now
        record_progress(now, self._holding, size)
        self.connections.trimmer.record(now, size)
        if content is None:
            # aiohttp keeps a head as it was received, and decoded.
            self._decoded += size
            self._head_lines += data.count(b"\n")
        fields = FIELD_BYTES * max(0, self._head_lines - ORDINARY_FIELDS)
        needed = self._received + self._decoded + fields
        if content is not None:
            # Framing is dropped once parsed; what is left of it are the chunks not read yet.
            parsed = 2 * self._decoded + fields + content.total_bytes
            needed = min(needed, parsed + size + FRAMED_CONNECTION_BYTES)
        missing = needed - self._reserved
        if missing <= 0 or self.is_refused:
            # What is received after a refusal is dropped.
            return True
        if self.connections.reserve(now, self._holding, missing):
            self._reserved += missing
            return True
        if content is None or self.closes_if_full:
            self.abort("no-memory")
            return False
        self.is_refused = True
        return True

    def _count_head(self, now: float, size: int) -> None:
        if not self._head_bytes:
            self._head_began_at = now
        self._head_bytes += size
        limit = self.connections.get_limits().maximum_header + MAXIMUM_REQUEST_LINE_BYTES
        if self._head_bytes > limit:
            self.abort("head-too-large")

    def _check_framing(self, now: float, content: StreamReader, size: int) -> None:
        body = content.total_bytes
        self._read_size = choose_read_size(size, body - self._body_bytes)
        if body > self._body_bytes:
            self._received_with_content = self._received
        self._body_bytes = body
        if content.is_eof() or not exceeds_framing_allowance(self._received, body):
            return
        # No place is given to a chunk extension without end, which the limit on bodies never ends.
        framing = self._received - self._received_with_content
        if exceeds_framing_allowance(framing, 0) or not self._take_framing_place(now):
            self.abort("framing-too-large")

    def _take_framing_place(self, now: float) -> bool:
        holding = self._holding
        if self.connections.budget.has_framing_place(holding):
            return True
        if self.is_refused or not self.connections.take_framing_place(now, holding):
            return False
        self._reserved += FRAMED_CONNECTION_BYTES
        return True


def _read_time() -> float:
    return asyncio.get_running_loop().time()
