"""Length-prefixed frames on a byte stream."""

import struct
from asyncio import IncompleteReadError, StreamReader
from collections.abc import Callable
from dataclasses import dataclass

from ..base import FrameError, Message
from ._codec import ThriftCodec, UnknownMessageError
from .generated import ttypes

_LENGTH = struct.Struct(">I")
MAXIMUM_FRAME_BYTES = 16 << 20
MAXIMUM_HANDSHAKE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class UnknownMessage(Message):
    """Stands for a received message that this build does not know; it is never sent.

    ``kind`` is the number of its field in ``Body``.
    """

    kind: int
    problem: str


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
    unknown : tuple of UnknownMessage
        What this build does not know of the received content: the message itself, or items that
        were left out of it.
    """

    message: Message
    call: int = 0
    is_reply: bool = False
    stamp: int = 0
    unknown: tuple[UnknownMessage, ...] = ()


class FrameCodec:
    """Encodes frames, and reads them from a byte stream.

    Parameters
    ----------
    codec : ThriftCodec
        Encodes and decodes the messages.
    report_unknown : callable, optional
        Called by connections for each message, or part of one, that this build does not know, with
        ``link`` (role of the peer), ``peer`` (its VM), ``kind`` (number) and ``problem``.
    """

    def __init__(self, codec: ThriftCodec, report_unknown: Callable[..., None] | None = None):
        self.codec = codec
        self.report_unknown = report_unknown

    def encode(self, frame: Frame) -> bytes:
        """Return a frame as bytes with a length prefix; raise ``FrameError`` if it is too long."""
        body = self.codec.to_body(frame.message)
        return self._encode(frame.stamp, frame.call, frame.is_reply, body)

    def encode_refusal(self, call: int, kind: int, stamp: int) -> bytes:
        """Return the frame that refuses a call whose kind of message is unknown."""
        return self._encode(stamp, call, True, self.codec.create_refusal(kind))

    def _encode(self, stamp: int, call: int, is_reply: bool, body: ttypes.Body) -> bytes:
        envelope = ttypes.Envelope(stamp=stamp, call=call, is_reply=is_reply, body=body)
        content = self.codec.write_struct(envelope)
        if len(content) > MAXIMUM_FRAME_BYTES:
            raise FrameError(
                f"frame of {len(content)} bytes exceeds the limit of {MAXIMUM_FRAME_BYTES}"
            )
        return _LENGTH.pack(len(content)) + content

    async def read(self, reader: StreamReader, limit: int = MAXIMUM_FRAME_BYTES) -> Frame | None:
        """Return the next frame, or None if the connection was closed or reset.

        The message of a frame that this build does not know is an ``UnknownMessage``.

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
        envelope, message, errors = self.codec.decode_envelope(content)
        unknown = tuple(_create_unknown(error) for error in errors)
        return Frame(
            message if message is not None else unknown[0],
            envelope.call or 0,
            bool(envelope.is_reply),
            envelope.stamp or 0,
            unknown,
        )


def _create_unknown(error: UnknownMessageError) -> UnknownMessage:
    return UnknownMessage(error.kind, str(error))
