"""Leader: replication, commit, linearizable reads and leadership transfer."""

from dataclasses import replace

from ..base import Effect
from ._messages import (
    AppendReply,
    AppendRequest,
    ElectNow,
    EntryKind,
    LogEntry,
    ReadReady,
    SnapshotReply,
    SnapshotRequest,
)
from ._progress import Progress
from ._state import ReplicaState, Role


class LeaderMixin(ReplicaState):
    """Replicates the log to the other replicas."""

    def _become_leader(self, now: float) -> None:
        self.leader = self.identity
        self._leading_since = now
        self._log_time_at_election = self.log.last_time
        self._reads = []
        self._transfer_target = ""
        self._progress = {}
        self._update_progress(now)
        self._become(now, Role.LEADER)
        self._append(now, EntryKind.BARRIER)
        self._send_heartbeats(now)

    def _tick_leader(self, now: float) -> None:
        if not self._has_quorum_contact(now):
            self._step_down(now)
            return
        if now >= self._next_heartbeat:
            self._send_heartbeats(now)
        if self._transfer_target and now >= self._deadline:
            self._transfer_target = ""

    def broadcast_commit(self, now: float) -> list[Effect]:
        """Send the commit index to followers without waiting for the next heartbeat."""
        if self.is_leader:
            self._send_heartbeats(now)
        return self._take_effects()

    def list_unresponsive_voters(self, now: float, seconds: float) -> frozenset[str]:
        """Return the voters from which no reply arrived for ``seconds``.

        The set is empty unless this replica has led for at least that time.
        """
        return self.list_unresponsive(now, seconds) & self.membership.voters

    def list_unresponsive(self, now: float, seconds: float) -> frozenset[str]:
        """Return the members from which no reply arrived for ``seconds``, learners included."""
        if not self.is_leader or now - self._leading_since < seconds:
            return frozenset()
        return frozenset(
            name
            for name in self.membership.identities - {self.identity}
            if name in self._progress and now - self._progress[name].last_contact > seconds
        )

    def list_responsive(self, now: float, seconds: float) -> frozenset[str]:
        """Return this leader and the replicas from which a reply arrived within ``seconds``.

        Only the leader itself is known to respond until it has led for that time.
        """
        if not self.is_leader or now - self._leading_since < seconds:
            return frozenset((self.identity,))
        names = (
            name for name, item in self._progress.items() if now - item.last_contact <= seconds
        )
        return frozenset((self.identity, *names))

    def _has_quorum_contact(self, now: float) -> bool:
        if now - self._leading_since < self.timing.election_timeout:
            return True
        oldest = now - self.timing.election_timeout
        responsive = {name for name, item in self._progress.items() if item.last_contact >= oldest}
        return self.membership.is_quorum(responsive | {self.identity})

    def _send_heartbeats(self, now: float) -> None:
        self._round += 1
        self._next_heartbeat = now + self.timing.heartbeat_interval
        for identity in self._list_peers():
            self._send_entries(identity)

    def _send_entries(self, identity: str) -> None:
        progress = self._progress[identity]
        previous = progress.next_index - 1
        previous_term = self.log.get_term(previous)
        if previous_term is None:
            self._send_snapshot(identity, progress)
            return
        last = min(self.log.unsaved_from - 1, previous + self.timing.maximum_append_entries)
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
            if count and size > self.timing.maximum_append_bytes:
                return entries[:count]
        return entries

    def _send_snapshot(self, identity: str, progress: Progress) -> None:
        snapshot = self.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        part = snapshot.data[offset : offset + self.timing.snapshot_part_bytes]
        request = SnapshotRequest(
            self.term,
            self.identity,
            replace(snapshot, data=part),
            offset,
            len(snapshot.data),
            self._round,
        )
        self._send(identity, request)

    def _record_reply(self, now: float, reply: AppendReply | SnapshotReply) -> Progress | None:
        """Record contact with a follower, and return its progress.

        Return None if the reply is of another term or of an unknown replica.
        """
        progress = self._progress.get(reply.follower)
        if not self.is_leader or reply.term != self.term or progress is None:
            return None
        progress.last_contact = now
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        return progress

    def _handle_append_reply(self, now: float, reply: AppendReply) -> None:
        progress = self._record_reply(now, reply)
        if progress is None:
            return
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            progress.next_index = max(1, min(progress.next_index, reply.match_index + 1))
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._send_entries(reply.follower)
        self._advance_commit(now)
        self._finish_reads()
        self._complete_transfer()

    def _handle_snapshot_reply(self, now: float, reply: SnapshotReply) -> None:
        progress = self._record_reply(now, reply)
        if progress is None:
            return
        if reply.installed:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
        elif reply.index == progress.snapshot_index and (
            # A follower that has restarted since has none of the earlier parts.
            reply.offset == 0 or reply.offset > progress.snapshot_offset
        ):
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
            self._commit_up_to(index)
            self._step_down_if_removed(now)

    def _step_down_if_removed(self, now: float) -> None:
        if not self.is_voter and self.membership_index <= self.commit:
            self._step_down(now)

    def _finish_reads(self) -> None:
        pending = []
        for read in self._reads:
            acknowledged = {
                name
                for name, item in self._progress.items()
                if item.acknowledged_round >= read.round
            }
            if self.membership.is_quorum(acknowledged | {self.identity}):
                self._effects.append(ReadReady(read.number, read.index))
            else:
                pending.append(read)
        self._reads = pending

    def _complete_transfer(self) -> None:
        progress = self._progress.get(self._transfer_target)
        if progress is not None and progress.match_index == self.log.last_index:
            self._send(self._transfer_target, ElectNow(self.term, self.identity))
