"""Reads and writes HTTP/1.1 messages on a byte stream."""

import asyncio
from dataclasses import dataclass

MAXIMUM_HEAD_BYTES = 64 << 10


@dataclass(frozen=True, slots=True)
class Message:
    """The first line, the headers (names in lower case) and the body of a message."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader, *, has_body: bool = True) -> Message | None:
    """Return the next message, or None if the stream ends before one begins.

    Raises
    ------
    ConnectionError
        If the stream ends within a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the message ended within its head") from error
        return None
    start, *lines = head.decode("latin-1")[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    try:
        if has_body and headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        elif has_body and "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the message ended within its body") from error
    return Message(start, headers, body)


def write_message(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message, with the length of its body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:size]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return bytes(body)
