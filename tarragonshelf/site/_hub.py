"""The control process of a site."""

import asyncio
from dataclasses import dataclass
from random import SystemRandom

from aiohttp import web
from mode import Service

from ..avoidance import EvidenceNews
from ..base import Effect, Message
from ..catalogue import CatalogueReader
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
from ..registry import TargetEntry
from ..replication import (
    CallReceived,
    EmitEvent,
    Join,
    PeerMessageReceived,
    Refused,
    RefusedReason,
    Reply,
    StopRequested,
)
from ..storage import CorruptionError, RestoredState
from ..telemetry import AdministrationServer, LogBudget, Metrics, create_clock, create_logger
from ..transport import (
    SITE_PACKAGES,
    CallTimeoutError,
    Connection,
    Frame,
    Parcels,
    PeerLinks,
    PeerServer,
    UnreachableError,
    create_codec,
)
from ._dialect import HubCalls, HubPort
from ._hub_disk import HubDisk
from ._process import read_time
from ._question_port import QuestionPort

TICK_SECONDS = 0.05
JOIN_SECONDS = 0.5
HANDOVER_SECONDS = 1.0
# Callers move on after a second without an answer.
SUBMIT_SECONDS = 0.95
TRY_SECONDS = 0.8
PAUSE_SECONDS = 0.05
# While the disk refuses writes the replica starts again from it so often.
DISK_RETRY_SECONDS = 0.5
# Every byte between data centres is dear and an election is rare: a heartbeat each 0.3 s, and an
# election after 1.0 to 2.0 s of silence.
HEARTBEAT_SECONDS = 0.3
ELECTION_SECONDS = 1.0
# When all controls start together, callers wait for the first leader.
FIRST_ELECTION_SECONDS = 0.35


@dataclass(frozen=True, slots=True, kw_only=True)
class HubSettings:
    """What a hub is told at its start.

    ``seeds`` are VMs whose hubs start first. ``listen`` is where peers are awaited, if that is
    not the address that they are told, as behind a forwarder of connections.
    """

    name: str
    record: HubRecord
    places: dict[str, str]
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    calls: str
    metrics: str = ""
    listen: str = ""
    budget: RetryBudgetSettings = NO_RETRY_BUDGET


