"""Append-only journal whose frames are each written and synced as one."""

import struct
from dataclasses import dataclass
from zlib import crc32

from ._files import FileSystem

_FRAME = struct.Struct(">II")
_CHECK = struct.Struct(">I")
HEADER_BYTES = _FRAME.size + _CHECK.size


class CorruptionError(Exception):
    """A journal or snapshot is damaged at a place that had been synced."""

    def __init__(self, name: str, offset: int, reason: str):
        super().__init__(f"file {name!r} is damaged at offset {offset}: {reason}")
        self.name = name
        self.offset = offset


@dataclass(frozen=True, slots=True)
class TornTail:
    """An unfinished last frame that recovery cut off."""

    name: str
    offset: int
    dropped: int


@dataclass(frozen=True, slots=True)
class Recovery:
    """The frames of a journal and what was cut from its end."""

    frames: tuple[bytes, ...]
    torn: TornTail | None


def encode_frame(content: bytes) -> bytes:
    """Return a frame: length, checksum of the content, checksum of these two, content."""
    head = _FRAME.pack(len(content), crc32(content))
    return head + _CHECK.pack(crc32(head)) + content


class Journal:
    """One journal file.

    Parameters
    ----------
    files : FileSystem
        Where the file lives.
    name : str
        The file's name.

    Notes
    -----
    A frame holds everything of one sync. A torn write can therefore only be the last frame,
    whatever part of it reached the disk; damage before a whole frame had been synced, so recovery
    refuses to go on.
    """

    def __init__(self, files: FileSystem, name: str):
        self.files = files
        self.name = name

    def append(self, content: bytes) -> None:
        """Write one frame and make it last."""
        self.files.append(self.name, encode_frame(content))
        self.files.sync(self.name)

    def recover(self) -> Recovery:
        """Read all frames and cut an unfinished last one.

        Raises
        ------
        CorruptionError
            If a frame before the last one is damaged.
        """
        content = self.files.read(self.name)
        frames = []
        offset = 0
        while offset < len(content):
            frame = self._read_frame(content, offset)
            if frame is None:
                return Recovery(tuple(frames), self._cut(content, offset))
            frames.append(frame)
            offset += HEADER_BYTES + len(frame)
        return Recovery(tuple(frames), None)

    def _read_frame(self, content: bytes, offset: int) -> bytes | None:
        """Return the frame at an offset, or None if it is a torn tail."""
        header = content[offset : offset + HEADER_BYTES]
        if len(header) < HEADER_BYTES or not any(content[offset:]):
            return None
        length, checksum = _FRAME.unpack_from(header)
        (header_checksum,) = _CHECK.unpack_from(header, _FRAME.size)
        if crc32(header[: _FRAME.size]) != header_checksum:
            if self._has_frame_after(content, offset):
                raise CorruptionError(self.name, offset, "frame header checksum does not match")
            return None
        end = offset + HEADER_BYTES + length
        frame = content[offset + HEADER_BYTES : end]
        if len(frame) == length and crc32(frame) == checksum:
            return frame
        if end < len(content) and self._has_frame_after(content, offset):
            raise CorruptionError(self.name, offset, "frame checksum does not match")
        return None

    def _has_frame_after(self, content: bytes, offset: int) -> bool:
        """Tell whether a whole frame follows, so that what stands before it was synced."""
        for place in range(offset + 1, len(content) - HEADER_BYTES + 1):
            length, checksum = _FRAME.unpack_from(content, place)
            head = content[place : place + _FRAME.size]
            (header_checksum,) = _CHECK.unpack_from(content, place + _FRAME.size)
            start = place + HEADER_BYTES
            is_head = crc32(head) == header_checksum and start + length <= len(content)
            if is_head and crc32(content[start : start + length]) == checksum:
                return True
        return False

    def _cut(self, content: bytes, offset: int) -> TornTail:
        self.files.truncate(self.name, offset)
        self.files.sync(self.name)
        return TornTail(self.name, offset, len(content) - offset)
