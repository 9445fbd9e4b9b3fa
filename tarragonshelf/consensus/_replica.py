"""One replica of the log: election, replication, reads, membership."""

from ..base import Effect, Message
from ._elections import ElectionMixin
from ._follower import FollowerMixin
from ._leader import LeaderMixin
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


class Replica(ElectionMixin, LeaderMixin, FollowerMixin):
    """Raft replica that performs no input or output itself.

    Parameters
    ----------
    identity : str
        VM and incarnation of this replica, as ``vm/incarnation``.
    log : Log
        Log restored from the data folder.
    hard_state : HardState
        Term and vote restored from the data folder.
    random : Random
        Randomizes election time-outs.
    timing : Timing
        Intervals in seconds, and size limits of messages.

    Notes
    -----
    The caller must carry out the effects of one batch in this order: all saves, one sync, the
    rest. ``flush`` ends a batch.

    A leader without replies from a quorum for an election time-out steps down (check quorum). A
    replica that has contact with a leader rejects vote requests, unless that leader transfers its
    leadership. A replica that is not a voter in its own membership neither votes nor starts
    elections.

    References
    ----------
    Ongaro, D., Consensus: Bridging Theory and Practice, Stanford University, 2014.
    """

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle a message from another replica."""
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
            self._tick_leader(now)
        elif now >= self._deadline and self.is_voter:
            self._start_pre_vote(now)
        return self._take_effects()

    def flush(self, now: float) -> list[Effect]:
        """End a batch: save and send new entries, and commit those that a quorum has stored."""
        unsaved_from = self.log.unsaved_from
        entries = self.log.take_unsaved()
        if entries:
            self._effects.append(SaveEntries(unsaved_from, entries))
        if self.is_leader:
            self._progress[self.identity].match_index = self.log.last_index
            self._progress[self.identity].last_contact = now
            for identity in self._list_peers():
                if self._progress[identity].next_index <= self.log.last_index:
                    self._send_entries(identity)
            self._advance_commit(now)
        return self._take_effects()

    def propose(self, now: float, payload: bytes) -> int | None:
        """Append a command and return its index.

        Return None on a follower, and on a leader that transfers its leadership.
        """
        if not self.is_leader or self._transfer_target:
            return None
        return self._append(now, EntryKind.COMMAND, payload=payload)

    def propose_membership(self, now: float, membership: Membership) -> int | None:
        """Append a membership that differs by at most one voter, and return its index.

        Return None on a follower, before the leader has committed an entry of its term, while
        another membership is uncommitted, and during a leadership transfer.

        Raises
        ------
        ValueError
            If more than one voter is added or removed.
        """
        is_pending = self.membership_index > self.commit
        if not self.has_committed_in_term or is_pending or self._transfer_target:
            return None
        if len(membership.voters ^ self.membership.voters) > 1:
            raise ValueError("a membership change may add or remove one voter at a time")
        return self._append(now, EntryKind.MEMBERSHIP, membership=membership)

    def start_read(self, now: float, number: int) -> list[Effect]:
        """Start a linearizable read; ``ReadReady`` reports when it may be answered."""
        if self.has_committed_in_term:
            self._reads.append(Read(number, self.commit, self._round + 1))
            self._send_heartbeats(now)
            self._finish_reads()
        return self._take_effects()

    def transfer_leadership(self, now: float) -> list[Effect]:
        """Transfer leadership to a voter with the most up-to-date log that replies.

        Which of several is random, since some may be stopping as well. There is no effect while
        a transfer is under way.
        """

        def compute_rank(name: str) -> tuple:
            progress = self._progress[name]
            is_silent = now - progress.last_contact > 1.5 * self.timing.heartbeat_interval
            return (progress.match_index, not is_silent, self.random.random())

        others = [name for name in self._list_peers() if name in self.membership.voters]
        if self.is_leader and others and not self._transfer_target:
            self._transfer_target = max(others, key=compute_rank)
            self._reset_deadline(now)
            self._send_entries(self._transfer_target)
            self._complete_transfer()
        return self._take_effects()

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """Replace the log up to an applied index by a snapshot of the state machine."""
        entry = self.log.get_entries(index, index)[0]
        compacted = self.log.get_entries(self.log.base_index + 1, index)
        membership = self.log.snapshot.membership if self.log.snapshot else Membership()
        for item in compacted:
            if item.kind == EntryKind.MEMBERSHIP:
                membership = item.membership
        snapshot = Snapshot(index, entry.term, membership, data, entry.time)
        unsaved_from = self.log.unsaved_from
        tail = self.log.compact(snapshot)
        self.log.unsaved_from = max(unsaved_from, index + 1)
        saved_tail = tuple(item for item in tail if item.index < self.log.unsaved_from)
        return [SaveSnapshot(snapshot, saved_tail)]
