"""State of one replica, and the operations that its mixins share."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from ..base import Effect, Message, StateMachine
from ._log import Log
from ._messages import (
    Commit,
    EntryKind,
    HardState,
    LogEntry,
    RoleChanged,
    SaveHardState,
    Send,
)
from ._progress import IncomingSnapshot, Progress, Read


class Role(StrEnum):
    """Raft role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals in seconds, and limits per message in entries or bytes.

    Election time-outs are drawn between once and twice the configured value.
    """

    heartbeat_interval: float = 0.1
    election_timeout: float = 0.8
    # Election time-out before the first contact with a leader, and after an election without a
    # result. It may be shorter than the regular one, because no leader is interrupted then.
    initial_election_timeout: float = 0.8
    maximum_append_entries: int = 256
    maximum_append_bytes: int = 1 << 20
    snapshot_part_bytes: int = 1 << 18


class ReplicaState(StateMachine):
    """State of a replica, shared by the election, leader and follower mixins."""

    def __init__(
        self,
        *,
        identity: str,
        log: Log,
        hard_state: HardState,
        random: Random,
        timing: Timing = Timing(),
    ):
        self.identity = identity
        self.log = log
        self.hard_state = hard_state
        self.random = random
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = log.base_index
        self.membership_index, self.membership = log.find_membership()
        self.last_leader_contact = float("-inf")
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._reads: list[Read] = []
        self._round = 0
        self._deadline: float | None = None
        self._next_heartbeat = 0.0
        self._leading_since = 0.0
        self._log_time_at_election = 0.0
        self._is_transfer_election = False
        self._transfer_target = ""
        self._incoming: IncomingSnapshot | None = None
        self._effects: list[Effect] = []

    # Queries

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.role == Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts towards a quorum."""
        return self.identity in self.membership.voters

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its term, and so all earlier entries."""
        return self.is_leader and self.log.get_term(self.commit) == self.term

    def is_current(self, now: float) -> bool:
        """Return whether the leader has contact with a quorum, or a follower with the leader.

        The limit is one election time-out on the leader, and the longest randomized one, twice
        that, on a follower.
        """
        if self.is_leader:
            return self._has_quorum_contact(now)
        return now - self.last_leader_contact < 2 * self.timing.election_timeout

    def get_match_index(self, identity: str) -> int:
        """Return the highest index at which a follower's log is known to match, or 0."""
        progress = self._progress.get(identity)
        return progress.match_index if progress else 0

    def get_last_contact(self, identity: str) -> float:
        """Return when a reply of a follower arrived last, in seconds, or minus infinity."""
        progress = self._progress.get(identity)
        return progress.last_contact if progress else float("-inf")

    def compute_log_time(self, now: float) -> float:
        """Return the log time of a new entry in seconds; it never goes back and never jumps.

        It advances with this leader's monotonic clock from the last entry of its log, so that
        wall-clock adjustments neither shorten nor lengthen retention periods.
        """
        return max(self.log.last_time, self._log_time_at_election + now - self._leading_since)

    # Operations shared by the mixins

    def _append(self, now: float, kind: EntryKind, *, payload=b"", membership=None) -> int:
        index = self.log.last_index + 1
        time = self.compute_log_time(now)
        self.log.append(LogEntry(index, self.term, kind, payload, membership, time))
        if kind == EntryKind.MEMBERSHIP:
            self._update_membership(now)
        return index

    def _commit_up_to(self, index: int) -> None:
        if index > self.commit:
            entries = self.log.get_entries(self.commit + 1, index)
            self.commit = index
            self._effects.append(Commit(entries))

    def _update_membership(self, now: float) -> None:
        self.membership_index, self.membership = self.log.find_membership()
        if self.is_leader:
            self._update_progress(now)

    def _update_progress(self, now: float) -> None:
        names = self.membership.identities | {self.identity}
        for name in names - self._progress.keys():
            self._progress[name] = Progress(next_index=self.log.last_index + 1, last_contact=now)
        for name in self._progress.keys() - names:
            del self._progress[name]

    def _become(self, now: float, role: Role) -> None:
        self.role = role
        self._reset_deadline(now)
        self._effects.append(RoleChanged(role, self.term, self.leader))

    def _reset_deadline(self, now: float) -> None:
        # After a split vote there is no leader that another election could interrupt.
        is_campaigning = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
        is_initial = self.last_leader_contact == float("-inf") and not self.is_leader
        is_early = is_campaigning or is_initial
        timeout = (
            self.timing.initial_election_timeout if is_early else self.timing.election_timeout
        )
        self._deadline = now + timeout * self.random.uniform(1.0, 2.0)

    def _save_hard_state(self, hard_state: HardState) -> None:
        self.hard_state = hard_state
        self._effects.append(SaveHardState(hard_state))

    def _list_peers(self) -> list[str]:
        return sorted(self.membership.identities - {self.identity})

    def _send(self, identity: str, message: Message) -> None:
        member = self.membership.get_member(identity)
        address = member.address if member else ""
        self._effects.append(Send(identity, address, message))

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects
