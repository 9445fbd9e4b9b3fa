"""Durable state under one data folder: journal, snapshots and the voter's incarnation."""

from ._files import FileSystem, LocalFileSystem, create_local_file_system
from ._journal import CorruptionError, Journal, Recovery, TornTail, encode_frame
from ._store import ReplicaStore, RestoredState
from ._targets import TargetStore

__all__ = [
    "CorruptionError",
    "FileSystem",
    "Journal",
    "LocalFileSystem",
    "Recovery",
    "ReplicaStore",
    "RestoredState",
    "TornTail",
    "TargetStore",
    "create_local_file_system",
    "encode_frame",
]
