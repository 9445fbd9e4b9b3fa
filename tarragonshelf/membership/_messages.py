"""Records of entries and targets, and the gossip that carries them."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Effect, Message
from ..health import PoisonNote


class EntryState(StrEnum):
    """What is known of an entry."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EntryRecord(Message):
    """An entry; of two records of one VM the one with the higher ``rank`` holds."""

    vm: str
    incarnation: int
    sequence: int
    state: EntryState
    http: str
    peer: str
    data_centre: str

    @property
    def rank(self) -> tuple[int, int, int]:
        """Precedence: bad news of one sequence number goes before good news."""
        return (self.incarnation, self.sequence, _ENTRY_RANKS[self.state])


_ENTRY_RANKS = {
    EntryState.ALIVE: 0,
    EntryState.SUSPECTED: 1,
    EntryState.LEAVING: 2,
    EntryState.FAILED: 3,
}


class TargetState(StrEnum):
    """What a target announced, or that it fell silent."""

    STARTING = "starting"
    READY = "ready"
    SILENT = "silent"
    DRAINING = "draining"
    LEAVING = "leaving"


_FINALITY = {TargetState.DRAINING: 1, TargetState.LEAVING: 2}


@dataclass(frozen=True, slots=True)
class Announcement(Message):
    """What a target says of itself every few seconds to its registrars."""

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
    """A target; of two records of one address the one with the higher ``rank`` holds."""

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
        """Precedence: draining and leaving are final for an incarnation."""
        is_silent = self.state == TargetState.SILENT
        return (self.incarnation, _FINALITY.get(self.state, 0), self.sequence, int(is_silent))


@dataclass(frozen=True, slots=True)
class Gossip(Message):
    """Recent changes, and digests by which two entries find what one of them lacks.

    ``wanted`` names buckets of targets that the receiver is asked to send whole.
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
