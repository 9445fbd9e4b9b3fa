"""What an entry tells, and effects of its state machines."""

from dataclasses import dataclass

from ..base import Effect, Message
from ..configuration import ConfigurationVersion, Document
from ..health import EvidenceDigest
from ..membership import EntryRecord


@dataclass(frozen=True, slots=True)
class TargetView(Message):
    """A target as one entry sees it; ``reason`` says why it is ejected."""

    service: str
    address: str
    data_centre: str
    state: str
    outstanding: int
    is_ejected: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ServiceView(Message):
    """A service's capacity against its floor, in targets."""

    name: str
    ready: int
    healthy: int
    floor: int


@dataclass(frozen=True, slots=True)
class EntryStatus(Message):
    """What an entry sees."""

    vm: str
    version: int
    revision: int
    is_control_reached: bool
    entries: tuple[EntryRecord, ...] = ()
    targets: tuple[TargetView, ...] = ()
    services: tuple[ServiceView, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestChunks(Effect):
    """Fetch chunks from whoever told of a version."""

    source: str
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationActivated(Effect):
    """A document came in force whole."""

    document: Document
    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class SubmitCommand(Effect):
    """Submit a command to the leader, once; a lost one is made good by the next."""

    message: Message


@dataclass(frozen=True, slots=True)
class SendEvidence(Effect):
    """Send a digest to a watcher's peer address."""

    address: str
    digest: EvidenceDigest
