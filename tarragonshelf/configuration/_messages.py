"""Messages and records of configuration changes."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


@dataclass(frozen=True, slots=True)
class Chunk(Message):
    """A part of a document, named by the digest of its content."""

    digest: str
    content: bytes


@dataclass(frozen=True, slots=True)
class ApplyConfiguration(Message):
    """Command: replace ``base_version`` by a document.

    ``chunks`` holds only those of the manifest that the register may not hold yet.
    """

    change_id: str
    base_version: int
    author: str
    manifest: tuple[str, ...]
    chunks: tuple[Chunk, ...] = ()


class ApplyState(StrEnum):
    """The register's answer to a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REUSED = "reused"
    INCOMPLETE = "incomplete"


@dataclass(frozen=True, slots=True)
class ApplyResult(Message):
    """The register's answer; on a conflict the version, author and id of the winner."""

    state: ApplyState
    version: int
    author: str = ""
    change_id: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationVersion(Message):
    """An accepted document; ``revision`` is the log index that accepted it."""

    version: int = 0
    revision: int = 0
    author: str = ""
    change_id: str = ""
    manifest: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeRecord(Message):
    """The first answer that a change id got, and the digest of what it carried."""

    change_id: str
    digest: str
    result: ApplyResult


@dataclass(frozen=True, slots=True)
class RegisterState(Message):
    """Everything the register holds, for a snapshot."""

    current: ConfigurationVersion = ConfigurationVersion()
    chunks: tuple[Chunk, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()
