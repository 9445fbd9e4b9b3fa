"""The entry process."""

import asyncio
from random import SystemRandom

from mode import Service

from ..base import Effect
from ..buffering import compute_maximum_targets
from ..control import Chunks, Done, FetchChunks, Follow, Followed, StatusRequest
from ..entry import ConfigurationActivated, EntryNode, RequestChunks, SendEvidence, SubmitCommand
from ..exchange import ResponseResources
from ..health import EvidenceDigest
from ..membership import EntryRecord, EntryState, Gossip, SendGossip
from ..serving import AdministrationServer
from ..settings import EntrySettings
from ..telemetry import (
    LogRateLimiter,
    Metrics,
    create_clock,
    create_logger,
    create_unknown_reporter,
)
from ..transport import (
    CallTimeoutError,
    Connection,
    Frame,
    PeerLinks,
    PeerServer,
    UnreachableError,
    compute_maximum_handshakes,
)
from ..utils import rank_by_rendezvous
from ._caller_server import CallerServer, create_incarnation
from ._command_submitter import CommandSubmitter
from ._connections import CHECK_SECONDS, create_connections, get_maximum_descriptors
from ._leader_client import LeaderClient
from ._runner import RequestRunner
from ._upstream import Upstream

TICK_INTERVAL_SECONDS = 0.05
FOLLOW_TIMEOUT_SECONDS = 3.0
STATE_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.2
CHUNKS_PER_CALL = 64
GOSSIP_SPREAD_SECONDS = 1.0


