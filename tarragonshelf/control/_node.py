"""One control: a replica, the state machine behind it, and the calls that it answers."""

from dataclasses import replace
from random import Random

from expression import Result

from ..base import Codec, Effect, Message
from ..configuration import ApplyConfiguration, Chunk, find_validation_errors
from ..consensus import (
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    ReadReady,
    Snapshot,
    Timing,
)
from ..replication import (
    CallReceived,
    Done,
    EmitEvent,
    Join,
    PeerCallEnded,
    PeerMessageReceived,
    PendingFollow,
    Refused,
    RefusedReason,
    ReplicatedNode,
    Retire,
    StopRequested,
    plan_admission,
    plan_retirement,
)
from ._machine import ControlMachine, ControlSnapshot
from ._messages import (
    COMMANDS,
    AdvanceClock,
    AttachedEntry,
    Chunks,
    ConfigurationRequest,
    ControlStatus,
    FetchChunks,
    Follow,
    Followed,
    Initialize,
    StatusRequest,
    UnresolvedOrders,
    UnresolvedRequest,
)

MAXIMUM_FOLLOW_WAIT_SECONDS = 1.0
ATTACHMENT_TIMEOUT_SECONDS = 30.0
MINIMUM_CLOCK_INTERVAL_SECONDS = 0.5


