"""Calls that a control answers, their results, and commands of its state machine."""

from dataclasses import dataclass

from ..base import Message
from ..configuration import ApplyConfiguration, Chunk, ConfigurationVersion
from ..consensus import Membership
from ..health import Ejection, ReportHealth
from ..ledger import AbandonKey, ClaimKey, KeyRecord, ResolveKey, SettleKey, SuspendKey


@dataclass(frozen=True, slots=True)
class AdvanceClock(Message):
    """Command: advance log time so that claims, keys and tombstones expire."""


@dataclass(frozen=True, slots=True)
class SetDrained(Message):
    """Operator command: drain an entry VM, or return it to service."""

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
    """An entry requests the state after ``revision``, and reports its configuration ``version``.

    With ``is_patient`` the control delays its answer until the next change or a time-out.
    """

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
    """The state as of a revision.

    ``is_stale`` is set if the control has no contact with a leader or a quorum.
    """

    cluster: str
    revision: int
    configuration: ConfigurationVersion
    ejections: tuple[Ejection, ...] = ()
    drained: tuple[str, ...] = ()
    is_stale: bool = False
    leader: str = ""


@dataclass(frozen=True, slots=True)
class FetchChunks(Message):
    """Requests chunks by digest."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Chunks(Message):
    """Those of the requested chunks that the control stores."""

    items: tuple[Chunk, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest(Message):
    """Requests the configuration version in force, as a linearizable read."""


@dataclass(frozen=True, slots=True)
class UnresolvedRequest(Message):
    """Requests all unresolved orders, as a linearizable read."""


@dataclass(frozen=True, slots=True)
class UnresolvedOrders(Message):
    """All unresolved orders; ``time`` is log time in seconds."""

    time: float
    records: tuple[KeyRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusRequest(Message):
    """Requests the status of a process."""


@dataclass(frozen=True, slots=True)
class AttachedEntry(Message):
    """An entry that follows this control; ``age`` is the time since its last call in seconds."""

    vm: str
    http: str
    peer: str
    data_centre: str
    version: int
    age: float


@dataclass(frozen=True, slots=True)
class ControlStatus(Message):
    """Status of a control, with its view of the cluster."""

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
    """Creates the first voter set, once; a control of another cluster refuses it."""

    cluster: str
    membership: Membership
