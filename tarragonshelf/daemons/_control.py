"""The control process."""

import asyncio
import secrets
from random import SystemRandom

from mode import Service

from ..base import Effect, Message
from ..consensus import SaveEntries, SaveHardState, SaveSnapshot, Send, Timing
from ..control import ControlNode
from ..replication import (
    CallPeer,
    CallReceived,
    EmitEvent,
    PeerCallEnded,
    PeerMessageReceived,
    Reply,
    StopRequested,
)
from ..serving import AdministrationServer
from ..settings import ControlSettings
from ..storage import CorruptionError, ReplicaStore, create_local_file_system
from ..telemetry import (
    LogRateLimiter,
    Metrics,
    create_clock,
    create_logger,
    create_unknown_reporter,
)
from ..transport import (
    Connection,
    Frame,
    PeerCalls,
    PeerLinks,
    PeerServer,
    compute_maximum_handshakes,
)
from ._connections import CHECK_SECONDS, create_connections, get_maximum_descriptors

TICK_INTERVAL_SECONDS = 0.02
PEER_CALL_TIMEOUT_SECONDS = 1.0
TRANSFER_TIMEOUT_SECONDS = 2.0
INCARNATION_BYTES = 6
STORAGE_EFFECTS = (SaveHardState, SaveEntries, SaveSnapshot)