class HubService(Service, HubPort):
    """Feeds a hub's node with frames, calls and time."""

    def __init__(
        self,
        settings: HubSettings,
        *,
        reader: CatalogueReader,
        calls: HubCalls,
        secret: bytes,
    ):
        super().__init__()
        self.settings = settings
        self.reader = reader
        self.hub_calls = calls
        self.clock = create_clock()
        self.logger = create_logger(vm=settings.name, role="control", clock=self.clock)
        self.budget = LogBudget(self.logger)
        self.metrics = Metrics()
        self.links = PeerLinks(
            vm=settings.record.vm,
            role="control",
            secret=secret,
            clock=self.clock,
            handler=self._receive,
            codec=create_codec(SITE_PACKAGES),
        )
        self.parcels = Parcels(self.links.frames, self.clock)
        self.server = PeerServer(
            vm=settings.record.vm,
            secret=secret,
            frames=self.links.frames,
            clock=self.clock,
            handler=self._receive,
            report=self._report,
            on_close=self._lose,
        )
        self.port = QuestionPort(self._answer_call)
        self.administration = AdministrationServer(
            metrics=self.metrics, is_ready=self._is_ready, refresh=self._refresh
        )
        self.seeds = list(settings.seeds)
        self.node: HubNode | None = None
        self.disk = HubDisk(
            settings.data_folder,
            self.links.frames.codec,
            is_first_start=settings.is_first_start and settings.record.vm in settings.seeds,
        )
        self._inbox: list[Message] = []
        self._is_scheduled = False
        self._number = 0
        self._calls: dict[int, asyncio.Future] = {}
        self._subscribers: dict[int, Connection] = {}
        self._numbers: dict[Connection, int] = {}
        self._disk_failed_at: float | None = None

    # Life

    async def on_start(self) -> None:
        """Restore the data folder and listen."""
        self._restore()
        listen = self.settings.listen or self.settings.record.address
        host, _, port = listen.rpartition(":")
        await self.server.start(host, int(port))
        await self.port.start(self.settings.calls)
        if self.settings.metrics:
            await self.administration.start(self.settings.metrics)
        self.logger.msg(
            "control_started",
            identity=self.node.identity if self.node else "",
            commit=self.node.replica.commit if self.node else 0,
        )

    async def stop(self) -> None:
        """Hand leadership over, then stop."""
        self.logger.msg("control_stopping")
        await self._hand_over()
        await super().stop()

    async def on_stop(self) -> None:
        """Close all connections."""
        await self.port.stop()
        await self.server.stop()
        if self.settings.metrics:
            await self.administration.stop()
        self.links.close()
        self.logger.msg("control_stopped")

    def reload(self, seeds: tuple[str, ...]) -> None:
        """Take in that the settings name other seeds."""
        self.seeds = list(dict.fromkeys([*seeds, *self.seeds]))
        self.logger.msg("settings_reloaded", seeds=list(seeds))

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            self._process(is_tick=True)
            self.budget.report_dropped()
            await asyncio.sleep(TICK_SECONDS)

    @Service.task
    async def _join(self) -> None:
        """Ask to be let in for as long as no leader is heard."""
        while not self.should_stop:
            await asyncio.sleep(JOIN_SECONDS)
            if self.node is None or not self.node.needs_to_join(read_time()):
                continue
            record = self.settings.record
            own = Join(self.node.identity, record.vm, record.address)
            for address in self._list_hubs():
                await self._ask_to_join(address, own)

    def _list_hubs(self) -> list[str]:
        port = self.settings.record.address.rpartition(":")[2]
        seeds = [f"{seed}:{port}" for seed in self.seeds]
        known = self.node.list_peers() if self.node else []
        own = self.settings.record.address
        return [item for item in dict.fromkeys([*known, *seeds]) if item != own]

    async def _ask_to_join(self, address: str, own: Join) -> None:
        try:
            await self.links.get(address).call(own, JOIN_SECONDS)
        except (UnreachableError, CallTimeoutError) as error:
            self._report("join_not_answered", hub=address, problem=str(error))

    # The disk

    def _restore(self) -> None:
        """Start the replica from what the disk holds."""
        try:
            restored = self.disk.restore()
            if restored.torn is not None:
                self._report("journal_torn_tail_cut", file=restored.torn.name)
            self._replace_node(restored)
            if self.disk.is_first_start and not (restored.snapshot or restored.entries):
                self._form_system()
        except CorruptionError as error:
            self._report("control_refused_to_start", problem=str(error))
            raise SystemExit(1) from error
        except OSError as error:
            self._disk_failed_at = read_time()
            self._report("disk_refused", problem=repr(error))

    def _replace_node(self, restored: RestoredState) -> None:
        previous = self.node
        self.node = HubNode(
            record=self.settings.record,
            incarnation=restored.incarnation,
            places=self.settings.places,
            codec=self.links.frames.codec,
            reader=self.reader,
            random=SystemRandom(),
            hard_state=restored.hard_state,
            snapshot=restored.snapshot,
            entries=restored.entries,
            timing=Timing(
                heartbeat_interval=HEARTBEAT_SECONDS,
                election_timeout=ELECTION_SECONDS,
                initial_election_timeout=FIRST_ELECTION_SECONDS,
            ),
            budget=self.settings.budget,
        )
        if previous is not None:
            # What lives in memory is not touched by a disk that refuses writes.
            self.node.adopt_volatile_state(previous)
            self._fail_calls()
            return
        memories, problems = self.disk.load_memories()
        for name, problem in problems.items():
            self._report("memory_not_restored", file=name, problem=problem)
        self.node.restore_saved_messages(read_time(), memories)

    def _form_system(self) -> None:
        port = self.settings.record.address.rpartition(":")[2]
        membership = create_first_membership(self.settings.seeds, int(port))
        self._carry_out(self.node.initialize(membership))

    # Input

    def _receive(self, connection: Connection, frame: Frame) -> None:
        if frame.call:
            self._answer_peer(connection, frame)
            return
        message = frame.message
        is_of_entry = isinstance(message, Subscribe | LoadReport | RepeatAsk) or (
            isinstance(message, EvidenceNews) and not message.is_relayed
        )
        if is_of_entry:
            self._inbox.append(SubscriberReceived(self._number_subscriber(connection), message))
        else:
            self._inbox.append(PeerMessageReceived(message))
        self._schedule()

    def _number_subscriber(self, connection: Connection) -> int:
        if connection not in self._numbers:
            self._number += 1
            self._numbers[connection] = self._number
            self._subscribers[self._number] = connection
        return self._numbers[connection]

    def _lose(self, connection: Connection) -> None:
        number = self._numbers.pop(connection, None)
        if number is not None:
            del self._subscribers[number]
            self._inbox.append(SubscriberLost(number))
            self._schedule()

    def _answer_peer(self, connection: Connection, frame: Frame) -> None:
        future = self._start_call(frame.message)

        def reply(done: asyncio.Future) -> None:
            if not done.cancelled():
                connection.send(done.result(), call=frame.call, is_reply=True)

        future.add_done_callback(reply)

    def _start_call(self, message: Message) -> asyncio.Future:
        self._number += 1
        future = asyncio.get_running_loop().create_future()
        self._calls[self._number] = future
        self._inbox.append(CallReceived(self._number, message))
        self._schedule()
        return future

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._process)

    # One batch

    def _process(self, *, is_tick: bool = False) -> None:
        """Handle everything that arrived as one batch with one sync."""
        self._is_scheduled = False
        inbox, self._inbox = self._inbox, []
        if self._is_disk_refusing():
            self._refuse_calls(inbox)
            return
        try:
            self._carry_out(self._handle_batch(inbox, is_tick=is_tick))
        except OSError as error:
            # Memory is ahead of the disk: nothing of this batch may be acknowledged.
            self._disk_failed_at = read_time()
            self._report("disk_refused", problem=repr(error))
            self._restore()
        except Exception as error:
            # Memory may be ahead of the disk, so the replica starts again from it.
            self._report("batch_failed", problem=repr(error))
            self._restore()

    def _is_disk_refusing(self) -> bool:
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

    def _carry_out(self, effects: list[Effect]) -> None:
        self.disk.save(effects)
        for effect in effects:
            if isinstance(effect, Send | SendToPeer):
                if effect.address:
                    self.parcels.add(self.links.get(effect.address), effect.message)
            elif isinstance(effect, PushToSubscriber):
                connection = self._subscribers.get(effect.subscriber)
                if connection is not None:
                    self.parcels.add(connection, effect.message)
            elif isinstance(effect, Reply):
                self._finish_call(effect.call, effect.message)
            elif isinstance(effect, EmitEvent):
                self._report(effect.event, **effect.fields)
        self.parcels.send()

    def _finish_call(self, call: int, message: Message) -> None:
        future = self._calls.pop(call, None)
        if future is not None and not future.done():
            future.set_result(message)

    def _fail_calls(self) -> None:
        refused = Refused(RefusedReason.LEADERSHIP_LOST, detail="the disk refused writes")
        for call in list(self._calls):
            self._finish_call(call, refused)

    # Calls of operators and targets

    async def _answer_call(self, request: web.BaseRequest) -> web.Response:
        return await self.hub_calls.answer(request, self)

    async def announce(self, target: TargetEntry) -> Message | None:
        """Take a target's word in; None if it could not be made binding in time."""
        try:
            answer = await asyncio.wait_for(
                self._start_call(AnnounceTarget(target)), SUBMIT_SECONDS
            )
        except TimeoutError:
            return None
        return None if isinstance(answer, Refused) else answer

    async def submit(self, message: Message) -> Message | None:
        """Return the leader's result, or None if there was none in time."""
        deadline = read_time() + SUBMIT_SECONDS
        while (remaining := deadline - read_time()) > 0:
            answer = await self._try(message, min(remaining, TRY_SECONDS))
            if answer is not None and not isinstance(answer, Refused):
                return answer
            if isinstance(answer, Refused) and answer.reason == RefusedReason.INVALID:
                return answer
            await asyncio.sleep(max(0.0, min(PAUSE_SECONDS, deadline - read_time())))
        return None

    async def _try(self, message: Message, timeout: float) -> Message | None:
        """Ask the leader once, here or elsewhere."""
        if self.node is None:
            return None
        leader = self.node.leader_address
        try:
            if self.node.replica.is_leader or not leader:
                return await asyncio.wait_for(self._start_call(message), timeout)
            return await asyncio.wait_for(self.links.get(leader).call(message, timeout), timeout)
        except (UnreachableError, CallTimeoutError, TimeoutError):
            return None

    async def _hand_over(self) -> None:
        if self.node is None or not self.node.replica.is_leader:
            return
        self._carry_out(self.node.handle(read_time(), StopRequested()))
        deadline = read_time() + HANDOVER_SECONDS
        while self.node.replica.is_leader and read_time() < deadline:
            await asyncio.sleep(TICK_SECONDS)

    # Logs and metrics

    def _report(self, event: str, **fields) -> None:
        self.metrics.count("events_total", ("event", event))
        self.budget.write(event, **fields)

    def _is_ready(self) -> bool:
        return self.node is not None and self.node.is_current(read_time())

    def _refresh(self) -> None:
        if self.node is None:
            return
        replica = self.node.replica
        self.metrics.set("control_is_leader", int(replica.is_leader))
        self.metrics.set("control_is_current", int(self.node.is_current(read_time())))
        self.metrics.set("control_term", replica.term)
        self.metrics.set("control_commit_index", replica.commit)
        self.metrics.set("catalogue_version", self.node.register.state.version)
        self.metrics.set("targets_known", len(self.node.targets.list_all()))
        self.metrics.set("entries_attached", len(self._subscribers))
        for service, tokens in self.node.retry_pool.list_tokens().items():
            self.metrics.set("repeat_tokens", tokens, ("service", service))
