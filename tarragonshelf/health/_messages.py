"""Messages and records of failure detection and ejections."""

from dataclasses import dataclass

from ..base import Message


@dataclass(frozen=True, slots=True)
class Evidence(Message):
    """Counts of the outcomes of one target's requests since they were last reported."""

    service: str
    target: str
    incarnation: str
    answered: int = 0
    failed: int = 0
    hung: int = 0


@dataclass(frozen=True, slots=True)
class EvidenceDigest(Message):
    """Evidence that one entry sends to the watchers of a service."""

    source: str
    items: tuple[Evidence, ...]


@dataclass(frozen=True, slots=True)
class ReadyTarget(Message):
    """A target that is ready and not draining in a watcher's view."""

    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Suspect(Message):
    """A target that a watcher asks to eject; a higher score is stronger evidence of failure."""

    address: str
    incarnation: str
    score: float
    reason: str


@dataclass(frozen=True, slots=True)
class ReportHealth(Message):
    """Command: report a watcher's view of a service, and request changes of its ejections.

    ``suspects`` are to be ejected; the ejections of the addresses in ``recovered`` are to end.
    """

    service: str
    watcher: str
    ready: tuple[ReadyTarget, ...]
    suspects: tuple[Suspect, ...] = ()
    recovered: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ejection(Message):
    """A granted ejection, the ``count``-th in a row; ``since`` is log time in seconds."""

    service: str
    target: str
    incarnation: str
    score: float
    reason: str
    since: float
    count: int = 1


@dataclass(frozen=True, slots=True)
class HealthResult(Message):
    """Reply to ``ReportHealth``: the ejections of the service that are in force."""

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
    """Snapshot of ``EjectionGrants``."""

    ejections: tuple[Ejection, ...] = ()
    reports: tuple[WatcherReport, ...] = ()
