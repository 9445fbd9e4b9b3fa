"""The entry process of a site."""

import asyncio
from dataclasses import dataclass
from random import SystemRandom

from aiohttp import web
from mode import Service

from ..base import Effect, FrameError
from ..catalogue import CatalogueReader
from ..edge import (
    EdgeNode,
    EdgeSettings,
    FollowHub,
    HubLost,
    HubReceived,
    RetryDecided,
    SendToHub,
    plan_stop,
)
from ..replication import EmitEvent
from ..telemetry import AdministrationServer, LogBudget, Metrics, create_clock, create_logger
from ..transport import EDGE_PACKAGES, Connection, Frame, PeerLinks, UnreachableError, create_codec
from ._caller_port import CallerPort
from ._dialect import EdgePort, EdgeQuestions, TargetDialect
from ._forwarder import Forwarder
from ._pool import ConnectionPool
from ._process import read_time
from ._question_port import QuestionPort

TICK_SECONDS = 0.05
SWEEP_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeAddresses:
    """Addresses that an entry serves, as ``HOST:PORT``; ``metrics`` may be empty."""

    callers: str
    questions: tuple[str, ...]
    metrics: str = ""


class EdgeService(Service, EdgePort):
    """Feeds an entry's node with its hub's word, requests and time."""

    def __init__(
        self,
        settings: EdgeSettings,
        addresses: EdgeAddresses,
        *,
        reader: CatalogueReader,
        dialect: TargetDialect,
        questions: EdgeQuestions,
        secret: bytes,
    ):
        super().__init__()
        self.settings = settings
        self.addresses = addresses
        self.questions = questions
        self.clock = create_clock()
        self.logger = create_logger(vm=settings.vm, role="entry", clock=self.clock)
        self.budget = LogBudget(self.logger)
        self.metrics = Metrics()
        self.node = EdgeNode(settings=settings, reader=reader, random=SystemRandom())
        self.links = PeerLinks(
            vm=settings.vm,
            role="entry",
            secret=secret,
            clock=self.clock,
            codec=create_codec(EDGE_PACKAGES),
        )
        self.pool = ConnectionPool(dialect)
        forwarder = Forwarder(
            context=self.node,
            pool=self.pool,
            dialect=dialect,
            flush=self._flush,
            report=self._report,
            ask=self._ask_repeat,
        )
        self.callers = CallerPort(
            node=self.node,
            forwarder=forwarder,
            dialect=dialect,
            report=self._report,
            metrics=self.metrics,
        )
        self.ports = [QuestionPort(self._answer_question) for _ in addresses.questions]
        self.administration = AdministrationServer(
            metrics=self.metrics, is_ready=lambda: self.is_ready, refresh=self._refresh
        )
        self._connection: Connection | None = None
        self._following: asyncio.Task | None = None
        self._asked: dict[int, asyncio.Future] = {}

    # What the platform asks

    @property
    def is_ready(self) -> bool:
        """Whether callers are served."""
        return self.node.is_ready and self.callers.is_open

    def list_addresses(self, data_centre: str, region: str) -> tuple[str, ...]:
        """Return the addresses of entries near a caller."""
        return self.node.list_addresses(data_centre, region)

    # Life

    async def on_start(self) -> None:
        """Listen for the platform; callers come once there is something to serve them with."""
        for port, address in zip(self.ports, self.addresses.questions, strict=True):
            await port.start(address)
        if self.addresses.metrics:
            await self.administration.start(self.addresses.metrics)
        self.logger.msg("entry_started", address=self.addresses.callers)

    async def stop(self) -> None:
        """Withdraw, serve callers that still come, then finish and stop."""
        self.logger.msg("entry_stopping", under_way=self.callers.under_way)
        self._carry_out(self.node.stop())
        self.callers.is_closing = True
        plan = plan_stop(self.settings.address_lifetime_seconds, self.settings.grace_seconds)
        await asyncio.sleep(plan.accept_seconds)
        await self.callers.stop(plan.finish_seconds)
        await super().stop()

    async def on_stop(self) -> None:
        """Close all connections."""
        for port in self.ports:
            await port.stop()
        if self.addresses.metrics:
            await self.administration.stop()
        self.pool.close()
        self.links.close()
        self.logger.msg("entry_stopped", under_way=self.callers.under_way)

    def reload(self, hubs: tuple[str, ...]) -> None:
        """Take in that the settings name other hubs."""
        self.node.hubs.add_seeds(hubs)
        self.logger.msg("settings_reloaded", hubs=list(hubs))

    @Service.task
    async def _tick(self) -> None:
        swept_at = 0.0
        while not self.should_stop:
            now = read_time()
            self._carry_out(self.node.tick(now))
            if now - swept_at >= SWEEP_SECONDS:
                swept_at = now
                self.pool.sweep(now)
                self.callers.sweep(now)
                self.budget.report_dropped()
            await asyncio.sleep(TICK_SECONDS)

    # The hub

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, FollowHub):
                self._follow(effect.address)
            elif isinstance(effect, SendToHub):
                if self._connection is not None:
                    self._connection.send(effect.message)
            elif isinstance(effect, RetryDecided):
                self._asked.pop(effect.number).set_result(effect.is_granted)
            elif isinstance(effect, EmitEvent):
                self._report(effect.event, **effect.fields)

    def _follow(self, address: str) -> None:
        if self._following is not None:
            self._following.cancel()
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._following = asyncio.get_running_loop().create_task(self._read_hub(address))

    async def _read_hub(self, address: str) -> None:
        """Subscribe at a hub and take its word in until the connection ends."""
        connection = None
        try:
            connection = await self.links.open(address)
            self._connection = connection
            connection.send(self.node.create_subscription())
            self.logger.msg("hub_followed", hub=address, version=self.node.version)
            await connection.read(lambda _, frame: self._receive(address, frame))
            problem = "closed"
        except (UnreachableError, FrameError) as error:
            problem = str(error)
        finally:
            if connection is not None:
                connection.close()
            if self._connection is connection:
                self._connection = None
        self.logger.msg("hub_lost", hub=address, problem=problem)
        self._carry_out(self.node.handle(read_time(), HubLost(address)))

    async def _receive(self, address: str, frame: Frame) -> None:
        received = HubReceived(address, frame.message)
        effects = self.node.handle(read_time(), received)
        if self.node.is_ready and not self.callers.is_open:
            # Until now callers were turned away by the port itself, and tried elsewhere.
            await self.callers.start(self.addresses.callers)
            self.logger.msg("entry_serving", version=self.node.version)
        self._carry_out(effects)

    async def _ask_repeat(self, service: str) -> bool:
        number = self.node.request_retry(read_time(), service)
        self._asked[number] = future = asyncio.get_running_loop().create_future()
        self._flush()
        # The answer comes in any case, also if this request is over by then.
        return await asyncio.shield(future)

    def _flush(self) -> None:
        self._carry_out(self.node.take_pending())

    async def _answer_question(self, request: web.BaseRequest) -> web.Response:
        return self.questions.answer(request, self)

    # Logs and metrics

    def _report(self, event: str, **fields) -> None:
        self.metrics.count("events_total", ("event", event))
        self.budget.write(event, **fields)

    def _refresh(self) -> None:
        now = read_time()
        self.metrics.set("catalogue_version", self.node.version)
        self.metrics.set("hub_is_heard", int(self.node.hubs.has_current_hub(now)))
        self.metrics.set("requests_under_way", self.callers.under_way)
        self.metrics.set("targets_avoided", self.node.avoidance.count_avoided(now))
        self.metrics.set("connections_made", self.pool.made)
        if self.node.catalogue is not None:
            for spec in self.node.catalogue.services:
                service = ("service", spec.name)
                self.metrics.set(
                    "targets_usable", len(self.node.targets.list_usable(spec.name)), service
                )
                self.metrics.set("retry_tokens", self.node.budgets.get_tokens(spec.name), service)
