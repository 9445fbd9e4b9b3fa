"""Append-only journal of checksummed frames, each of which is synced to disk."""

import struct
from dataclasses import dataclass
from zlib import crc32

from ._files import FileSystem

_LENGTH_AND_CHECKSUM = struct.Struct(">II")
_HEADER_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _LENGTH_AND_CHECKSUM.size + _HEADER_CHECKSUM.size


class CorruptionError(Exception):
    """Data that had been synced to disk is damaged or missing."""

    def __init__(self, name: str, offset: int, reason: str):
        super().__init__(f"file {name!r} is damaged at offset {offset}: {reason}")
        self.name = name
        self.offset = offset


class UnreadableError(CorruptionError):
    """Intact data that this build does not know, usually as a later build wrote it."""

    def __init__(self, name: str, reason: str):
        Exception.__init__(self, f"{name} cannot be read by this build: {reason}")
        self.name = name
        self.offset = 0


@dataclass(frozen=True, slots=True)
class TornTail:
    """An incomplete last frame that recovery removed.

    Attributes
    ----------
    name : str
        Name of the journal.
    offset : int
        Where the frame began, in bytes; the journal ends there now.
    dropped_bytes : int
        How many bytes were removed.
    """

    name: str
    offset: int
    dropped_bytes: int


@dataclass(frozen=True, slots=True)
class RecoveredFrames:
    """The frames of a journal, and the torn tail that was removed from it, if any."""

    frames: tuple[bytes, ...]
    torn: TornTail | None


def encode_frame(content: bytes) -> bytes:
    """Return a frame: length, checksum of the content, checksum of these two, content."""
    prefix = _LENGTH_AND_CHECKSUM.pack(len(content), crc32(content))
    return prefix + _HEADER_CHECKSUM.pack(crc32(prefix)) + content


class Journal:
    """One journal file.

    Parameters
    ----------
    files : FileSystem
        The folder of the file.
    name : str
        The file's name.

    Notes
    -----
    Each sync covers exactly one frame, so a crash can tear only the last frame, whichever parts of
    it reached the disk. Recovery removes such a frame. A damaged frame before an intact one had
    been synced, so recovery fails instead of losing it.
    """

    def __init__(self, files: FileSystem, name: str):
        self.files = files
        self.name = name

    def append(self, content: bytes) -> None:
        """Append one frame and sync it to disk."""
        self.files.append(self.name, encode_frame(content))
        self.files.sync(self.name)

    def recover(self) -> RecoveredFrames:
        """Return all frames, after removing a torn last one from the file.

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
                return RecoveredFrames(tuple(frames), self._truncate(content, offset))
            frames.append(frame)
            offset += HEADER_BYTES + len(frame)
        return RecoveredFrames(tuple(frames), None)

    def _read_frame(self, content: bytes, offset: int) -> bytes | None:
        """Return the frame at an offset, or None if it is a torn tail."""
        header = content[offset : offset + HEADER_BYTES]
        if len(header) < HEADER_BYTES or not any(content[offset:]):
            return None
        length, checksum = _LENGTH_AND_CHECKSUM.unpack_from(header)
        (header_checksum,) = _HEADER_CHECKSUM.unpack_from(header, _LENGTH_AND_CHECKSUM.size)
        if crc32(header[: _LENGTH_AND_CHECKSUM.size]) != header_checksum:
            if self._has_intact_frame_after(content, offset):
                raise CorruptionError(self.name, offset, "frame header checksum does not match")
            return None
        end = offset + HEADER_BYTES + length
        frame = content[offset + HEADER_BYTES : end]
        if len(frame) == length and crc32(frame) == checksum:
            return frame
        if end < len(content) and self._has_intact_frame_after(content, offset):
            raise CorruptionError(self.name, offset, "frame checksum does not match")
        return None

    def _has_intact_frame_after(self, content: bytes, offset: int) -> bool:
        """Return whether an intact frame follows, which proves that this one was synced."""
        for position in range(offset + 1, len(content) - HEADER_BYTES + 1):
            length, checksum = _LENGTH_AND_CHECKSUM.unpack_from(content, position)
            prefix = content[position : position + _LENGTH_AND_CHECKSUM.size]
            (header_checksum,) = _HEADER_CHECKSUM.unpack_from(
                content, position + _LENGTH_AND_CHECKSUM.size
            )
            start = position + HEADER_BYTES
            has_intact_header = crc32(prefix) == header_checksum and start + length <= len(content)
            if has_intact_header and crc32(content[start : start + length]) == checksum:
                return True
        return False

    def _truncate(self, content: bytes, offset: int) -> TornTail:
        self.files.truncate(self.name, offset)
        self.files.sync(self.name)
        return TornTail(self.name, offset, len(content) - offset)
