"""Batched sending of one-way messages."""

from ..base import Message
from ..utils import HybridClock
from ._connection import Connection, Link
from ._frames import Frame, FrameCodec

# Large messages that are sent repeatedly without changes, such as the list of all targets, are
# cached in their encoded form.
MINIMUM_CACHED_BYTES = 4096
MAXIMUM_CACHED_MESSAGES = 4


class MessageBatcher:
    """Sends a batch of messages, encoding each once and writing once to each connection.

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
        self._queued: dict[Connection | Link, list[Message]] = {}
        self._cached: dict[int, tuple[Message, bytes]] = {}

    def add(self, receiver: Connection | Link, message: Message) -> None:
        """Add a one-way message to the batch."""
        self._queued.setdefault(receiver, []).append(message)

    def send(self) -> None:
        """Send the batch and start a new one."""
        queued, self._queued = self._queued, {}
        # Keys are the identities of the messages, as comparing large ones costs as much as
        # encoding them. The cache refers to its messages, so that no identity is reused.
        encoded = {key: content for key, (_, content) in self._cached.items()}
        for receiver, messages in queued.items():
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
        content = self.frames.encode(Frame(message, stamp=self.clock.stamp()))
        if len(content) >= MINIMUM_CACHED_BYTES:
            self._cached[id(message)] = (message, content)
            if len(self._cached) > MAXIMUM_CACHED_MESSAGES:
                del self._cached[next(iter(self._cached))]
        return content
