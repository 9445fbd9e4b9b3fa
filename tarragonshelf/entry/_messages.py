"""Status messages of an entry, and effects of its state machines."""

from dataclasses import dataclass

from ..base import Effect, Message
from ..configuration import ConfigurationVersion, Document
from ..health import EvidenceDigest
from ..membership import EntryRecord


@dataclass(frozen=True, slots=True)
class TargetView(Message):
    """A target in one entry's view; ``reason`` is the reason of its ejection, if any."""

    service: str
    address: str
    data_centre: str
    state: str
    outstanding: int
    is_ejected: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ServiceView(Message):
    """Numbers of a service's ready targets and of the healthy ones among them, and its floor."""

    name: str
    ready: int
    healthy: int
    floor: int


@dataclass(frozen=True, slots=True)
class EntryStatus(Message):
    """Status of an entry, with its view of entries, targets and services."""

    vm: str
    version: int
    revision: int
    is_control_reached: bool
    entries: tuple[EntryRecord, ...] = ()
    targets: tuple[TargetView, ...] = ()
    services: tuple[ServiceView, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestChunks(Effect):
    """Fetch chunks from the control or entry that reported the version."""

    source: str
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationActivated(Effect):
    """A complete document came into force."""

    document: Document
    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class SubmitCommand(Effect):
    """Submit a command to the leader without retries; the next command makes up for a lost one."""

    message: Message


@dataclass(frozen=True, slots=True)
class SendEvidence(Effect):
    """Send a digest to a watcher's peer address."""

    address: str
    digest: EvidenceDigest
