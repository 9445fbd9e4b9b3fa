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
    """A message with the other fields of its envelope.

    Attributes
    ----------
    message : Message
        The content.
    call : int
        Number that matches a reply to its call; 0 for a one-way message.
    is_reply : bool
        Whether the message answers a call.
    stamp : int
        The sender's hybrid logical time; 0 in a handshake.
    """

    message: Message
    call: int = 0
    is_reply: bool = False
    stamp: int = 0


class FrameCodec:
    """Encodes frames, and reads them from a byte stream.

    Parameters
    ----------
    codec : ThriftCodec
        Encodes and decodes the messages.
    """

    def __init__(self, codec: ThriftCodec):
        self.codec = codec

    def encode(self, frame: Frame) -> bytes:
        """Return a frame as bytes with a length prefix; raise ``FrameError`` if it is too long."""
        envelope = ttypes.Envelope(
            stamp=frame.stamp,
            call=frame.call,
            is_reply=frame.is_reply,
            body=self.codec.to_body(frame.message),
        )
        content = self.codec.write_struct(envelope)
        if len(content) > MAXIMUM_FRAME_BYTES:
            raise FrameError(
                f"frame of {len(content)} bytes exceeds the limit of {MAXIMUM_FRAME_BYTES}"
            )
        return _LENGTH.pack(len(content)) + content

    async def read(self, reader: StreamReader, limit: int = MAXIMUM_FRAME_BYTES) -> Frame | None:
        """Return the next frame, or None if the connection was closed or reset.

        Parameters
        ----------
        reader : StreamReader
            The stream.
        limit : int
            Maximum length of the frame in bytes, without the length prefix.

        Raises
        ------
        FrameError
            If the frame is malformed or longer than ``limit``.
        """
        try:
            (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
            if length > limit:
                raise FrameError(f"frame of {length} bytes exceeds the limit of {limit}")
            content = await reader.readexactly(length)
        except (IncompleteReadError, ConnectionError):
            return None
        envelope = self.codec.read_struct(ttypes.Envelope, content)
        message = self.codec.from_body(envelope.body)
        return Frame(message, envelope.call or 0, bool(envelope.is_reply), envelope.stamp or 0)
