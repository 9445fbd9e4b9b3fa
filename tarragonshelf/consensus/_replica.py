"""One replica of the log: election, replication, reads, membership."""

from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

from ..base import Effect, Message, StateMachine
from ._log import Log
from ._messages import (
    AppendReply,
    AppendRequest,
    Commit,
    ElectNow,
    EntryKind,
    HardState,
    InstallSnapshot,
    LogEntry,
    Membership,
    ReadReady,
    RoleChanged,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    Send,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from ._progress import IncomingSnapshot, Progress, Read


class Role(StrEnum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in seconds and sizes in bytes or entries."""

    heartbeat: float = 0.1
    election: float = 0.8
    append_entries: int = 256
    append_bytes: int = 1 << 20
    snapshot_part: int = 1 << 18


class Replica(StateMachine):
    """Log replication after Raft, without input or output.

    Parameters
    ----------
    identity : str
        VM and incarnation of this replica.
    log : Log
        What the data folder held.
    hard_state : HardState
        Term and vote that the data folder held.
    random : Random
        Spreads election timeouts.
    timing : Timing
        Times and sizes.

    Notes
    -----
    Effects of one batch are carried out in this order: everything to save, one sync, the rest.
    ``flush`` ends a batch. A leader that hears no quorum for an election timeout steps down, a
    replica that hears a leader refuses votes, and a replica that is not a voter of its own
    membership neither votes nor stands.

    References
    ----------
    Ongaro, D., Consensus: Bridging Theory and Practice, Stanford University, 2014.
    """

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
        self.heard_leader_at = float("-inf")
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._reads: list[Read] = []
        self._round = 0
        self._deadline: float | None = None
        self._next_heartbeat = 0.0
        self._led_since = 0.0
        self._time_base = 0.0
        self._is_standing_for_transfer = False
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
        """Whether a leader knows all entries of earlier terms to be committed."""
        return self.is_leader and self.log.get_term(self.commit) == self.term

    def is_current(self, now: float) -> bool:
        """Tell whether a quorum or a leader was heard within an election timeout."""
        if self.is_leader:
            return self._hears_quorum(now)
        return now - self.heard_leader_at < 2 * self.timing.election

    def get_match_index(self, identity: str) -> int:
        """Return how far a follower's log is known to match."""
        progress = self._progress.get(identity)
        return progress.match_index if progress else 0

    def compute_log_time(self, now: float) -> float:
        """Return the time for a new entry, which never goes back and never jumps.

        It advances with this leader's monotonic clock from the last entry of its log, so that
        a change of wall clock neither shortens nor lengthens a retention.
        """
        return max(self.log.last_time, self._time_base + now - self._led_since)

    # Commands

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Take a message of another replica in."""
        self._observe_term(now, message)
        handler = {
            VoteRequest: self._handle_vote_request,
            VoteReply: self._handle_vote_reply,
            AppendRequest: self._handle_append_request,
            AppendReply: self._handle_append_reply,
            SnapshotRequest: self._handle_snapshot_request,
            SnapshotReply: self._handle_snapshot_reply,
            ElectNow: self._handle_elect_now,
        }[type(message)]
        handler(now, message)
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Start elections, send heartbeats, and step down without a quorum."""
        if self._deadline is None:
            self._reset_deadline(now)
        if self.is_leader:
            self._lead(now)
        elif now >= self._deadline and self.is_voter:
            self._start_pre_vote(now)
        return self._take_effects()

    def flush(self, now: float) -> list[Effect]:
        """End a batch: save new entries, send them, and commit what a quorum holds."""
        unsaved_from = self.log.unsaved_from
        entries = self.log.take_unsaved()
        if entries:
            self._effects.append(SaveEntries(unsaved_from, entries))
        if self.is_leader:
            self._progress[self.identity].match_index = self.log.last_index
            self._progress[self.identity].heard_at = now
            for identity in self._list_others():
                if self._progress[identity].next_index <= self.log.last_index:
                    self._send_entries(identity)
            self._advance_commit(now)
        return self._take_effects()

    def propose(self, now: float, payload: bytes) -> int | None:
        """Add a command and return its index, or None if this replica does not lead."""
        if not self.is_leader or self._transfer_target:
            return None
        return self._append(now, EntryKind.COMMAND, payload=payload)

    def propose_membership(self, now: float, membership: Membership) -> int | None:
        """Add a membership that differs by one voter, or return None if it must wait."""
        is_pending = self.membership_index > self.commit
        if not self.has_committed_in_term or is_pending or self._transfer_target:
            return None
        if len(membership.voters ^ self.membership.voters) > 1:
            raise ValueError("a membership change may add or remove one voter at a time")
        return self._append(now, EntryKind.MEMBERSHIP, membership=membership)

    def start_read(self, now: float, number: int) -> list[Effect]:
        """Ask for a linearizable read; ``ReadReady`` tells when it may be answered."""
        if self.has_committed_in_term:
            self._reads.append(Read(number, self.commit, self._round + 1))
            self._send_heartbeats(now)
            self._finish_reads()
        return self._take_effects()

    def transfer_leadership(self, now: float) -> list[Effect]:
        """Hand leadership to the voter whose log matches furthest."""
        others = [name for name in self._list_others() if name in self.membership.voters]
        if self.is_leader and others:
            self._transfer_target = max(others, key=lambda name: self._progress[name].match_index)
            self._reset_deadline(now)
            self._send_entries(self._transfer_target)
            self._try_transfer()
        return self._take_effects()

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """Replace the log up to an applied index by a snapshot of the state machine."""
        entry = self.log.get_entries(index, index)[0]
        held = self.log.get_entries(self.log.base_index + 1, index)
        membership = self.log.snapshot.membership if self.log.snapshot else Membership()
        for item in held:
            if item.kind == EntryKind.MEMBERSHIP:
                membership = item.membership
        snapshot = Snapshot(index, entry.term, membership, data, entry.time)
        unsaved_from = self.log.unsaved_from
        tail = self.log.compact(snapshot)
        self.log.unsaved_from = max(unsaved_from, index + 1)
        saved = tuple(item for item in tail if item.index < self.log.unsaved_from)
        return [SaveSnapshot(snapshot, saved)]

    # Elections

    def _start_pre_vote(self, now: float) -> None:
        self._become(now, Role.PRE_CANDIDATE)
        self._votes = {self.identity}
        self._ask_for_votes(self.term + 1, pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now: float) -> None:
        self._save_hard_state(HardState(self.term + 1, self.identity))
        self._become(now, Role.CANDIDATE)
        self._votes = {self.identity}
        self._ask_for_votes(self.term, pre_vote=False)
        self._count_votes(now)

    def _ask_for_votes(self, term: int, *, pre_vote: bool) -> None:
        request = VoteRequest(
            term,
            self.identity,
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            self._is_standing_for_transfer,
        )
        for identity in self.membership.voters - {self.identity}:
            self._send(identity, request)

    def _count_votes(self, now: float) -> None:
        if not self.membership.is_quorum(self._votes):
            return
        if self.role == Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self.role == Role.CANDIDATE:
            self._start_leading(now)

    def _handle_vote_request(self, now: float, request: VoteRequest) -> None:
        hears_leader = now - self.heard_leader_at < self.timing.election or self.is_leader
        if hears_leader and not request.transfer:
            self._reply_to_vote(request, granted=False)
            return
        mine = (self.log.last_term, self.log.last_index)
        is_up_to_date = (request.last_term, request.last_index) >= mine
        granted = self.is_voter and is_up_to_date and request.term >= self.term
        if not request.pre_vote:
            granted = granted and self.hard_state.vote in ("", request.candidate)
            if granted:
                self._save_hard_state(HardState(self.term, request.candidate))
                self._reset_deadline(now)
        elif request.term == self.term:
            granted = granted and self.role != Role.LEADER
        self._reply_to_vote(request, granted=granted)

    def _reply_to_vote(self, request: VoteRequest, *, granted: bool) -> None:
        term = request.term if request.pre_vote and granted else self.term
        self._send(request.candidate, VoteReply(term, self.identity, granted, request.pre_vote))

    def _handle_vote_reply(self, now: float, reply: VoteReply) -> None:
        wanted = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected = self.term + 1 if reply.pre_vote else self.term
        if self.role == wanted and reply.granted and reply.term == expected:
            self._votes.add(reply.voter)
            self._count_votes(now)

    def _handle_elect_now(self, now: float, request: ElectNow) -> None:
        if request.term == self.term and self.is_voter and not self.is_leader:
            self._is_standing_for_transfer = True
            self._start_election(now)
            self._is_standing_for_transfer = False

    def _observe_term(self, now: float, message: Message) -> None:
        """Adopt a higher term, but not from votes that a live leader makes moot."""
        if message.term <= self.term:
            return
        if isinstance(message, VoteRequest):
            hears_leader = now - self.heard_leader_at < self.timing.election or self.is_leader
            if message.pre_vote or (hears_leader and not message.transfer):
                return
        if isinstance(message, VoteReply) and message.pre_vote and message.granted:
            return
        self._save_hard_state(HardState(message.term, ""))
        self._step_down(now)

    def _step_down(self, now: float) -> None:
        self.leader = ""
        self._reads = []
        self._transfer_target = ""
        self._become(now, Role.FOLLOWER)

    # Leading

    def _start_leading(self, now: float) -> None:
        self.leader = self.identity
        self._led_since = now
        self._time_base = self.log.last_time
        self._reads = []
        self._transfer_target = ""
        self._progress = {}
        self._update_progress(now)
        self._become(now, Role.LEADER)
        self._append(now, EntryKind.BARRIER)
        self._send_heartbeats(now)

    def _lead(self, now: float) -> None:
        if not self._hears_quorum(now):
            self._step_down(now)
            return
        if now >= self._next_heartbeat:
            self._send_heartbeats(now)
        if self._transfer_target and now >= self._deadline:
            self._transfer_target = ""

    def _hears_quorum(self, now: float) -> bool:
        if now - self._led_since < self.timing.election:
            return True
        limit = now - self.timing.election
        heard = {name for name, item in self._progress.items() if item.heard_at >= limit}
        return self.membership.is_quorum(heard | {self.identity})

    def _send_heartbeats(self, now: float) -> None:
        self._round += 1
        self._next_heartbeat = now + self.timing.heartbeat
        for identity in self._list_others():
            self._send_entries(identity)

    def _send_entries(self, identity: str) -> None:
        progress = self._progress[identity]
        previous = progress.next_index - 1
        previous_term = self.log.get_term(previous)
        if previous_term is None:
            self._send_snapshot(identity, progress)
            return
        last = min(self.log.unsaved_from - 1, previous + self.timing.append_entries)
        entries = self._limit_bytes(self.log.get_entries(previous + 1, last))
        progress.next_index = previous + 1 + len(entries)
        request = AppendRequest(
            self.term, self.identity, previous, previous_term, entries, self.commit, self._round
        )
        self._send(identity, request)

    def _limit_bytes(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.payload)
            if count and size > self.timing.append_bytes:
                return entries[:count]
        return entries

    def _send_snapshot(self, identity: str, progress: Progress) -> None:
        snapshot = self.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        part = snapshot.data[offset : offset + self.timing.snapshot_part]
        request = SnapshotRequest(
            self.term,
            self.identity,
            replace(snapshot, data=part),
            offset,
            len(snapshot.data),
            self._round,
        )
        self._send(identity, request)

    def _handle_append_reply(self, now: float, reply: AppendReply) -> None:
        progress = self._progress.get(reply.follower)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        progress.heard_at = now
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            progress.next_index = max(1, min(progress.next_index, reply.match_index + 1))
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._send_entries(reply.follower)
        self._advance_commit(now)
        self._finish_reads()
        self._try_transfer()

    def _handle_snapshot_reply(self, now: float, reply: SnapshotReply) -> None:
        progress = self._progress.get(reply.follower)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        progress.heard_at = now
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        if reply.installed:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
        elif reply.index == progress.snapshot_index and reply.offset > progress.snapshot_offset:
            progress.snapshot_offset = reply.offset
            self._send_snapshot(reply.follower, progress)
        self._finish_reads()

    def _advance_commit(self, now: float) -> None:
        matches = sorted(
            self._progress[name].match_index
            for name in self.membership.voters
            if name in self._progress
        )
        if not matches:
            return
        index = matches[(len(matches) - 1) // 2]
        if index > self.commit and self.log.get_term(index) == self.term:
            self._commit_to(index)
            self._leave_if_removed(now)

    def _leave_if_removed(self, now: float) -> None:
        if not self.is_voter and self.membership_index <= self.commit:
            self._step_down(now)

    def _finish_reads(self) -> None:
        waiting = []
        for read in self._reads:
            heard = {
                name
                for name, item in self._progress.items()
                if item.acknowledged_round >= read.round
            }
            if self.membership.is_quorum(heard | {self.identity}):
                self._effects.append(ReadReady(read.number, read.index))
            else:
                waiting.append(read)
        self._reads = waiting

    def _try_transfer(self) -> None:
        progress = self._progress.get(self._transfer_target)
        if progress is not None and progress.match_index == self.log.last_index:
            self._send(self._transfer_target, ElectNow(self.term, self.identity))

    # Following

    def _handle_append_request(self, now: float, request: AppendRequest) -> None:
        if request.term < self.term:
            reply = AppendReply(self.term, self.identity, False, 0, request.round)
            self._send(request.leader, reply)
            return
        self._follow(now, request.leader)
        term = self.log.get_term(request.previous_index)
        is_in_snapshot = request.previous_index < self.log.base_index
        if not is_in_snapshot and term != request.previous_term:
            hint = self.log.last_index if term is None else self.commit
            self._send(
                request.leader,
                AppendReply(self.term, self.identity, False, hint, request.round),
            )
            return
        self.log.merge(request.entries)
        self._update_membership(now)
        match = max(request.previous_index + len(request.entries), self.commit)
        self._commit_to(min(request.commit, match))
        self._send(
            request.leader, AppendReply(self.term, self.identity, True, match, request.round)
        )

    def _handle_snapshot_request(self, now: float, request: SnapshotRequest) -> None:
        if request.term < self.term:
            return
        self._follow(now, request.leader)
        index = request.snapshot.index
        if index <= self.commit:
            self._reply_to_snapshot(request, self.commit, 0, installed=True)
            return
        if request.offset == 0:
            self._incoming = IncomingSnapshot(request.term, request.snapshot)
        incoming = self._incoming
        if incoming is None or (incoming.term, incoming.snapshot.index) != (request.term, index):
            self._reply_to_snapshot(request, index, 0, installed=False)
            return
        data = incoming.data
        if request.offset == len(data):
            data += request.snapshot.data
        if len(data) < request.size:
            self._reply_to_snapshot(request, index, len(data), installed=False)
            return
        self._install(now, replace(incoming.snapshot, data=bytes(data)))
        self._reply_to_snapshot(request, index, len(data), installed=True)

    def _install(self, now: float, snapshot: Snapshot) -> None:
        self._incoming = None
        tail = self.log.compact(snapshot)
        self.commit = snapshot.index
        self._effects.append(SaveSnapshot(snapshot, tail))
        self._effects.append(InstallSnapshot(snapshot))
        self._update_membership(now)

    def _reply_to_snapshot(
        self, request: SnapshotRequest, index: int, offset: int, *, installed: bool
    ) -> None:
        reply = SnapshotReply(self.term, self.identity, index, offset, installed, request.round)
        self._send(request.leader, reply)

    def _follow(self, now: float, leader: str) -> None:
        self.heard_leader_at = now
        self._reset_deadline(now)
        if self.role != Role.FOLLOWER or self.leader != leader:
            self.leader = leader
            self._become(now, Role.FOLLOWER)

    # Shared steps

    def _append(self, now: float, kind: EntryKind, *, payload=b"", membership=None) -> int:
        index = self.log.last_index + 1
        time = self.compute_log_time(now)
        self.log.append(LogEntry(index, self.term, kind, payload, membership, time))
        if kind == EntryKind.MEMBERSHIP:
            self._update_membership(now)
        return index

    def _commit_to(self, index: int) -> None:
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
            self._progress[name] = Progress(next_index=self.log.last_index + 1, heard_at=now)
        for name in self._progress.keys() - names:
            del self._progress[name]

    def _become(self, now: float, role: Role) -> None:
        self.role = role
        self._reset_deadline(now)
        self._effects.append(RoleChanged(role, self.term, self.leader))

    def _reset_deadline(self, now: float) -> None:
        self._deadline = now + self.timing.election * self.random.uniform(1.0, 2.0)

    def _save_hard_state(self, hard_state: HardState) -> None:
        self.hard_state = hard_state
        self._effects.append(SaveHardState(hard_state))

    def _list_others(self) -> list[str]:
        return sorted(self.membership.identities - {self.identity})

    def _send(self, identity: str, message: Message) -> None:
        member = self.membership.get_member(identity)
        address = member.address if member else ""
        self._effects.append(Send(identity, address, message))

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects
