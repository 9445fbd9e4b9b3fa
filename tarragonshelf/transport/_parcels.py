"""Frames of one batch of effects."""

from ..base import Message
from ..utils import HybridClock
from ._connection import Connection, Link
from ._frames import Frame, FrameCodec

# Large messages that are sent again as they were, such as all targets, stay encoded.
LARGE_BYTES = 4096
KEPT_MESSAGES = 4


class MessageBatcher:
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
        self._kept: dict[int, tuple[Message, bytes]] = {}

    def add(self, receiver: Connection | Link, message: Message) -> None:
        """Let a one-way message wait until the batch is sent."""
        self._messages.setdefault(receiver, []).append(message)

    def send(self) -> None:
        """Send all that waits."""
        waiting, self._messages = self._messages, {}
        # Messages are told apart by identity: comparing large ones costs as much as encoding.
        # Those that are kept stay alive, so that no other takes their identity.
        encoded = {key: content for key, (_, content) in self._kept.items()}
        for receiver, messages in waiting.items():
            connection = receiver.connection if isinstance(receiver, Link) else receiver
            if connection is None:
                for message in messages:
                    receiver.post(message)
                continue
            for message in messages:
                if id(message) not in encoded:
                    encoded[id(message)] = self._encode(message)
            connection.write(b"".join(encoded[id(message)] for message in messages))

    def _encode(self, message: Message) -> bytes:
        content = self.frames.write(Frame(message, stamp=self.clock.stamp()))
        if len(content) >= LARGE_BYTES:
            self._kept[id(message)] = (message, content)
            if len(self._kept) > KEPT_MESSAGES:
                del self._kept[next(iter(self._kept))]
        return content
