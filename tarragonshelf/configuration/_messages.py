"""Messages and records of configuration changes."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


@dataclass(frozen=True, slots=True)
class Chunk(Message):
    """A content-addressed part of a document; ``digest`` is that of ``content``."""

    digest: str
    content: bytes


@dataclass(frozen=True, slots=True)
class ApplyConfiguration(Message):
    """Command: replace ``base_version`` by a document.

    ``manifest`` lists the digests of the document's chunks in order; ``chunks`` holds those that
    the register may not have yet.
    """

    change_id: str
    base_version: int
    author: str
    manifest: tuple[str, ...]
    chunks: tuple[Chunk, ...] = ()


class ApplyState(StrEnum):
    """Result of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REUSED = "reused"
    INCOMPLETE = "incomplete"


@dataclass(frozen=True, slots=True)
class ApplyResult(Message):
    """Result of a change, with the version in force after it.

    On a conflict that is the version of the change that was accepted instead. With ``REUSED``
    only ``version`` is set, as in the result of the first change with this id.
    """

    state: ApplyState
    version: int
    author: str = ""
    change_id: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationVersion(Message):
    """An accepted document; ``revision`` is the log index of the command that put it in force."""

    version: int = 0
    revision: int = 0
    author: str = ""
    change_id: str = ""
    manifest: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeRecord(Message):
    """The result of the first change with an id, and the digest of its manifest."""

    change_id: str
    digest: str
    result: ApplyResult


@dataclass(frozen=True, slots=True)
class RegisterState(Message):
    """Snapshot of ``ConfigurationRegister``."""

    current: ConfigurationVersion = ConfigurationVersion()
    chunks: tuple[Chunk, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()
