"""Durable state in a data folder: journals, snapshot, incarnation and message files."""

from ._files import FileSystem, LocalFileSystem, create_local_file_system
from ._journal import (
    CorruptionError,
    Journal,
    RecoveredFrames,
    TornTail,
    UnreadableError,
    encode_frame,
)
from ._message_file import MessageFile
from ._store import ReplicaStore, RestoredState

__all__ = [
    "CorruptionError",
    "FileSystem",
    "Journal",
    "LocalFileSystem",
    "MessageFile",
    "RecoveredFrames",
    "ReplicaStore",
    "RestoredState",
    "TornTail",
    "UnreadableError",
    "create_local_file_system",
    "encode_frame",
]
