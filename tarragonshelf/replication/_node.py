"""Base class of nodes with a replica."""

from abc import abstractmethod
from random import Random

from expression import Result

from ..base import Codec, Effect, Message, StateMachine
from ..consensus import (
    Commit,
    HardState,
    InstallSnapshot,
    Log,
    LogEntry,
    Membership,
    ReadReady,
    Replica,
    Role,
    RoleChanged,
    SaveSnapshot,
    Snapshot,
    Timing,
)
from ._admission import plan_join
from ._join_requests import JoinRequests
from ._messages import Done, EmitEvent, Join, PeerCallEnded, Refused, RefusedReason, Reply, Retire
from ._pending_calls import PendingCalls
from ._seat_release import SeatRelease


class ReplicatedNode(StateMachine):
    """A replica, and the calls that wait for its commits and reads.

    Parameters
    ----------
    identity : str
        Identity of the replica, as ``vm/incarnation``.
    codec : Codec
        Encodes commands and snapshots.
    random : Random
        Randomizes election time-outs.
    hard_state, snapshot, entries
        State restored from the data folder.
    timing : Timing
        Intervals and message limits of replication.
    vm, address : str
        VM of the replica, and the address at which others reach it.
    seeds : tuple of str, optional
        Addresses of some replicas, which are asked for membership.
    """

    def __init__(
        self,
        *,
        identity: str,
        codec: Codec,
        random: Random,
        hard_state: HardState,
        snapshot: Snapshot | None,
        entries: tuple[LogEntry, ...],
        timing: Timing,
        vm: str,
        address: str,
        seeds: tuple[str, ...] = (),
    ):
        self.identity = identity
        self.codec = codec
        self.replica = Replica(
            identity=identity,
            log=Log(snapshot=snapshot, entries=entries),
            hard_state=hard_state,
            random=random,
            timing=timing,
        )
        self.joins = JoinRequests(Join(identity, vm, address), seeds)
        # Set once the process was asked to stop, if the role gives its seat back.
        self._seat_release: SeatRelease | None = None
        self._pending_calls = PendingCalls()
        self._effects: list[Effect] = []

    @property
    def leader_address(self) -> str:
        """Address of the leader, or an empty string if unknown."""
        member = self.replica.membership.get_member(self.replica.leader)
        return member.address if member else ""

    @property
    def is_member(self) -> bool:
        """Whether this replica is a voter or a learner in the membership that it knows."""
        return self.identity in self.replica.membership.identities

    # Operations of subclasses

    @abstractmethod
    def _apply(self, now: float, entries: tuple[LogEntry, ...]) -> None:
        """Apply committed entries."""

    @abstractmethod
    def _restore_state(self, state: Message) -> None:
        """Replace the state by that of a snapshot."""

    @abstractmethod
    def _answer_read(self, ready: ReadReady) -> None:
        """Answer a call that waited for a linearizable read."""

    @abstractmethod
    def _refuse_call(self, call: int) -> None:
        """Refuse a call that this replica cannot serve, with the leader's address if known."""

    @abstractmethod
    def _propose_membership(
        self, now: float, call: int, planned: Result[Membership, Refused]
    ) -> None:
        """Propose a planned membership, or refuse the call with a reason."""

    # Effects of the replica

    def _process_effects(self, now: float, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Commit):
                self._apply(now, effect.entries)
            elif isinstance(effect, InstallSnapshot):
                self._restore_state(self.codec.decode(effect.snapshot.data))
            elif isinstance(effect, ReadReady):
                self._answer_read(effect)
            elif isinstance(effect, RoleChanged):
                self._change_role(effect)
            else:
                self._forward_effect(effect)

    def _forward_effect(self, effect: Effect) -> None:
        """Add an effect of the replica to those that the process carries out."""
        self._effects.append(effect)

    def _change_role(self, effect: RoleChanged) -> None:
        fields = {"replica_role": effect.role, "term": effect.term, "leader": effect.leader}
        self._effects.append(EmitEvent("replica_role_changed", fields))
        if effect.role != Role.LEADER:
            refused = Refused(RefusedReason.LEADERSHIP_LOST, self.leader_address)
            for call in self._pending_calls.pop_leader_calls():
                self._reply(call, refused)

    def _bootstrap(self, membership: Membership, state: Message) -> None:
        """Initialize the log with a snapshot of the first voters and their state."""
        snapshot = Snapshot(1, 0, membership, self.codec.encode(state))
        self.replica.log.compact(snapshot)
        self.replica.commit = 1
        self.replica.membership_index, self.replica.membership = 1, membership
        self._restore_state(state)
        self._effects.append(SaveSnapshot(snapshot))

    # Calls

    def _propose(self, now: float, call: int, command: Message) -> None:
        index = self.replica.propose(now, self.codec.encode(command))
        if index is None:
            self._refuse_call(call)
        else:
            self._pending_calls.add_proposal(index, self.replica.term, call)

    def _start_read(self, now: float, call: int, message: Message) -> None:
        if not self.replica.has_committed_in_term:
            self._refuse_call(call)
            return
        number = self._pending_calls.add_read(call, message)
        self._process_effects(now, self.replica.start_read(now, number))

    def _join(self, now: float, call: int, message: Join) -> None:
        """Add a learner; it replaces its VM's old incarnation once it has caught up."""
        membership = self.replica.membership
        if not self.replica.has_committed_in_term:
            self._refuse_call(call)
        elif message.identity in membership.identities:
            self._reply(call, Done(self.replica.commit))
        else:
            self._propose_membership(now, call, plan_join(membership, message))

    def _handle_call_result(self, now: float, ended: PeerCallEnded) -> None:
        if isinstance(ended.request, Join):
            self._effects += self.joins.handle_result(now, ended)
        elif self._seat_release is not None and isinstance(ended.request, Retire):
            self._effects += self._seat_release.handle_result(ended)

    def _reply(self, call: int, message: Message) -> None:
        self._effects.append(Reply(call, message))

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
