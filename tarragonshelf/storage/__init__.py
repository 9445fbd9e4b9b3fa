"""Durable state under one data folder: journal, snapshots and the voter's incarnation."""

from ._files import FileSystem, LocalFileSystem, create_local_file_system
from ._journal import CorruptionError, Journal, Recovery, TornTail, encode_frame
from ._message_file import MessageFile
from ._store import ReplicaStore, RestoredState

__all__ = [
    "CorruptionError",
    "FileSystem",
    "Journal",
    "LocalFileSystem",
    "MessageFile",
    "Recovery",
    "ReplicaStore",
    "RestoredState",
    "TornTail",
    "create_local_file_system",
    "encode_frame",
]
