"""Control process (hub) of a site."""

import asyncio
from dataclasses import dataclass
from random import SystemRandom

from aiohttp import web
from mode import Service

from ..allowances import AllowanceRequest
from ..avoidance import EvidenceNews
from ..base import Effect, Message
from ..buffering import BufferBudget, BufferLimits, compute_limits, compute_maximum_targets
from ..catalogue import CallerLimits, CatalogueReader
from ..consensus import Send, Timing
from ..forwarding import RetryBudgetSettings
from ..hub import (
    NO_RETRY_BUDGET,
    AnnounceTarget,
    HubNode,
    HubRecord,
    LoadReport,
    PushToSubscriber,
    RepeatAsk,
    SendToPeer,
    Subscribe,
    SubscriberLost,
    SubscriberReceived,
    create_first_membership,
)
from ..registry import TargetEntry, TargetNews
from ..replication import (
    CallPeer,
    CallReceived,
    EmitEvent,
    FaultTolerance,
    PeerCallEnded,
    PeerMessageReceived,
    Refused,
    RefusedReason,
    Reply,
    StopRequested,
)
from ..serving import AdministrationServer, CallerConnections, HttpServer, read_resident_bytes
from ..storage import CorruptionError, RestoredState
from ..telemetry import (
    LogRateLimiter,
    Metrics,
    create_clock,
    create_logger,
    create_unknown_reporter,
)
from ..throttling import PermitRequest
from ..transport import (
    SITE_PACKAGES,
    CallTimeoutError,
    Connection,
    Frame,
    MessageBatcher,
    PeerCalls,
    PeerLinks,
    PeerServer,
    UnreachableError,
    compute_maximum_handshakes,
    create_codec,
)
from ._hub_disk import HubDisk
from ._interfaces import HubCommands, HubRequestHandler
from ._process import read_time

TICK_SECONDS = 0.05
# Time-outs of callers are checked this often, and are known to within this time.
CALLER_CHECK_SECONDS = 1.0
# Share of the memory beyond that at the start for targets and operators. The rest is for the
# catalogue, the log and the registry, which grow.
CALLERS_SHARE = 0.5
PEER_CALL_TIMEOUT_SECONDS = 0.5
# The platform kills a process 6 s after it was asked to stop.
MAXIMUM_STOP_SECONDS = 4.5
# Targets and operators give up after 1 s without a response and try another control.
SUBMIT_TIMEOUT_SECONDS = 0.95
SUBMIT_ATTEMPT_TIMEOUT_SECONDS = 0.8
SUBMIT_RETRY_DELAY_SECONDS = 0.05
# Interval at which the replica is restored from disk again while disk operations fail.
DISK_RETRY_SECONDS = 0.5
# Traffic between data centres is expensive and elections are rare. So the leader sends a heartbeat
# every 0.3 s, and followers start an election after 1.0 to 2.0 s without one.
HEARTBEAT_INTERVAL_SECONDS = 0.3
ELECTION_TIMEOUT_SECONDS = 1.0
# Shorter for the first election: when all controls start together, callers wait for its leader.
INITIAL_ELECTION_TIMEOUT_SECONDS = 0.35


@dataclass(frozen=True, slots=True, kw_only=True)
class HubSettings:
    """Settings of a hub.

    ``regions`` maps data centres to their regions. ``seeds`` are the VMs of the first voters.
    ``api_address`` is for targets and operators. ``peer_listen_address`` is set if peers reach
    this hub at another address than the one it listens on, for example through a TCP proxy.
    ``tolerance`` is what the voters have to bear.
    ``memory_bytes`` and ``maximum_descriptors`` are what the process may use, or None if there is
    no limit.
    """

    name: str
    record: HubRecord
    regions: dict[str, str]
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    api_address: str
    metrics_address: str = ""
    peer_listen_address: str = ""
    budget: RetryBudgetSettings = NO_RETRY_BUDGET
    tolerance: FaultTolerance = FaultTolerance()
    memory_bytes: int | None = None
    maximum_descriptors: int | None = None


