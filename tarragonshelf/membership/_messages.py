"""Records of entries and targets, and the gossip messages that carry them."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Effect, Message
from ..health import PoisonNote


class EntryState(StrEnum):
    """State of an entry in the failure detector."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EntryRecord(Message):
    """An entry; of two records of one VM, the one with the higher ``rank`` wins."""

    vm: str
    incarnation: int
    sequence: int
    state: EntryState
    http: str
    peer: str
    data_centre: str

    @property
    def rank(self) -> tuple[int, int, int]:
        """Precedence; within one sequence number failed ranks highest and alive lowest."""
        return (self.incarnation, self.sequence, _ENTRY_RANKS[self.state])


_ENTRY_RANKS = {
    EntryState.ALIVE: 0,
    EntryState.SUSPECTED: 1,
    EntryState.LEAVING: 2,
    EntryState.FAILED: 3,
}


class TargetState(StrEnum):
    """State that a target announced last; ``SILENT`` once no trusted registrar remains."""

    STARTING = "starting"
    READY = "ready"
    SILENT = "silent"
    DRAINING = "draining"
    LEAVING = "leaving"


_FINALITY_RANKS = {TargetState.DRAINING: 1, TargetState.LEAVING: 2}


@dataclass(frozen=True, slots=True)
class Announcement(Message):
    """Announcement that a target sends to its registrars every few seconds."""

    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    incarnation: int
    sequence: int
    registrars: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetRecord(Message):
    """A target; of two records of one address, the one with the higher ``rank`` wins."""

    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    incarnation: int
    sequence: int
    registrars: tuple[str, ...] = ()

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Precedence; draining and leaving cannot be undone within one incarnation."""
        is_silent = self.state == TargetState.SILENT
        return (
            self.incarnation,
            _FINALITY_RANKS.get(self.state, 0),
            self.sequence,
            int(is_silent),
        )


@dataclass(frozen=True, slots=True)
class Gossip(Message):
    """Recent updates, and digests for anti-entropy.

    ``buckets`` holds a digest of each bucket of target records, then one of all entry records.
    The receiver is asked to send all records of the buckets in ``wanted``.
    """

    source: EntryRecord
    entries: tuple[EntryRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    poisons: tuple[PoisonNote, ...] = ()
    buckets: tuple[int, ...] = ()
    wanted: tuple[int, ...] = ()
    revision: int = 0
    is_reply: bool = False


@dataclass(frozen=True, slots=True)
class SendGossip(Effect):
    """Send gossip to the entry at an address."""

    address: str
    message: Gossip