class ControlNode(ReplicatedNode):
    """Decision logic of a control process; the daemon performs input and output.

    Parameters
    ----------
    vm, incarnation, address : str
        Identity of this control, and the address at which peers reach it.
    codec : Codec
        Encodes commands and snapshots.
    random : Random
        Randomizes election time-outs.
    hard_state, snapshot, entries
        State restored from the data folder.
    timing : Timing
        Intervals and message limits of replication.
    snapshot_entries : int
        Number of applied entries after which the log is compacted into a snapshot.
    seeds : tuple of str, optional
        Peer addresses of the controls that the settings name.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        address: str,
        codec: Codec,
        random: Random,
        hard_state: HardState = HardState(),
        snapshot: Snapshot | None = None,
        entries: tuple[LogEntry, ...] = (),
        timing: Timing = Timing(),
        snapshot_entries: int = 2000,
        seeds: tuple[str, ...] = (),
    ):
        super().__init__(
            identity=f"{vm}/{incarnation}",
            codec=codec,
            random=random,
            hard_state=hard_state,
            snapshot=snapshot,
            entries=entries,
            timing=timing,
            vm=vm,
            address=address,
            seeds=seeds,
        )
        self.vm = vm
        self.address = address
        self.snapshot_entries = snapshot_entries
        self.machine = ControlMachine()
        if snapshot is not None:
            self.machine.restore(codec.decode(snapshot.data))
        self._attached: dict[str, tuple[Follow, float]] = {}
        self._clock_advanced_at = 0.0
        self._was_current = False

    # Queries

    @property
    def is_initialized(self) -> bool:
        """Whether this control holds any part of the replicated log."""
        return self.replica.log.last_index > 0

    @property
    def needs_to_join(self) -> bool:
        """Whether this control is no member and was not removed.

        The log may be meant for an earlier incarnation, which still holds the seat of this VM.
        A control with a log of which no incarnation is a member was removed, and stays outside.
        """
        if not self.is_initialized:
            return True
        return not self.is_member and any(
            item.vm == self.vm for item in self.replica.membership.members
        )

    def describe(self, now: float) -> ControlStatus:
        """Return the status of this control."""
        replica, machine = self.replica, self.machine
        return ControlStatus(
            identity=self.identity,
            vm=self.vm,
            role=str(replica.role),
            term=replica.term,
            leader=replica.leader,
            is_current=replica.is_current(now),
            is_initialized=self.is_initialized,
            commit=replica.commit,
            log_entries=len(replica.log.entries),
            membership=replica.membership,
            configuration=replace(machine.register.current, manifest=()),
            ejections=machine.grants.list_ejections(),
            drained=tuple(sorted(machine.drained)),
            unresolved=len(machine.ledger.list_unresolved()),
            keys=machine.ledger.size,
            entries=self._list_attached(now),
        )

    # Commands

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle a replication message, a call or a stop request."""
        if isinstance(message, PeerMessageReceived):
            self._process_effects(now, self.replica.handle(now, message.message))
        elif isinstance(message, CallReceived):
            self._handle_call(now, message)
        elif isinstance(message, PeerCallEnded):
            self._handle_call_result(now, message)
        elif isinstance(message, StopRequested):
            self._process_effects(now, self.replica.transfer_leadership(now))
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Run what depends on time: elections, heartbeats, time-outs and admission of learners."""
        self._process_effects(now, self.replica.tick(now))
        self._answer_follow_calls(now)
        if self.needs_to_join:
            self._effects += self.joins.create_requests(now, [])
        if self.replica.has_committed_in_term:
            self._admit_learners(now)
            self._advance_clock(now)
        self._report_isolation(now)
        return self._take_effects()

    def flush(self, now: float) -> list[Effect]:
        """End a batch of inputs: replicate new entries, and compact the log if due."""
        self._process_effects(now, self.replica.flush(now))
        self._compact()
        return self._take_effects()

    # Committed entries

    def _apply(self, now: float, entries: tuple[LogEntry, ...]) -> None:
        revision = self.machine.revision
        for entry in entries:
            if entry.kind != EntryKind.COMMAND:
                self.machine.skip(entry.index, entry.time)
                result = Done(entry.index)
            else:
                command = self.codec.decode(entry.payload)
                result = self.machine.apply(entry.index, entry.time, command)
            call = self._pending_calls.pop_proposal(entry.index, entry.term)
            if call is not None:
                self._reply(call, result)
        if self.machine.revision != revision:
            self._answer_follow_calls(now, force=True)

    def _restore_state(self, state: Message) -> None:
        self.machine.restore(state)

    def _compact(self) -> None:
        applied = self.machine.index
        if applied - self.replica.log.base_index >= self.snapshot_entries:
            data = self.codec.encode(self.machine.capture())
            self._effects.extend(self.replica.compact(applied, data))
            self._effects.append(
                EmitEvent("snapshot_taken", {"index": applied, "bytes": len(data)})
            )

    # Calls

    def _handle_call(self, now: float, received: CallReceived) -> None:
        message = received.message
        if isinstance(message, ApplyConfiguration):
            self._apply_configuration(now, received.call, message)
            return
        if isinstance(message, COMMANDS):
            self._propose(now, received.call, message)
            return
        handler = {
            ConfigurationRequest: self._start_read,
            FetchChunks: self._fetch_chunks,
            Follow: self._follow,
            Initialize: self._initialize,
            Join: self._join,
            Retire: self._retire,
            StatusRequest: self._answer_status,
            UnresolvedRequest: self._start_read,
        }.get(type(message))
        if handler is None:
            detail = f"a control does not answer {type(message).__name__}"
            self._reply(received.call, Refused(RefusedReason.UNKNOWN_NAME, detail=detail))
            return
        handler(now, received.call, message)

    def _apply_configuration(self, now: float, call: int, command: ApplyConfiguration) -> None:
        """Propose a document only if it is valid: once committed, it reaches every process."""
        contents = self.machine.register.collect_chunks(command)
        if contents is not None:
            findings = find_validation_errors([contents[digest] for digest in command.manifest])
            if findings:
                detail = "\n".join(str(finding) for finding in findings)
                self._reply(call, Refused(RefusedReason.INVALID, detail=detail))
                return
        self._propose(now, call, command)

    def _answer_read(self, ready: ReadReady) -> None:
        call, message = self._pending_calls.pop_read(ready.number)
        if call is None:
            return
        if isinstance(message, ConfigurationRequest):
            self._reply(call, self._create_followed(is_stale=False, version=None))
        else:
            records = self.machine.ledger.list_unresolved()
            self._reply(call, UnresolvedOrders(self.machine.time, records))

    def _follow(self, now: float, call: int, message: Follow) -> None:
        self._attached[message.vm] = (message, now)
        is_stale = not self.replica.is_current(now)
        if is_stale or not message.is_patient or message.revision != self.machine.revision:
            self._reply(call, self._create_followed(is_stale=is_stale, version=message.version))
            return
        pending = PendingFollow(call, now + MAXIMUM_FOLLOW_WAIT_SECONDS, message.version)
        self._pending_calls.add_follow(pending)

    def _answer_follow_calls(self, now: float, *, force: bool = False) -> None:
        is_stale = not self.replica.is_current(now)
        for pending in self._pending_calls.pop_due_follows(now, include_all=force or is_stale):
            followed = self._create_followed(is_stale=is_stale, version=pending.version)
            self._reply(pending.call, followed)

    def _create_followed(self, *, is_stale: bool, version: int | None) -> Followed:
        """Return the state that entries follow.

        The manifest is omitted if ``version``, which the entry has, is in force already.
        """
        machine = self.machine
        current = machine.register.current
        if version == current.version:
            current = replace(current, manifest=())
        return Followed(
            machine.cluster,
            machine.revision,
            current,
            machine.grants.list_ejections(),
            tuple(sorted(machine.drained)),
            is_stale,
            self.leader_address,
        )

    def _fetch_chunks(self, now: float, call: int, message: FetchChunks) -> None:
        stored = self.machine.register.chunks
        found = (Chunk(digest, stored[digest]) for digest in message.digests if digest in stored)
        self._reply(call, Chunks(tuple(found)))

    def _answer_status(self, now: float, call: int, message: StatusRequest) -> None:
        self._reply(call, self.describe(now))

    def _initialize(self, now: float, call: int, message: Initialize) -> None:
        if self.is_initialized:
            is_same = self.machine.cluster == message.cluster
            refused = Refused(RefusedReason.ALREADY_INITIALIZED, detail=self.machine.cluster)
            self._reply(call, Done() if is_same else refused)
            return
        state = ControlSnapshot(cluster=message.cluster, index=1, revision=0)
        self._bootstrap(message.membership, state)
        self._effects.append(EmitEvent("initialized", {"cluster": message.cluster}))
        self._reply(call, Done(1))

    # Membership changes

    def _retire(self, now: float, call: int, message: Retire) -> None:
        self._propose_membership(now, call, plan_retirement(self.replica.membership, message.vm))

    def _propose_membership(
        self, now: float, call: int, planned: Result[Membership, Refused]
    ) -> None:
        if planned.is_error():
            self._reply(call, planned.error)
            return
        index = self.replica.propose_membership(now, planned.ok)
        if index is None:
            self._refuse_call(call)
            return
        self._pending_calls.add_proposal(index, self.replica.term, call)

    def _admit_learners(self, now: float) -> None:
        replica = self.replica
        if replica.membership_index > replica.commit:
            return
        planned = plan_admission(
            replica.membership, lambda name: replica.commit - replica.get_match_index(name)
        )
        if planned is not None and replica.propose_membership(now, planned) is not None:
            fields = {"voters": sorted(planned.voters)}
            self._effects.append(EmitEvent("voters_changing", fields))

    # Time

    def _advance_clock(self, now: float) -> None:
        is_due = self.machine.ledger.find_next_expiry() <= self.replica.compute_log_time(now)
        if is_due and now - self._clock_advanced_at >= MINIMUM_CLOCK_INTERVAL_SECONDS:
            self._clock_advanced_at = now
            self.replica.propose(now, self.codec.encode(AdvanceClock()))

    def _report_isolation(self, now: float) -> None:
        is_current = self.replica.is_current(now)
        if is_current != self._was_current and self.is_initialized:
            event = "control_rejoined" if is_current else "control_isolated"
            self._effects.append(EmitEvent(event, {"term": self.replica.term}))
        self._was_current = is_current

    def _list_attached(self, now: float) -> tuple[AttachedEntry, ...]:
        return tuple(
            AttachedEntry(
                item.vm, item.http, item.peer, item.data_centre, item.version, now - last_contact
            )
            for item, last_contact in self._attached.values()
            if now - last_contact < ATTACHMENT_TIMEOUT_SECONDS
        )

    def _refuse_call(self, call: int) -> None:
        reason = RefusedReason.NOT_LEADER
        if not self.is_initialized:
            reason = RefusedReason.NOT_INITIALIZED
        elif self.replica.is_leader:
            reason = RefusedReason.BUSY
        self._reply(call, Refused(reason, self.leader_address))
