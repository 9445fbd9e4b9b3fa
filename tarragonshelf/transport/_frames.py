"""Length-prefixed frames on a byte stream."""

import struct
from asyncio import IncompleteReadError, StreamReader
from dataclasses import dataclass

from ..base import FrameError, Message
from ._codec import ThriftCodec
from .generated import ttypes

_LENGTH = struct.Struct(">I")
MAXIMUM_FRAME_BYTES = 16 << 20
MAXIMUM_HANDSHAKE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with its place in a conversation; ``call`` is 0 for a one-way message."""

    message: Message
    call: int = 0
    is_reply: bool = False
    stamp: int = 0


class FrameCodec:
    """Writes and reads frames.

    Parameters
    ----------
    codec : ThriftCodec
        Encodes the messages.
    """

    def __init__(self, codec: ThriftCodec):
        self.codec = codec

    def write(self, frame: Frame) -> bytes:
        """Return a frame's bytes with their length in front; raises ``FrameError``."""
        envelope = ttypes.Envelope(
            stamp=frame.stamp,
            call=frame.call,
            is_reply=frame.is_reply,
            body=self.codec.to_body(frame.message),
        )
        content = self.codec.write_struct(envelope)
        if len(content) > MAXIMUM_FRAME_BYTES:
            raise FrameError(f"a frame of {len(content)} bytes exceeds {MAXIMUM_FRAME_BYTES}")
        return _LENGTH.pack(len(content)) + content

    async def read(self, reader: StreamReader, limit: int = MAXIMUM_FRAME_BYTES) -> Frame | None:
        """Return the next frame, or None at the end; raises ``FrameError``."""
        try:
            (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
            if length > limit:
                raise FrameError(f"a frame of {length} bytes exceeds {limit}")
            content = await reader.readexactly(length)
        except (IncompleteReadError, ConnectionError):
            return None
        envelope = self.codec.read_struct(ttypes.Envelope, content)
        message = self.codec.from_body(envelope.body)
        return Frame(message, envelope.call or 0, bool(envelope.is_reply), envelope.stamp or 0)
