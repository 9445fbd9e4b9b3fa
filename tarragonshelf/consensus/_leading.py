"""The leader: replication, commit, reads and handing over."""

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


class LeadingMixin(ReplicaState):
    """Replicates its log to the others."""

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

    def broadcast_commit(self, now: float) -> list[Effect]:
        """Tell followers of a commit without waiting for the next heartbeat."""
        if self.is_leader:
            self._send_heartbeats(now)
        return self._take_effects()

    def list_unresponsive_voters(self, now: float, seconds: float) -> frozenset[str]:
        """Return the voters that this leader did not hear for some seconds."""
        if not self.is_leader or now - self._led_since < seconds:
            return frozenset()
        return frozenset(
            name
            for name in self.membership.voters - {self.identity}
            if name in self._progress and now - self._progress[name].heard_at > seconds
        )

    def _hears_quorum(self, now: float) -> bool:
        if now - self._led_since < self.timing.election_timeout:
            return True
        limit = now - self.timing.election_timeout
        heard = {name for name, item in self._progress.items() if item.heard_at >= limit}
        return self.membership.is_quorum(heard | {self.identity})

    def _send_heartbeats(self, now: float) -> None:
        self._round += 1
        self._next_heartbeat = now + self.timing.heartbeat_interval
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

    def _note_reply(self, now: float, reply: AppendReply | SnapshotReply) -> Progress | None:
        """Take note that a follower was heard; return None for a reply to another term."""
        progress = self._progress.get(reply.follower)
        if not self.is_leader or reply.term != self.term or progress is None:
            return None
        progress.heard_at = now
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        return progress

    def _handle_append_reply(self, now: float, reply: AppendReply) -> None:
        progress = self._note_reply(now, reply)
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
        self._try_transfer()

    def _handle_snapshot_reply(self, now: float, reply: SnapshotReply) -> None:
        progress = self._note_reply(now, reply)
        if progress is None:
            return
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
