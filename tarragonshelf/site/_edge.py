"""Entry process of a site."""

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, replace
from random import SystemRandom

from aiohttp import web
from mode import Service

from ..base import Effect, FrameError, Message
from ..buffering import BufferBudget, BufferLimits, compute_limits
from ..catalogue import CatalogueReader, ClientAccount
from ..edge import (
    AllowanceAnswered,
    AllowanceDecided,
    EdgeNode,
    EdgeSettings,
    FollowHub,
    HubLost,
    HubProbed,
    HubReceived,
    PermitAnswered,
    ProbeHub,
    RetryDecided,
    SendToHub,
    explain_placement,
    plan_stop,
)
from ..exchange import ResponseResources
from ..forwarding import PermitDecided, PermitNeeded, RelayAttempt, RelayEnded
from ..hub import HubBeat, HubNews
from ..registry import TargetEntry
from ..relaying import CheckTargets, CloseIdleConnections
from ..replication import EmitEvent
from ..serving import AdministrationServer, HttpServer, read_resident_bytes
from ..telemetry import (
    LogRateLimiter,
    Metrics,
    create_clock,
    create_logger,
    create_unknown_reporter,
)
from ..transport import (
    EDGE_PACKAGES,
    Connection,
    Frame,
    PeerLinks,
    PeerServer,
    UnreachableError,
    compute_maximum_handshakes,
    create_codec,
)
from ._caller_server import CallerServer
from ._forwarder import Forwarder
from ._interfaces import DiscoveryHandler, EdgeQueries, HttpDialect, RequestContent
from ._pool import ConnectionPool
from ._process import read_time
from ._relay_client import RelayClient
from ._relay_server import RelayServer

TICK_SECONDS = 0.05
MAINTENANCE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeAddresses:
    """Addresses on which an entry listens, as ``HOST:PORT``.

    Those in ``discovery`` serve the platform's requests. If ``metrics`` is empty, no metrics are
    served. ``source`` is the IP address from which targets are reached, if it is not left to the
    kernel. ``memory_bytes`` and ``maximum_descriptors`` are what the process may use, or None if
    there is no limit.
    """

    callers: str
    discovery: tuple[str, ...]
    metrics: str = ""
    source: str = ""
    memory_bytes: int | None = None
    maximum_descriptors: int | None = None


