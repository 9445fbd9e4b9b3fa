"""Follower: appends the leader's entries and installs its snapshots."""

from dataclasses import replace

from ._messages import (
    AppendReply,
    AppendRequest,
    InstallSnapshot,
    SaveSnapshot,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
)
from ._progress import IncomingSnapshot
from ._state import ReplicaState, Role


class FollowerMixin(ReplicaState):
    """Replicates the log of the leader."""

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
        self._commit_up_to(min(request.commit, match))
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
        self.last_leader_contact = now
        self._reset_deadline(now)
        if self.role != Role.FOLLOWER or self.leader != leader:
            self.leader = leader
            self._become(now, Role.FOLLOWER)