class EntryService(Service):
    """Runs the state machines of an entry, serves callers, and executes effects.

    Parameters
    ----------
    settings : EntrySettings
        The settings of the process.
    secret : bytes
        The fleet secret.
    """

    def __init__(self, settings: EntrySettings, secret: bytes):
        super().__init__()
        self.settings = settings
        self.clock = create_clock()
        self.logger = create_logger(vm=settings.vm, role="entry", clock=self.clock)
        self.metrics = Metrics()
        self.log_budget = LogRateLimiter(self.logger)
        self.connections = create_connections(settings, report=self._report, metrics=self.metrics)
        self.node = EntryNode(
            own=_create_record(settings),
            seeds=settings.entries,
            random=SystemRandom(),
            maximum_targets=compute_maximum_targets(self.connections.budget.limits.maximum_bytes),
        )
        self.links = PeerLinks(
            vm=settings.vm,
            role="entry",
            secret=secret,
            clock=self.clock,
            handler=self._handle_frame,
            report_unknown=create_unknown_reporter(self.metrics, self.log_budget.write),
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
        addresses = [control.address for control in settings.controls]
        self.controls = rank_by_rendezvous(settings.vm, addresses)
        self.submitter = CommandSubmitter(LeaderClient(self.links, addresses), report=self._report)
        self.upstream = Upstream(
            maximum_answer=settings.maximum_answer,
            resources=ResponseResources(self.connections.budget, self.connections.close_evicted),
        )
        self.caller_server = CallerServer(
            node=self.node,
            runner=RequestRunner(
                context=self.node,
                balancer=self.node.balancer,
                upstream=self.upstream,
                submitter=self.submitter,
                kept_answer_bytes=settings.kept_answer,
                execute_pending_effects=self._execute_pending_effects,
                report=self._log_event,
            ),
            execute_effects=self._execute_effects,
            report=self._report,
            metrics=self.metrics,
            maximum_body=settings.maximum_body,
            maximum_requests=settings.maximum_requests,
            body_seconds=settings.body_seconds,
            connections=self.connections,
        )
        self.administration = AdministrationServer(
            metrics=self.metrics,
            is_ready=self._is_ready,
            refresh=self._update_gauges,
            connections=self.connections,
        )
        self._tasks: set[asyncio.Task] = set()
        self._fetching_sources: set[str] = set()

    async def on_start(self) -> None:
        """Start listening for peers, callers and administration requests."""
        host, _, port = self.settings.peer.rpartition(":")
        await self.server.start(host, int(port))
        await self.caller_server.start(self.settings.http)
        await self.administration.start(self.settings.administration)
        self.logger.msg("entry_started", http=self.settings.http)

    async def on_stop(self) -> None:
        """Wait for background commands, then close everything."""
        await self.submitter.wait_until_acknowledged(self.settings.stop_seconds)
        await self.server.stop()
        await self.administration.stop()
        self.upstream.stop()
        self.links.close()
        self.logger.msg("entry_stopped")

    async def stop(self) -> None:
        """Withdraw this entry, wait until no caller uses its address any longer, then stop.

        Callers may use an address for its time to live after they received it, and other entries
        hand out the address until gossip has spread the withdrawal.
        """
        self._execute_effects(self.node.stop(self._read_time()))
        self._report("entry_withdrawn")
        document = self.node.document
        ttl = document.address_ttl_seconds if document else 0.0
        await asyncio.sleep(ttl + GOSSIP_SPREAD_SECONDS)
        await self.caller_server.stop(self.settings.stop_seconds)
        await super().stop()

    @Service.task
    async def _tick(self) -> None:
        checked_at = 0.0
        while not self.should_stop:
            now = self._read_time()
            self._execute_effects(self.node.tick(now))
            if now - checked_at >= CHECK_SECONDS:
                checked_at = now
                self.connections.check(now, CHECK_SECONDS)
                self.upstream.close_expired(now)
                self.log_budget.report_dropped()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    @Service.task
    async def _follow(self) -> None:
        """Follow one control; switch to the next if it does not answer or is stale."""
        await self._request_initial_state()
        position = 0
        while not self.should_stop:
            address = self.controls[position % len(self.controls)]
            followed = await self._request_state(
                address, is_patient=True, timeout=FOLLOW_TIMEOUT_SECONDS
            )
            # Wait for the chunks of a new version, so that the next call reports it as in force.
            await asyncio.gather(*self._tasks, return_exceptions=True)
            if followed is None or followed.is_stale or not followed.cluster:
                position += 1
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _request_initial_state(self) -> None:
        """Request the state from all controls and seeds, to start with the highest version."""
        addresses = [*self.controls, *self.settings.entries]
        await asyncio.gather(
            *(
                self._request_state(address, is_patient=False, timeout=STATE_TIMEOUT_SECONDS)
                for address in addresses
            )
        )

    async def _request_state(
        self, address: str, *, is_patient: bool, timeout: float
    ) -> Followed | None:
        own = self.node.own
        request = Follow(
            vm=own.vm,
            incarnation=str(own.incarnation),
            revision=self.node.revision,
            version=self.node.follower.version,
            http=own.http,
            peer=own.peer,
            data_centre=own.data_centre,
            is_patient=is_patient,
        )
        try:
            answer = await self.links.get(address).call(request, timeout)
        except (UnreachableError, CallTimeoutError):
            return None
        if not isinstance(answer, Followed):
            return None
        self._execute_effects(self.node.follow(self._read_time(), address, answer))
        return answer

    async def _fetch_chunks(self, effect: RequestChunks) -> None:
        try:
            for first in range(0, len(effect.digests), CHUNKS_PER_CALL):
                wanted = FetchChunks(effect.digests[first : first + CHUNKS_PER_CALL])
                chunks = await self.links.get(effect.source).call(wanted, FOLLOW_TIMEOUT_SECONDS)
                if isinstance(chunks, Chunks):
                    now = self._read_time()
                    self._execute_effects(self.node.receive_chunks(now, effect.source, chunks))
        except (UnreachableError, CallTimeoutError):
            self._report("chunks_not_fetched", source=effect.source)
        finally:
            self._fetching_sources.discard(effect.source)

    def _handle_frame(self, connection: Connection, frame: Frame) -> None:
        message = frame.message
        now = self._read_time()
        if isinstance(message, Gossip):
            self._execute_effects(self.node.handle(now, message))
            self._request_newer_version(now, message)
        elif isinstance(message, EvidenceDigest):
            self._execute_effects(self.node.handle(now, message))
        elif frame.call:
            connection.send(self._handle_call(now, message), call=frame.call, is_reply=True)

    def _handle_call(self, now: float, message):
        if isinstance(message, Follow):
            return self.node.get_followed_state()
        if isinstance(message, FetchChunks):
            return self.node.follower.list_chunks(message.digests)
        if isinstance(message, StatusRequest):
            return self.node.describe(now)
        return Done()

    def _request_newer_version(self, now: float, gossip: Gossip) -> None:
        """Request the state of an entry with a newer version if no control is reached."""
        is_newer = gossip.revision > self.node.follower.in_force.revision
        if is_newer and not self.node.is_control_reached(now):
            address = gossip.source.peer
            self._spawn(
                self._request_state(address, is_patient=False, timeout=STATE_TIMEOUT_SECONDS)
            )

    def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendGossip):
                self.links.get(effect.address).post(effect.message)
            elif isinstance(effect, SendEvidence):
                self.links.get(effect.address).post(effect.digest)
            elif isinstance(effect, SubmitCommand):
                self.submitter.submit_once_in_background(effect.message)
            elif isinstance(effect, RequestChunks):
                if effect.source not in self._fetching_sources:
                    self._fetching_sources.add(effect.source)
                    self._spawn(self._fetch_chunks(effect))
            elif isinstance(effect, ConfigurationActivated):
                version = effect.version
                self._report(
                    "configuration_in_force", version=version.version, author=version.author
                )

    def _execute_pending_effects(self) -> None:
        self._execute_effects(self.node.pop_pending_effects())

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _report(self, event: str, **fields) -> None:
        self.metrics.count("events_total", ("event", event))
        self.log_budget.write(event, **fields)

    def _log_event(self, event: str, **fields) -> None:
        self.logger.msg(event, **fields)

    def _is_ready(self) -> bool:
        return self.node.document is not None and not self.node.is_stopping

    def _update_gauges(self) -> None:
        now = self._read_time()
        status = self.node.describe(now)
        self.metrics.set("configuration_version", status.version)
        self.metrics.set("control_is_reached", int(status.is_control_reached))
        self.metrics.set("requests_under_way", self.caller_server.under_way)
        self.metrics.set("commands_under_way", self.submitter.under_way)
        self.metrics.set("caller_bytes_held", self.connections.budget.held_bytes)
        alive = sum(1 for item in status.entries if item.state == EntryState.ALIVE)
        self.metrics.set("entries_alive", alive)
        for view in status.services:
            service = ("service", view.name)
            self.metrics.set("targets_ready", view.ready, service)
            self.metrics.set("targets_healthy", view.healthy, service)
            self.metrics.set("targets_floor", view.floor, service)

    def _read_time(self) -> float:
        return asyncio.get_running_loop().time()


def _create_record(settings: EntrySettings) -> EntryRecord:
    return EntryRecord(
        vm=settings.vm,
        incarnation=create_incarnation(),
        sequence=0,
        state=EntryState.ALIVE,
        http=settings.http,
        peer=settings.peer,
        data_centre=settings.data_centre,
    )


def create_entry_service(settings: EntrySettings, secret: bytes) -> EntryService:
    """Return the service of an entry process."""
    return EntryService(settings, secret)
