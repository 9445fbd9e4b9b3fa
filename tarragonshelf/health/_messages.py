"""Messages and records of detection and ejection."""

from dataclasses import dataclass

from ..base import Message


@dataclass(frozen=True, slots=True)
class Evidence(Message):
    """Outcomes of one target's requests since the last digest, as counts."""

    service: str
    target: str
    incarnation: str
    answered: int = 0
    failed: int = 0
    hung: int = 0


@dataclass(frozen=True, slots=True)
class EvidenceDigest(Message):
    """Evidence of one entry for the watchers of a service."""

    source: str
    items: tuple[Evidence, ...]


@dataclass(frozen=True, slots=True)
class ReadyTarget(Message):
    """A target that a watcher sees ready and not draining."""

    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Suspect(Message):
    """A target that the evidence condemns; a higher score is worse."""

    address: str
    incarnation: str
    score: float
    reason: str


@dataclass(frozen=True, slots=True)
class ReportHealth(Message):
    """Command: what one watcher of a service sees, and what it asks for."""

    service: str
    watcher: str
    ready: tuple[ReadyTarget, ...]
    suspects: tuple[Suspect, ...] = ()
    recovered: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ejection(Message):
    """A granted ejection; ``since`` is log time in seconds, ``count`` how often in a row."""

    service: str
    target: str
    incarnation: str
    score: float
    reason: str
    since: float
    count: int = 1


@dataclass(frozen=True, slots=True)
class HealthResult(Message):
    """Ejections of a service in force after a report."""

    ejections: tuple[Ejection, ...] = ()


@dataclass(frozen=True, slots=True)
class WatcherReport(Message):
    """The latest view of one watcher; ``time`` is log time in seconds."""

    service: str
    watcher: str
    time: float
    ready: tuple[ReadyTarget, ...]


@dataclass(frozen=True, slots=True)
class GrantsState(Message):
    """Everything the grants hold, for a snapshot."""

    ejections: tuple[Ejection, ...] = ()
    reports: tuple[WatcherReport, ...] = ()