class HubService(Service, HubCommands):
    """Runs a hub: passes frames of peers and entries, calls and ticks to its node.

    Parameters
    ----------
    settings : HubSettings
        Settings of the hub.
    reader : CatalogueReader
        Reads operators' documents.
    request_handler : HubRequestHandler
        Handles HTTP requests of targets and operators.
    secret : bytes
        Authenticates the processes of the site to each other.

    Notes
    -----
    Everything that arrives in one pass of the event loop is handled as one batch, whose effects
    are saved with one sync before any message is sent.
    """

    def __init__(
        self,
        settings: HubSettings,
        *,
        reader: CatalogueReader,
        request_handler: HubRequestHandler,
        secret: bytes,
    ):
        super().__init__()
        self.settings = settings
        self.reader = reader
        self.request_handler = request_handler
        self.clock = create_clock()
        self.logger = create_logger(vm=settings.name, role="control", clock=self.clock)
        self.log_budget = LogRateLimiter(self.logger)
        self.metrics = Metrics()
        self.links = PeerLinks(
            vm=settings.record.vm,
            role="control",
            secret=secret,
            clock=self.clock,
            handler=self._receive,
            codec=create_codec(SITE_PACKAGES),
            report_unknown=create_unknown_reporter(self.metrics, self._report),
        )
        self.peer_calls = PeerCalls(
            self.links, timeout=PEER_CALL_TIMEOUT_SECONDS, on_end=self._finish_peer_call
        )
        # Memory beyond that at the start, or None if there is no limit.
        self._free_bytes: int | None = None
        if settings.memory_bytes is not None:
            self._free_bytes = max(0, settings.memory_bytes - read_resident_bytes())
        self.outbox = MessageBatcher(self.links.frames, self.clock)
        self.server = PeerServer(
            vm=settings.record.vm,
            secret=secret,
            frames=self.links.frames,
            clock=self.clock,
            handler=self._receive,
            report=self._report,
            on_close=self._remove_subscriber,
            maximum_handshakes=compute_maximum_handshakes(settings.maximum_descriptors),
        )
        self.callers = CallerConnections(
            BufferBudget(self._compute_limits()),
            CallerLimits,
            report=self._report,
            metrics=self.metrics,
        )
        self.api_server = HttpServer(self._handle_request, self.callers)
        self.administration = AdministrationServer(
            metrics=self.metrics,
            is_ready=self._is_ready,
            refresh=self._refresh,
            connections=self.callers,
        )
        self.seeds = list(settings.seeds)
        self.tolerance = settings.tolerance
        self.node: HubNode | None = None
        self.disk = HubDisk(
            settings.data_folder,
            self.links.frames.codec,
            is_first_start=settings.is_first_start and settings.record.vm in settings.seeds,
        )
        self._inbox: list[Message] = []
        self._is_batch_scheduled = False
        self._last_number = 0
        self._pending_calls: dict[int, asyncio.Future] = {}
        self._subscribers: dict[int, Connection] = {}
        self._subscriber_numbers: dict[Connection, int] = {}
        self._disk_failed_at: float | None = None

    # Start and stop

    async def on_start(self) -> None:
        """Restore the replica from the data folder and listen."""
        self._restore()
        listen_address = self.settings.peer_listen_address or self.settings.record.address
        host, _, port = listen_address.rpartition(":")
        await self.server.start(host, int(port))
        self.callers.update_limits(self._compute_limits())
        await self.api_server.start(self.settings.api_address)
        if self.settings.metrics_address:
            await self.administration.start(self.settings.metrics_address)
        self.logger.msg(
            "control_started",
            identity=self.node.identity if self.node else "",
            commit=self.node.replica.commit if self.node else 0,
        )

    async def stop(self) -> None:
        """Transfer leadership if this hub leads, give its seat back if possible, then stop."""
        self.logger.msg("control_stopping")
        await self._prepare_stop()
        await super().stop()

    async def on_stop(self) -> None:
        """Close all connections."""
        self.peer_calls.close()
        await self.api_server.stop()
        await self.server.stop()
        if self.settings.metrics_address:
            await self.administration.stop()
        self.links.close()
        self.logger.msg("control_stopped")

    def reload(self, seeds: tuple[str, ...], tolerance: FaultTolerance) -> None:
        """Add the seeds that the settings file names now, and use its fault tolerance."""
        self.seeds = list(dict.fromkeys([*seeds, *self.seeds]))
        self.tolerance = tolerance
        if self.node is not None:
            self.node.joins.add_seeds(self._list_seed_addresses())
            self.node.set_fault_tolerance(tolerance)
        self.logger.msg("settings_reloaded", seeds=list(seeds))

    @Service.task
    async def _tick(self) -> None:
        checked_at = 0.0
        while not self.should_stop:
            self._process_batch(is_tick=True)
            self.log_budget.report_dropped()
            now = read_time()
            if now - checked_at >= CALLER_CHECK_SECONDS:
                checked_at = now
                self.callers.check(now, CALLER_CHECK_SECONDS)
            await asyncio.sleep(TICK_SECONDS)

    def _compute_limits(self) -> BufferLimits:
        """Return the limits on what is held for targets and operators."""
        memory_bytes, base_bytes = None, read_resident_bytes()
        if self.settings.memory_bytes is not None:
            free = max(0, self.settings.memory_bytes - base_bytes)
            memory_bytes = base_bytes + int(free * CALLERS_SHARE)
        return compute_limits(memory_bytes, base_bytes, self.settings.maximum_descriptors)

    def _finish_peer_call(
        self, address: str, request: Message, reply: Message | None, problem: str
    ) -> None:
        outcome = "not-answered" if reply is None else "accepted"
        if isinstance(reply, Refused):
            outcome = str(reply.reason)
        kind = ("kind", type(request).__name__)
        self.metrics.count("peer_calls_total", kind, ("outcome", outcome))
        self._inbox.append(PeerCallEnded(address, request, reply, problem))
        self._schedule_batch()

    def _list_seed_addresses(self) -> tuple[str, ...]:
        port = self.settings.record.address.rpartition(":")[2]
        return tuple(f"{seed}:{port}" for seed in self.seeds)

    # Data folder

    def _restore(self) -> None:
        """Restart the replica from the data folder."""
        try:
            restored = self.disk.restore()
            if restored.torn is not None:
                self._report("journal_torn_tail_cut", file=restored.torn.name)
            self._replace_node(restored)
            if self.disk.is_first_start and not (restored.snapshot or restored.entries):
                self._bootstrap()
        except CorruptionError as error:
            self._report("control_refused_to_start", problem=str(error))
            raise SystemExit(1) from error
        except OSError as error:
            self._disk_failed_at = read_time()
            self._report("disk_refused", problem=repr(error))

    def _replace_node(self, restored: RestoredState) -> None:
        previous = self.node
        # The new node knows none of the entries. They subscribe again, here or at another hub.
        for connection in list(self._subscribers.values()):
            connection.close()
        self.node = HubNode(
            record=self.settings.record,
            incarnation=restored.incarnation,
            regions=self.settings.regions,
            codec=self.links.frames.codec,
            reader=self.reader,
            random=SystemRandom(),
            hard_state=restored.hard_state,
            snapshot=restored.snapshot,
            entries=restored.entries,
            timing=Timing(
                heartbeat_interval=HEARTBEAT_INTERVAL_SECONDS,
                election_timeout=ELECTION_TIMEOUT_SECONDS,
                initial_election_timeout=INITIAL_ELECTION_TIMEOUT_SECONDS,
            ),
            budget=self.settings.budget,
            seeds=self._list_seed_addresses(),
            maximum_targets=compute_maximum_targets(self._free_bytes),
            tolerance=self.tolerance,
        )
        if previous is not None:
            # State that is kept only in memory stays valid when writes to disk fail.
            self.node.adopt_volatile_state(previous)
            self._fail_calls()
            return
        messages, problems = self.disk.load_saved_messages()
        for name, problem in problems.items():
            self._report("memory_not_restored", file=name, problem=problem)
        self.node.restore_saved_messages(read_time(), messages)

    def _bootstrap(self) -> None:
        port = self.settings.record.address.rpartition(":")[2]
        membership = create_first_membership(self.settings.seeds, int(port))
        self._execute_effects(self.node.initialize(membership))

    # Received messages

    def _receive(self, connection: Connection, frame: Frame) -> None:
        if frame.call:
            self._handle_peer_call(connection, frame)
            return
        message = frame.message
        is_from_entry = isinstance(
            message, Subscribe | LoadReport | RepeatAsk | PermitRequest | AllowanceRequest
        ) or (isinstance(message, EvidenceNews) and not message.is_relayed)
        if isinstance(message, TargetNews):
            # Hubs send it, too, but on connections that carry no subscription.
            is_from_entry = connection in self._subscriber_numbers
        if is_from_entry:
            self._inbox.append(
                SubscriberReceived(self._get_subscriber_number(connection), message)
            )
        else:
            self._inbox.append(PeerMessageReceived(message))
        self._schedule_batch()

    def _get_subscriber_number(self, connection: Connection) -> int:
        if connection not in self._subscriber_numbers:
            self._last_number += 1
            self._subscriber_numbers[connection] = self._last_number
            self._subscribers[self._last_number] = connection
        return self._subscriber_numbers[connection]

    def _remove_subscriber(self, connection: Connection) -> None:
        number = self._subscriber_numbers.pop(connection, None)
        if number is not None:
            del self._subscribers[number]
            self._inbox.append(SubscriberLost(number))
            self._schedule_batch()

    def _handle_peer_call(self, connection: Connection, frame: Frame) -> None:
        future = self._start_call(frame.message)

        def reply(done: asyncio.Future) -> None:
            if not done.cancelled():
                connection.send(done.result(), call=frame.call, is_reply=True)

        future.add_done_callback(reply)

    def _start_call(self, message: Message) -> asyncio.Future:
        self._last_number += 1
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[self._last_number] = future
        self._inbox.append(CallReceived(self._last_number, message))
        self._schedule_batch()
        return future

    def _schedule_batch(self) -> None:
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            asyncio.get_running_loop().call_soon(self._process_batch)

    # Batches

    def _process_batch(self, *, is_tick: bool = False) -> None:
        """Handle all messages in the inbox as one batch, with one sync to disk."""
        self._is_batch_scheduled = False
        inbox, self._inbox = self._inbox, []
        if self._is_disk_failing():
            self._refuse_calls(inbox)
            return
        try:
            self._execute_effects(self._handle_batch(inbox, is_tick=is_tick))
        except OSError as error:
            # The state in memory is ahead of the disk: nothing of this batch may be acknowledged.
            self._disk_failed_at = read_time()
            self._report("disk_refused", problem=repr(error))
            self._restore()
        except Exception as error:
            # The state in memory may be ahead of the disk, so the replica restarts from disk.
            self._report("batch_failed", problem=repr(error))
            self._restore()

    def _is_disk_failing(self) -> bool:
        """Return whether the disk still fails; retry it once per ``DISK_RETRY_SECONDS``."""
        if self._disk_failed_at is None:
            return False
        if read_time() - self._disk_failed_at < DISK_RETRY_SECONDS:
            return True
        self._disk_failed_at = None
        self._restore()
        return self._disk_failed_at is not None

    def _refuse_calls(self, inbox: list[Message]) -> None:
        refused = Refused(RefusedReason.BUSY, detail="the disk refuses writes")
        for message in inbox:
            if isinstance(message, CallReceived):
                self._finish_call(message.call, refused)

    def _handle_batch(self, inbox: list[Message], *, is_tick: bool) -> list[Effect]:
        now = read_time()
        effects = self.node.tick(now) if is_tick else []
        for message in inbox:
            effects += self.node.handle(now, message)
        return effects + self.node.flush(now)

    def _execute_effects(self, effects: list[Effect]) -> None:
        self.disk.save(effects)
        for effect in effects:
            if isinstance(effect, Send | SendToPeer):
                if effect.address:
                    self.outbox.add(self.links.get(effect.address), effect.message)
            elif isinstance(effect, PushToSubscriber):
                connection = self._subscribers.get(effect.subscriber)
                if connection is not None:
                    self.outbox.add(connection, effect.message)
            elif isinstance(effect, Reply):
                self._finish_call(effect.call, effect.message)
            elif isinstance(effect, CallPeer):
                self.peer_calls.start(effect.address, effect.message)
            elif isinstance(effect, EmitEvent):
                self._report(effect.event, **effect.fields)
        self.outbox.send()

    def _finish_call(self, call: int, message: Message) -> None:
        future = self._pending_calls.pop(call, None)
        if future is not None and not future.done():
            future.set_result(message)

    def _fail_calls(self) -> None:
        refused = Refused(RefusedReason.LEADERSHIP_LOST, detail="the disk refused writes")
        for call in list(self._pending_calls):
            self._finish_call(call, refused)

    # Requests of targets and operators

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        return await self.request_handler.handle(request, self)

    async def announce(self, target: TargetEntry) -> Message | None:
        """Return the reply to a target's announcement, or None if it was refused or timed out."""
        try:
            reply = await asyncio.wait_for(
                self._start_call(AnnounceTarget(target)), SUBMIT_TIMEOUT_SECONDS
            )
        except TimeoutError:
            return None
        return None if isinstance(reply, Refused) else reply

    async def submit(self, message: Message) -> Message | None:
        """Return the leader's reply to a command, or None if the time-out expired first.

        Refusals other than ``INVALID`` are retried until then, at the leader that they name.
        """
        deadline = read_time() + SUBMIT_TIMEOUT_SECONDS
        named_leader = ""
        while (remaining := deadline - read_time()) > 0:
            reply = await self._submit_once(
                message, min(remaining, SUBMIT_ATTEMPT_TIMEOUT_SECONDS), named_leader
            )
            named_leader = reply.leader if isinstance(reply, Refused) else ""
            if reply is not None and not isinstance(reply, Refused):
                return reply
            if isinstance(reply, Refused) and reply.reason == RefusedReason.INVALID:
                return reply
            await asyncio.sleep(max(0.0, min(SUBMIT_RETRY_DELAY_SECONDS, deadline - read_time())))
        return None

    async def _submit_once(
        self, message: Message, timeout: float, named_leader: str = ""
    ) -> Message | None:
        """Send a message once to the leader, which may be this hub.

        A hub that is no member yet knows only leaders that other hubs named.
        """
        if self.node is None:
            return None
        leader = named_leader or self.node.leader_address or self.node.joins.latest_leader
        is_own = leader in ("", self.settings.record.address)
        try:
            if self.node.replica.is_leader or is_own:
                return await asyncio.wait_for(self._start_call(message), timeout)
            return await asyncio.wait_for(self.links.get(leader).call(message, timeout), timeout)
        except (UnreachableError, CallTimeoutError, TimeoutError):
            return None

    async def _prepare_stop(self) -> None:
        """Let the node hand over what others need, while ticks and messages go on."""
        self._inbox.append(StopRequested())
        self._process_batch()
        deadline = read_time() + MAXIMUM_STOP_SECONDS
        while self.node is not None and not self._can_stop() and read_time() < deadline:
            await asyncio.sleep(TICK_SECONDS)

    def _can_stop(self) -> bool:
        return self.node.can_stop or self._disk_failed_at is not None

    # Logs and metrics

    def _report(self, event: str, **fields) -> None:
        self.metrics.count("events_total", ("event", event))
        self.log_budget.write(event, **fields)

    def _is_ready(self) -> bool:
        return self.node is not None and self.node.is_current(read_time())

    def _refresh(self) -> None:
        if self.node is None:
            return
        replica = self.node.replica
        self.metrics.set("control_is_leader", int(replica.is_leader))
        self.metrics.set("control_is_current", int(self.node.is_current(read_time())))
        self.metrics.set("control_is_member", int(self.node.is_member))
        self.metrics.set("control_is_voter", int(replica.is_voter))
        spare = self.node.voter_rules.compute_spare(replica.membership)
        self.metrics.set("control_spare_voters", spare)
        self.metrics.set("control_term", replica.term)
        self.metrics.set("control_commit_index", replica.commit)
        self.metrics.set("catalogue_version", self.node.register.copy.latest_version)
        self.metrics.set("targets_known", len(self.node.targets.list_all()))
        self.metrics.set("entries_attached", len(self._subscribers))
        for service, tokens in self.node.retry_pool.list_tokens().items():
            self.metrics.set("repeat_tokens", tokens, ("service", service))