class EdgeService(Service, EdgeQueries):
    """Runs an entry: passes messages of its hub, callers' requests and ticks to its node.

    Parameters
    ----------
    settings : EdgeSettings
        Settings of the node.
    addresses : EdgeAddresses
        Where to listen.
    reader : CatalogueReader
        Reads operators' documents.
    dialect : HttpDialect
        Reads and writes the platform's headers.
    discovery_handler : DiscoveryHandler
        Handles the platform's requests.
    secret : bytes
        Authenticates the processes of the site to each other.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        addresses: EdgeAddresses,
        *,
        reader: CatalogueReader,
        dialect: HttpDialect,
        discovery_handler: DiscoveryHandler,
        secret: bytes,
    ):
        super().__init__()
        self.settings = settings
        self.addresses = addresses
        self.discovery_handler = discovery_handler
        self.clock = create_clock()
        self.logger = create_logger(vm=settings.vm, role="entry", clock=self.clock)
        self.log_budget = LogRateLimiter(self.logger)
        self.metrics = Metrics()
        self.node = EdgeNode(settings=settings, reader=reader, random=SystemRandom())
        self.links = PeerLinks(
            vm=settings.vm,
            role="entry",
            secret=secret,
            clock=self.clock,
            codec=create_codec(EDGE_PACKAGES),
            report_unknown=create_unknown_reporter(self.metrics, self._report),
        )
        # Measured once all modules are loaded, and again when callers are accepted.
        self.budget = BufferBudget(self._compute_limits())
        self.pool = ConnectionPool(
            dialect,
            self.node.get_idle_limit,
            self._handle_path_message,
            source=addresses.source,
            resources=ResponseResources(
                self.budget,
                lambda reservation: self.caller_server.connections.close_evicted(reservation),
            ),
        )
        self.relay_client = RelayClient(self.links, self.pool.resources)
        forwarder = Forwarder(
            context=self.node,
            pool=self.pool,
            dialect=dialect,
            flush=self._flush,
            report=self._report,
            request_retry=self._request_retry,
            request_permit=self._request_permit,
            return_permit=self._return_permit,
            relay=self._relay,
        )
        self.relay_server = RelayServer(
            node=self.node,
            forwarder=forwarder,
            report=self._report,
            create_server=lambda **handlers: PeerServer(
                vm=settings.vm,
                secret=secret,
                frames=self.links.frames,
                clock=self.clock,
                report=self._report,
                maximum_handshakes=compute_maximum_handshakes(addresses.maximum_descriptors),
                **handlers,
            ),
            resources=self.pool.resources,
        )
        self.caller_server = CallerServer(
            node=self.node,
            forwarder=forwarder,
            dialect=dialect,
            report=self._report,
            metrics=self.metrics,
            request_allowance=self._request_allowance,
            budget=self.budget,
        )
        self.discovery_servers = [
            HttpServer(self._handle_discovery_request, self.caller_server.connections)
            for _ in addresses.discovery
        ]
        self.administration = AdministrationServer(
            metrics=self.metrics,
            is_ready=lambda: self.is_ready,
            refresh=self._refresh,
            connections=self.caller_server.connections,
            explain=self._explain_placement,
        )
        self._hub_connection: Connection | None = None
        self._hub_task: asyncio.Task | None = None
        self._opening: asyncio.Task | None = None
        # Checks of targets and probes of hubs.
        self._tasks_under_way: set[asyncio.Task] = set()
        self._pending_retries: dict[int, asyncio.Future] = {}
        self._pending_permits: dict[int, asyncio.Future] = {}
        self._pending_allowances: dict[int, asyncio.Future] = {}

    # Queries of the platform

    @property
    def is_ready(self) -> bool:
        """Whether the entry serves callers."""
        return self.node.is_ready and self.caller_server.is_open

    def list_addresses(self, data_centre: str, region: str) -> tuple[str, ...]:
        """Return the addresses of the entries nearest to a caller."""
        return self.node.list_addresses(data_centre, region)

    # Start and stop

    async def on_start(self) -> None:
        """Serve the platform's requests and metrics.

        Callers are accepted only once the hub has sent a catalogue and targets.
        """
        for server, address in zip(self.discovery_servers, self.addresses.discovery, strict=True):
            await server.start(address)
        if self.addresses.metrics:
            await self.administration.start(self.addresses.metrics)
        if self.settings.relay_address:
            await self.relay_server.start(self.settings.relay_address)
        self.logger.msg("entry_started", address=self.addresses.callers)

    async def stop(self) -> None:
        """Stop the entry within the grace period.

        The entry withdraws its address, keeps accepting requests of callers that still use it,
        and then waits for the requests in flight.
        """
        self.logger.msg("entry_stopping", under_way=self.caller_server.in_flight)
        self._execute_effects(self.node.stop())
        self.caller_server.is_closing = True
        plan = plan_stop(self.settings.address_lifetime_seconds, self.settings.grace_seconds)
        await asyncio.sleep(plan.accept_seconds)
        await asyncio.gather(
            self.caller_server.stop(plan.finish_seconds),
            self.relay_server.stop(plan.finish_seconds),
        )
        await super().stop()

    async def on_stop(self) -> None:
        """Close all connections."""
        for server in self.discovery_servers:
            await server.stop()
        if self.addresses.metrics:
            await self.administration.stop()
        for task in self._tasks_under_way:
            task.cancel()
        self.pool.close()
        self.relay_client.close()
        self.links.close()
        self.logger.msg("entry_stopped", under_way=self.caller_server.in_flight)

    def reload(self, hubs: tuple[str, ...]) -> None:
        """Add the hubs that the settings file names now."""
        self.node.hubs.add_seeds(hubs)
        self.logger.msg("settings_reloaded", hubs=list(hubs))

    @Service.task
    async def _tick(self) -> None:
        maintained_at = 0.0
        while not self.should_stop:
            now = read_time()
            self._execute_effects(self.node.tick(now))
            if now - maintained_at >= MAINTENANCE_SECONDS:
                maintained_at = now
                self.pool.close_expired(now)
                self.caller_server.close_idle(now)
                self.relay_client.close_idle(now)
                self.log_budget.report_dropped()
                self._report_failed_connections()
            await asyncio.sleep(TICK_SECONDS)

    # Effects of the node

    def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, FollowHub):
                self._follow(effect.address)
            elif isinstance(effect, ProbeHub):
                self._start_task(self._probe_hub(effect.address))
            elif isinstance(effect, SendToHub):
                if self._hub_connection is not None:
                    self._hub_connection.send(effect.message)
            elif isinstance(effect, RetryDecided):
                self._pending_retries.pop(effect.number).set_result(effect.is_granted)
            elif isinstance(effect, PermitAnswered):
                self._pending_permits.pop(effect.number).set_result(effect.decided)
            elif isinstance(effect, AllowanceAnswered):
                self._pending_allowances.pop(effect.number).set_result(effect.decided)
            elif isinstance(effect, CheckTargets):
                for target in effect.targets:
                    self._start_task(self._check(target))
            elif isinstance(effect, CloseIdleConnections) and effect.target is not None:
                self.pool.close_target(effect.target)
            elif isinstance(effect, CloseIdleConnections):
                self.pool.close()
            elif isinstance(effect, EmitEvent):
                self._report(effect.event, **effect.fields)

    # Path to the targets

    def _handle_path_message(self, message: Message) -> None:
        self._execute_effects(self.node.handle(read_time(), message))

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks_under_way.add(task)
        task.add_done_callback(self._tasks_under_way.discard)

    async def _check(self, target: TargetEntry) -> None:
        self._handle_path_message(await self.pool.check(target))

    async def _relay(self, attempt: RelayAttempt, content: RequestContent) -> RelayEnded:
        minimum_version = self.node.minimum_relay_version
        ended = await self.relay_client.send(attempt, content, minimum_version)
        self.node.record_relay_version(self.relay_client.latest_version)
        return ended

    # Connection to the hub

    def _follow(self, address: str) -> None:
        if self._hub_task is not None:
            self._hub_task.cancel()
        if self._hub_connection is not None:
            self._hub_connection.close()
            self._hub_connection = None
        self._hub_task = asyncio.get_running_loop().create_task(self._receive_from_hub(address))

    async def _receive_from_hub(self, address: str) -> None:
        """Subscribe to a hub and process its messages until the connection ends."""
        connection = None
        try:
            connection = await self.links.open(address)
            self._hub_connection = connection
            connection.send(self.node.create_subscription())
            self.logger.msg("hub_followed", hub=address, version=self.node.version)
            await connection.read(lambda _, frame: self._receive(address, frame))
            problem = "closed"
        except (UnreachableError, FrameError) as error:
            problem = str(error)
        finally:
            if connection is not None:
                connection.close()
            if self._hub_connection is connection:
                self._hub_connection = None
        self.logger.msg("hub_lost", hub=address, problem=problem)
        self._execute_effects(self.node.handle(read_time(), HubLost(address)))

    async def _probe_hub(self, address: str) -> None:
        """Ask a hub for a heartbeat and the hubs that it knows, without following it."""
        is_current: bool | None = None

        def handle(connection: Connection, frame: Frame) -> None:
            nonlocal is_current
            if isinstance(frame.message, HubBeat):
                is_current = frame.message.is_current
            elif isinstance(frame.message, HubNews):
                # The reply to a look-up ends with this message.
                self._execute_effects(
                    self.node.handle(read_time(), HubReceived(address, frame.message))
                )
                connection.close()

        problem = ""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                connection = await self.links.open(address)
                try:
                    connection.send(replace(self.node.create_subscription(), is_lookup=True))
                    await connection.read(handle)
                finally:
                    connection.close()
        except (UnreachableError, FrameError, OSError, TimeoutError) as error:
            problem = repr(error)
        self._report("hub_probed", hub=address, is_current=is_current, problem=problem)
        self._execute_effects(self.node.handle(read_time(), HubProbed(address, is_current)))

    async def _receive(self, address: str, frame: Frame) -> None:
        received = HubReceived(address, frame.message)
        effects = self.node.handle(read_time(), received)
        if self.node.is_ready and not self.caller_server.is_open:
            if self._opening is None:
                self._opening = asyncio.create_task(self._open_for_callers())
            # This task is cancelled when the entry moves to another hub. The port must be opened
            # once all the same: a second time fails, and so would each later message of a hub.
            await asyncio.shield(self._opening)
        self._execute_effects(effects)

    async def _open_for_callers(self) -> None:
        """Accept callers; until now they were refused and tried other entries."""
        limits = self._compute_limits()
        self.caller_server.connections.update_limits(limits)
        await self.caller_server.start(self.addresses.callers)
        self.logger.msg(
            "entry_serving",
            version=self.node.version,
            maximum_bytes=limits.maximum_bytes,
            maximum_connections=limits.maximum_connections,
        )

    def _compute_limits(self) -> BufferLimits:
        """Return the limits on what is held for callers, beyond the memory in use now."""
        addresses = self.addresses
        return compute_limits(
            addresses.memory_bytes, read_resident_bytes(), addresses.maximum_descriptors
        )

    async def _request_retry(self, service: str) -> bool:
        number = self.node.request_retry(read_time(), service)
        return await self._wait_for_decision(self._pending_retries, number)

    async def _request_permit(self, needed: PermitNeeded) -> PermitDecided:
        number = self.node.request_permit(read_time(), needed)
        return await self._wait_for_decision(self._pending_permits, number)

    def _return_permit(self, target: str) -> None:
        self.node.return_permit(read_time(), target)

    async def _request_allowance(
        self, account: ClientAccount, deadline: float
    ) -> AllowanceDecided:
        number = self.node.allowances.request(read_time(), account, deadline=deadline)
        return await self._wait_for_decision(self._pending_allowances, number)

    async def _wait_for_decision(
        self, pending: dict[int, asyncio.Future], number: int
    ) -> bool | PermitDecided | AllowanceDecided:
        pending[number] = future = asyncio.get_running_loop().create_future()
        self._flush()
        # The node always decides, after a time-out if the hub does not reply, and then sets this
        # future's result. So the future must not be cancelled if the caller's request ends first.
        return await asyncio.shield(future)

    def _flush(self) -> None:
        self._execute_effects(self.node.pop_pending_effects())

    async def _handle_discovery_request(self, request: web.BaseRequest) -> web.Response:
        return self.discovery_handler.handle(request, self)

    # Logs and metrics

    def _report(self, event: str, **fields) -> None:
        self.metrics.count("events_total", ("event", event))
        self.log_budget.write(event, **fields)

    def _explain_placement(self, query: Mapping[str, str]) -> dict | None:
        """Return where a request would go now and why, or None if it has no route."""
        asked = {name: query.get(name, "") for name in ("method", "host", "path", "account")}
        answer = explain_placement(
            self.node,
            read_time(),
            host=asked["host"],
            path=asked["path"],
            account=asked["account"],
        )
        return None if answer is None else {**asked, **answer}

    def _report_failed_connections(self) -> None:
        """Log how many targets accepted connections, if one did not.

        If none did, the entry's own path is the likely cause.
        """
        summary = self.pool.pop_connect_summary()
        if summary.has_failures:
            self._report(
                "connections_failed",
                outcomes=dict(summary.outcomes),
                targets_tried=len(summary.tried),
                targets_reached=len(summary.reached),
            )

    def _refresh(self) -> None:
        now = read_time()
        self.metrics.set("catalogue_version", self.node.version)
        hub = self.node.hubs.describe(now)
        self.metrics.set("hub_is_heard", int(hub["hub_is_current"]))
        self.metrics.set("hub_silent_seconds", hub["hub_silent_seconds"])
        self.metrics.set("requests_under_way", self.caller_server.in_flight)
        self.metrics.set("caller_bytes_held", self.budget.held_bytes)
        self.metrics.set("caller_bytes_maximum", self.budget.limits.maximum_bytes)
        self.metrics.set("caller_connections", self.budget.connection_count)
        self.metrics.set("path_is_lost", int(self.node.path.is_lost))
        self.metrics.set("relayed_under_way", self.relay_server.in_flight)
        self.metrics.set("targets_avoided", self.node.avoidance.count_avoided(now))
        self.metrics.set("targets_limited", len(self.node.limits.list_rates()))
        self.metrics.set("targets_leaving", self.node.departures.count)
        self.metrics.set("targets_paused", len(self.node.pauses.list_paused(read_time())))
        for outcome, count in self.pool.connect_counts.items():
            self.metrics.set("target_connections", count, ("outcome", outcome))
        if self.node.catalogue is not None:
            for spec in self.node.catalogue.services:
                service = ("service", spec.name)
                self.metrics.set(
                    "targets_usable", len(self.node.targets.list_usable(spec.name)), service
                )
                self.metrics.set("retry_tokens", self.node.budgets.get_tokens(spec.name), service)
