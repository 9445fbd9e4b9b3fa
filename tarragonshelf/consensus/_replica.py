"""One replica of the log: election, replication, reads, membership."""

from ..base import Effect, Message
from ._elections import ElectionMixin
from ._following import FollowingMixin
from ._leading import LeadingMixin
from ._messages import (
    AppendReply,
    AppendRequest,
    ElectNow,
    EntryKind,
    Membership,
    SaveEntries,
    SaveSnapshot,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from ._progress import Read


class Replica(ElectionMixin, LeadingMixin, FollowingMixin):
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
