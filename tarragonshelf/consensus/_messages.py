"""Messages, records and effects of log replication."""

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
    """The replicas of the log at one log index."""

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
        """Return the member of an identity, if there is one."""
        return next((item for item in self.members if item.identity == identity), None)

    def is_quorum(self, identities: set[str]) -> bool:
        """Tell whether some identities hold a majority of the voters."""
        voters = self.voters
        return len(voters & identities) * 2 > len(voters)


class EntryKind(StrEnum):
    """What a log entry holds."""

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
    """The term and the vote given in it."""

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
    """One record of the journal."""

    hard_state: HardState | None = None
    first_index: int = 0
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class VoteRequest(Message):
    """Asks for a vote, or with ``pre_vote`` whether one would be given."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply(Message):
    """Answers a request for a vote."""

    term: int
    voter: str
    granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, slots=True)
class AppendRequest(Message):
    """Replicates entries; without entries it is the leader's heartbeat."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...] = ()
    commit: int = 0
    round: int = 0


@dataclass(frozen=True, slots=True)
class AppendReply(Message):
    """Tells how far a follower's log matches, or where the leader should go on."""

    term: int
    follower: str
    success: bool
    match_index: int
    round: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotRequest(Message):
    """One part of a snapshot, ``offset`` bytes from its start."""

    term: int
    leader: str
    snapshot: Snapshot
    offset: int
    size: int
    round: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotReply(Message):
    """Tells which byte of the snapshot a follower wants next."""

    term: int
    follower: str
    index: int
    offset: int
    installed: bool = False
    round: int = 0


@dataclass(frozen=True, slots=True)
class ElectNow(Message):
    """Asks a voter to stand for election at once: the leader hands over."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class SaveHardState(Effect):
    """Make term and vote last."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SaveEntries(Effect):
    """Make entries last, replacing everything from ``first_index``."""

    first_index: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot(Effect):
    """Make a snapshot last together with the entries that follow it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message to a replica, after everything saved before is synced."""

    identity: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Commit(Effect):
    """Entries that are committed and apply in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot(Effect):
    """Replace the state machine's state by a snapshot's."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady(Effect):
    """A read may be answered once ``index`` is applied."""

    number: int
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged(Effect):
    """The replica has another role or term."""

    role: str
    term: int
    leader: str
