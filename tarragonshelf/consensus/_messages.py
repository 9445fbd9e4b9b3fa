"""Messages, records and effects of log replication."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from ..base import Effect, Message


@dataclass(frozen=True, slots=True)
class Member(Message):
    """One replica: a VM together with the incarnation of its data folder."""

    identity: str
    vm: str
    address: str
    voting: bool


@dataclass(frozen=True, slots=True)
class Membership(Message):
    """The voters and learners as of one log index."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> frozenset[str]:
        """Identities that count towards a quorum."""
        return frozenset(member.identity for member in self.members if member.voting)

    @property
    def identities(self) -> frozenset[str]:
        """Identities of voters and learners."""
        return frozenset(member.identity for member in self.members)

    def get_member(self, identity: str) -> Member | None:
        """Return the member with an identity, or None."""
        return next((item for item in self.members if item.identity == identity), None)

    def exclude(self, identities: Collection[str]) -> "Membership":
        """Return the membership without the members that have these identities."""
        return Membership(tuple(item for item in self.members if item.identity not in identities))

    def is_quorum(self, identities: set[str]) -> bool:
        """Return whether the identities include a majority of the voters."""
        voters = self.voters
        return len(voters & identities) * 2 > len(voters)

    def is_quorum_of_vms(self, vms: set[str]) -> bool:
        """Return whether the VMs include a majority of those that have a voter."""
        voting = {member.vm for member in self.members if member.voting}
        return len(voting & vms) * 2 > len(voting)


class EntryKind(StrEnum):
    """Type of a log entry.

    A new leader appends a ``BARRIER``: committing it commits all entries of earlier terms.
    """

    COMMAND = "command"
    MEMBERSHIP = "membership"
    BARRIER = "barrier"


@dataclass(frozen=True, slots=True)
class LogEntry(Message):
    """One entry of the log; ``time`` is log time in seconds."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    payload: bytes = b""
    membership: Membership | None = None
    time: float = 0.0


@dataclass(frozen=True, slots=True)
class HardState(Message):
    """The current term and the vote cast in it, which must survive a restart."""

    term: int = 0
    vote: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot(Message):
    """The state machine's state as of a log index; ``time`` is log time in seconds."""

    index: int
    term: int
    membership: Membership
    data: bytes
    time: float = 0.0


@dataclass(frozen=True, slots=True)
class Record(Message):
    """One record of the replica's journal on disk."""

    hard_state: HardState | None = None
    first_index: int = 0
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class VoteRequest(Message):
    """Requests a vote, or with ``pre_vote`` asks whether it would be granted.

    ``transfer`` marks an election that the current leader initiated to transfer its leadership.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply(Message):
    """Reply to ``VoteRequest``."""

    term: int
    voter: str
    granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, slots=True)
class AppendRequest(Message):
    """Replicates entries; without entries it is the leader's heartbeat.

    ``round`` numbers the leader's heartbeats; replies return it.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...] = ()
    commit: int = 0
    round: int = 0


@dataclass(frozen=True, slots=True)
class AppendReply(Message):
    """Reports the last index at which a follower's log matches.

    Without ``success``, ``match_index`` is where the leader should look for a match next.
    """

    term: int
    follower: str
    success: bool
    match_index: int
    round: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotRequest(Message):
    """One part of a snapshot of ``size`` bytes, ``offset`` bytes from its start."""

    term: int
    leader: str
    snapshot: Snapshot
    offset: int
    size: int
    round: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotReply(Message):
    """Reports the byte offset that a follower expects next, or that it needs no further part."""

    term: int
    follower: str
    index: int
    offset: int
    installed: bool = False
    round: int = 0


@dataclass(frozen=True, slots=True)
class ElectNow(Message):
    """Requests an immediate election from the voter to which leadership is transferred."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class SaveHardState(Effect):
    """Persist the term and the vote."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SaveEntries(Effect):
    """Persist entries, replacing all stored entries from ``first_index`` on."""

    first_index: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot(Effect):
    """Persist a snapshot together with the entries that follow it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message to a replica once all preceding saves are synced to disk."""

    identity: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Commit(Effect):
    """Apply committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot(Effect):
    """Replace the state of the state machine by that of a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady(Effect):
    """Report that read ``number`` may be answered once ``index`` is applied."""

    number: int
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged(Effect):
    """Report that the replica's role, term or leader changed."""

    role: str
    term: int
    leader: str
