"""Frames of one batch of effects."""

from ..base import Message
from ..utils import HybridClock
from ._connection import Connection, Link
from ._frames import Frame, FrameCodec


class Parcels:
    """Encodes each message once and writes to each connection once.

    Parameters
    ----------
    frames : FrameCodec
        Encodes the messages.
    clock : HybridClock
        Stamps the frames.
    """

    def __init__(self, frames: FrameCodec, clock: HybridClock):
        self.frames = frames
        self.clock = clock
        self._messages: dict[Connection | Link, list[Message]] = {}

    def add(self, receiver: Connection | Link, message: Message) -> None:
        """Let a one-way message wait until the batch is sent."""
        self._messages.setdefault(receiver, []).append(message)

    def send(self) -> None:
        """Send all that waits."""
        waiting, self._messages = self._messages, {}
        # Messages are told apart by identity: comparing large ones costs as much as encoding.
        encoded: dict[int, bytes] = {}
        for receiver, messages in waiting.items():
            connection = receiver.connection if isinstance(receiver, Link) else receiver
            if connection is None:
                for message in messages:
                    receiver.post(message)
                continue
            for message in messages:
                if id(message) not in encoded:
                    frame = Frame(message, stamp=self.clock.stamp())
                    encoded[id(message)] = self.frames.write(frame)
            connection.write(b"".join(encoded[id(message)] for message in messages))