class ControlService(Service):
    """Runs the state machine of a control and executes its effects.

    Parameters
    ----------
    settings : ControlSettings
        The settings of the process.
    secret : bytes
        The fleet secret.
    """

    def __init__(self, settings: ControlSettings, secret: bytes):
        super().__init__()
        self.settings = settings
        self.clock = create_clock()
        self.logger = create_logger(vm=settings.vm, role="control", clock=self.clock)
        self.metrics = Metrics()
        self.log_budget = LogRateLimiter(self.logger)
        self.connections = create_connections(settings, report=self._report, metrics=self.metrics)
        self.links = PeerLinks(
            vm=settings.vm,
            role="control",
            secret=secret,
            clock=self.clock,
            handler=self._handle_frame,
            report_unknown=create_unknown_reporter(self.metrics, self.log_budget.write),
        )
        self.peer_calls = PeerCalls(
            self.links, timeout=PEER_CALL_TIMEOUT_SECONDS, on_end=self._finish_peer_call
        )
        self.server = PeerServer(
            vm=settings.vm,
            secret=secret,
            frames=self.links.frames,
            clock=self.clock,
            handler=self._handle_frame,
            report=self._report,
            maximum_handshakes=compute_maximum_handshakes(get_maximum_descriptors(settings)),
        )
        self.administration = AdministrationServer(
            metrics=self.metrics,
            is_ready=self._is_ready,
            refresh=self._update_gauges,
            connections=self.connections,
        )
        self.store: ReplicaStore | None = None
        self.node: ControlNode | None = None
        self._inbox: list[Message] = []
        self._is_batch_scheduled = False
        self._pending_calls: dict[int, tuple[Connection, int]] = {}
        self._last_number = 0

    async def on_start(self) -> None:
        """Restore the state from the data folder and start listening."""
        try:
            self.node = self._restore()
        except CorruptionError as error:
            self._report("control_refused_to_start", problem=str(error))
            raise SystemExit(1) from error
        host, _, port = self.settings.peer.rpartition(":")
        await self.server.start(host, int(port))
        await self.administration.start(self.settings.administration)
        self.logger.msg("control_started", identity=self.node.identity)

    async def on_stop(self) -> None:
        """Transfer leadership if this control is the leader, then stop."""
        await self._transfer_leadership()
        self.peer_calls.close()
        await self.server.stop()
        await self.administration.stop()
        self.links.close()
        self.logger.msg("control_stopped")

    @Service.task
    async def _tick(self) -> None:
        checked_at = 0.0
        while not self.should_stop:
            self._process_batch(is_tick=True)
            now = self._read_time()
            if now - checked_at >= CHECK_SECONDS:
                checked_at = now
                self.connections.check(now, CHECK_SECONDS)
                self.log_budget.report_dropped()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    def _finish_peer_call(
        self, address: str, request: Message, reply: Message | None, problem: str
    ) -> None:
        self._handle_event(PeerCallEnded(address, request, reply, problem))

    def _restore(self) -> ControlNode:
        settings = self.settings
        self.store = ReplicaStore(
            create_local_file_system(settings.data_folder), self.links.frames.codec
        )
        restored = self.store.restore(lambda: secrets.token_hex(INCARNATION_BYTES))
        if restored.torn is not None:
            torn = restored.torn
            self._report(
                "journal_torn_tail_cut",
                file=torn.name,
                offset=torn.offset,
                dropped=torn.dropped_bytes,
            )
        return ControlNode(
            vm=settings.vm,
            incarnation=restored.incarnation,
            address=settings.peer,
            codec=self.links.frames.codec,
            random=SystemRandom(),
            hard_state=restored.hard_state,
            snapshot=restored.snapshot,
            entries=restored.entries,
            timing=Timing(
                heartbeat_interval=settings.heartbeat_seconds,
                election_timeout=settings.election_seconds,
            ),
            snapshot_entries=settings.snapshot_entries,
            seeds=tuple(item.address for item in settings.controls),
        )

    def _handle_frame(self, connection: Connection, frame: Frame) -> None:
        if frame.call:
            self._last_number += 1
            self._pending_calls[self._last_number] = (connection, frame.call)
            self._handle_event(CallReceived(self._last_number, frame.message))
        else:
            self._handle_event(PeerMessageReceived(frame.message))

    def _handle_event(self, event: Message) -> None:
        self._inbox.append(event)
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            asyncio.get_running_loop().call_soon(self._process_batch)

    def _process_batch(self, *, is_tick: bool = False) -> None:
        """Handle all messages in the inbox as one batch, with one sync to disk."""
        self._is_batch_scheduled = False
        inbox, self._inbox = self._inbox, []
        try:
            self._execute_effects(self._handle_batch(inbox, is_tick=is_tick))
        except Exception as error:
            # The state in memory may be ahead of the disk, so nothing more may be acknowledged.
            self._report("control_failed", problem=repr(error))
            raise SystemExit(1) from error

    def _handle_batch(self, inbox: list[Message], *, is_tick: bool) -> list[Effect]:
        now = self._read_time()
        effects = self.node.tick(now) if is_tick else []
        for message in inbox:
            effects += self.node.handle(now, message)
        return effects + self.node.flush(now)

    def _execute_effects(self, effects: list[Effect]) -> None:
        storage_effects = [effect for effect in effects if isinstance(effect, STORAGE_EFFECTS)]
        if storage_effects:
            self.store.save(storage_effects)
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, Reply):
                self._reply(effect)
            elif isinstance(effect, CallPeer):
                self.peer_calls.start(effect.address, effect.message)
            elif isinstance(effect, EmitEvent):
                self._report(effect.event, **effect.fields)

    def _send(self, effect: Send) -> None:
        address = effect.address or self._find_address(effect.identity)
        if address:
            self.links.get(address).post(effect.message)

    def _find_address(self, identity: str) -> str:
        vm = identity.partition("/")[0]
        return next((item.address for item in self.settings.controls if item.vm == vm), "")

    def _reply(self, effect: Reply) -> None:
        connection, call = self._pending_calls.pop(effect.call, (None, 0))
        if connection is not None:
            connection.send(effect.message, call=call, is_reply=True)

    async def _transfer_leadership(self) -> None:
        if not self.node.replica.is_leader:
            return
        self._execute_effects(self.node.handle(self._read_time(), StopRequested()))
        deadline = self._read_time() + TRANSFER_TIMEOUT_SECONDS
        while self.node.replica.is_leader and self._read_time() < deadline:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self._process_batch(is_tick=True)

    def _report(self, event: str, **fields) -> None:
        self.metrics.count("events_total", ("event", event))
        self.log_budget.write(event, **fields)

    def _is_ready(self) -> bool:
        return self.node.is_initialized and self.node.replica.is_current(self._read_time())

    def _update_gauges(self) -> None:
        status = self.node.describe(self._read_time())
        self.metrics.set("control_is_leader", int(status.leader == status.identity))
        self.metrics.set("control_is_current", int(status.is_current))
        self.metrics.set("control_term", status.term)
        self.metrics.set("control_commit_index", status.commit)
        self.metrics.set("control_log_entries", status.log_entries)
        self.metrics.set("configuration_version", status.configuration.version)
        self.metrics.set("ejections", len(status.ejections))
        self.metrics.set("orders_unresolved", status.unresolved)
        self.metrics.set("order_keys", status.keys)
        self.metrics.set("entries_attached", len(status.entries))

    def _read_time(self) -> float:
        return asyncio.get_running_loop().time()


def create_control_service(settings: ControlSettings, secret: bytes) -> ControlService:
    """Return the service of a control process."""
    return ControlService(settings, secret)
