"""Calls that a control answers, and events and effects of its state machine."""

from dataclasses import dataclass

from ..base import Message
from ..configuration import ApplyConfiguration, Chunk, ConfigurationVersion
from ..consensus import Membership
from ..health import Ejection, ReportHealth
from ..ledger import AbandonKey, ClaimKey, KeyRecord, ResolveKey, SettleKey, SuspendKey


@dataclass(frozen=True, slots=True)
class AdvanceClock(Message):
    """Command: let log time take effect on what expires."""


@dataclass(frozen=True, slots=True)
class SetDrained(Message):
    """Command of an operator: take an entry VM out of use, or back in."""

    vm: str
    drained: bool


COMMANDS = (
    AbandonKey,
    AdvanceClock,
    ApplyConfiguration,
    ClaimKey,
    ReportHealth,
    ResolveKey,
    SetDrained,
    SettleKey,
    SuspendKey,
)


@dataclass(frozen=True, slots=True)
class Follow(Message):
    """An entry asks for what changed after ``revision``, and says what it has in force."""

    vm: str
    incarnation: str
    revision: int
    version: int
    http: str
    peer: str
    data_centre: str
    is_patient: bool = True


@dataclass(frozen=True, slots=True)
class Followed(Message):
    """The state as of a revision; ``is_stale`` if this control hears no leader or quorum."""

    cluster: str
    revision: int
    configuration: ConfigurationVersion
    ejections: tuple[Ejection, ...] = ()
    drained: tuple[str, ...] = ()
    is_stale: bool = False
    leader: str = ""


@dataclass(frozen=True, slots=True)
class FetchChunks(Message):
    """Asks for chunks by digest."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Chunks(Message):
    """Those of the wanted chunks that are held."""

    items: tuple[Chunk, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest(Message):
    """Asks for the version in force, linearizably."""


@dataclass(frozen=True, slots=True)
class UnresolvedRequest(Message):
    """Asks for all unresolved orders, linearizably."""


@dataclass(frozen=True, slots=True)
class UnresolvedOrders(Message):
    """All unresolved orders; ``time`` is log time in seconds."""

    time: float
    records: tuple[KeyRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusRequest(Message):
    """Asks a process what it sees."""


@dataclass(frozen=True, slots=True)
class AttachedEntry(Message):
    """An entry that follows this control; ``age`` in seconds since its last call."""

    vm: str
    http: str
    peer: str
    data_centre: str
    version: int
    age: float


@dataclass(frozen=True, slots=True)
class ControlStatus(Message):
    """What a control sees."""

    identity: str
    vm: str
    role: str
    term: int
    leader: str
    is_current: bool
    is_initialized: bool
    commit: int
    log_entries: int
    membership: Membership
    configuration: ConfigurationVersion
    ejections: tuple[Ejection, ...] = ()
    drained: tuple[str, ...] = ()
    unresolved: int = 0
    keys: int = 0
    entries: tuple[AttachedEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Initialize(Message):
    """Forms the first voter set, once."""

    cluster: str
    membership: Membership


@dataclass(frozen=True, slots=True)
class Retire(Message):
    """An operator removes the replicas of a VM for good."""

    vm: str
