"""The decisions of an entry process of a site."""

from random import Random

from ..avoidance import (
    POSITIVE_EVIDENCE,
    EvidenceItem,
    EvidenceKind,
    EvidenceNews,
    GrayFailureDetector,
    Standing,
    SuspectRequests,
)
from ..base import Effect, Message, StateMachine
from ..catalogue import (
    Catalogue,
    CatalogueCopy,
    CatalogueReader,
    Route,
    RouteMatch,
    RouteTable,
    decompress_content,
)
from ..forwarding import (
    Balancer,
    ForwardingContext,
    ForwardRequest,
    LatencyThresholds,
    RefusalReason,
    ResponseTimeModel,
    RetryBudgets,
    ServiceProfile,
    SlowAttemptOutcomes,
    Topology,
)
from ..hub import (
    EdgeNews,
    EdgeRecord,
    HubBeat,
    HubNews,
    LoadItem,
    LoadNews,
    LoadReport,
    RepeatAsk,
    RepeatReply,
    RequestCount,
    Subscribe,
)
from ..registry import TargetEntry, TargetNews, TargetRegistry
from ..replication import EmitEvent
from ._evidence import Evidence
from ._hubs import HubChoice
from ._messages import (
    EdgeSettings,
    FollowHub,
    HubLost,
    HubReceived,
    RetryDecided,
    SendToHub,
)
from ._repeats import RepeatAsks

MAXIMUM_ADDRESSES = 64
# What an entry holds is told so often within a data centre, and across data centres.
LOAD_SECONDS = 0.05
FAR_LOAD_SECONDS = 0.4
# Refused callers come back once a target has likely finished something.
MINIMUM_RETRY_AFTER = 0.1
MAXIMUM_RETRY_AFTER = 2.0
# What an entry's own part of the budget holds when its hub is lost: with what the hubs gave out
# just before, all entries together still stay below the whole.
LOST_HUB_TOKENS = 0.4


class EdgeNode(StateMachine, ForwardingContext):
    """What an entry knows and decides.

    Parameters
    ----------
    settings : EdgeSettings
        What it is told at its start.
    reader : CatalogueReader
        Reads operators' documents.
    random : Random
        Breaks ties.
    """

    def __init__(self, *, settings: EdgeSettings, reader: CatalogueReader, random: Random):
        self.settings = settings
        self.reader = reader
        self.random = random
        self.topology = Topology(settings.data_centre, settings.topology)
        self.hubs = HubChoice(topology=self.topology, seeds=settings.hubs, random=random)
        self.targets = TargetRegistry()
        self.avoidance = GrayFailureDetector()
        self.suspects = SuspectRequests()
        self.balancer = Balancer(
            topology=self.topology,
            targets=self.targets,
            avoidance=self.avoidance,
            random=random,
            floor_share=settings.floor_share,
        )
        self.evidence = Evidence(
            vm=settings.vm,
            targets=self.targets,
            avoidance=self.avoidance,
            suspects=self.suspects,
            failures=self.balancer.floor.failures,
            emit=lambda effect: self._pending.append(effect),
        )
        self.budgets = RetryBudgets(
            ratio=settings.budget.ratio,
            slack=settings.budget.slack,
            window=settings.budget.window,
            initial_tokens=LOST_HUB_TOKENS,
        )
        self.asks = RepeatAsks(self.budgets)
        self.catalogue: Catalogue | None = None
        self.is_stopping = False
        self._has_targets = False
        self._table: RouteTable | None = None
        self._profiles: dict[str, ServiceProfile] = {}
        self._times: dict[str, ResponseTimeModel] = {}
        self._slow_ends = SlowAttemptOutcomes()
        self._edges: tuple[EdgeRecord, ...] = ()
        self._told_load: tuple[LoadItem, ...] = ()
        self._load_at = float("-inf")
        self._pending: list[Effect] = []

    # Queries

    @property
    def is_ready(self) -> bool:
        """Whether callers are served."""
        return self.catalogue is not None and self._has_targets and not self.is_stopping

    @property
    def version(self) -> int:
        """The version of the catalogue in force; 0 is none."""
        return self.catalogue.version if self.catalogue else 0

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route of a request; only call this with a catalogue in force."""
        return self._table.match(host, path)

    def list_addresses(self, data_centre: str, region: str) -> tuple[str, ...]:
        """Return the addresses of entries near a caller."""
        own = EdgeRecord(self.settings.address, self.settings.data_centre)
        others = tuple(item for item in self._edges if item != own)
        edges = (own, *others) if self.is_ready else others
        near = [item for item in edges if item.data_centre == data_centre]
        if not near:
            near = [
                item for item in edges if self.topology.regions.get(item.data_centre) == region
            ]
        chosen = [item.address for item in near or edges]
        return tuple(chosen[:MAXIMUM_ADDRESSES])

    def create_subscription(self) -> Subscribe:
        """Return what this entry tells a hub of itself."""
        settings = self.settings
        return Subscribe(
            settings.vm,
            settings.address,
            settings.data_centre,
            self.version,
            self.is_ready,
            self.hubs.is_looking,
        )

    # Commands

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Take a hub's word in, or that its connection is gone."""
        if isinstance(message, HubLost):
            self.hubs.note_lost(now, message.address)
            self._settle_asks(now, is_lost=True)
            # Counts grow old within a second; the next hub tells its own.
            self.balancer.update_peer_load({}, is_whole=True)
            return self._choose_hub(now)
        if isinstance(message, HubReceived):
            is_current = None
            if isinstance(message.message, HubBeat):
                is_current = message.message.is_current
            self.hubs.note_heard(now, message.address, is_current=is_current)
            was_ready = self.is_ready
            self._take(now, message.message)
            if self.is_ready != was_ready:
                self._pending.append(SendToHub(self.create_subscription()))
        return self.take_pending()

    def tick(self, now: float) -> list[Effect]:
        """Let time pass."""
        self._report_load(now)
        self._settle_asks(now)
        if self.hubs.has_current_hub(now):
            self.budgets.clear_tokens()
        self.suspects.remove_expired(now)
        self.targets.remove_departed(now)
        return [*self._choose_hub(now), *self.take_pending()]

    def take_pending(self) -> list[Effect]:
        """Return what requests gave rise to."""
        pending, self._pending = self._pending, []
        return pending

    def stop(self) -> list[Effect]:
        """Withdraw from callers."""
        self.is_stopping = True
        return [SendToHub(self.create_subscription())]

    # The hub's word

    def _choose_hub(self, now: float) -> list[Effect]:
        was_looking = self.hubs.is_looking
        address = self.hubs.choose(now)
        if address is not None:
            return [FollowHub(address)]
        if was_looking and not self.hubs.is_looking:
            return [SendToHub(self.create_subscription())]
        return []

    def _take(self, now: float, message: Message) -> None:
        if isinstance(message, CatalogueCopy):
            self._put_in_force(message)
        elif isinstance(message, TargetNews):
            self._take_targets(now, message)
        elif isinstance(message, EvidenceNews):
            for item in message.items:
                self.evidence.take(now, item, source=item.source or "hub")
        elif isinstance(message, EdgeNews):
            self._edges = message.edges
            self.budgets.entries = max(message.total, len(message.edges), 1)
            self.balancer.floor.failures.entries = self.budgets.entries
        elif isinstance(message, HubNews):
            self.hubs.add(message.hubs)
        elif isinstance(message, RepeatReply):
            if self.asks.end(message.number):
                self._pending.append(RetryDecided(message.number, message.is_granted))
        elif isinstance(message, LoadNews):
            counts = {item.target: item.count for item in message.items}
            self.balancer.update_peer_load(counts, is_whole=message.is_whole)

    def _put_in_force(self, copy: CatalogueCopy) -> None:
        """Move to a higher version, never back."""
        if copy.version <= self.version:
            return
        self.catalogue = self.reader.read(decompress_content(copy.content))
        self._table = RouteTable(self.catalogue, self.random)
        self._pending.append(EmitEvent("catalogue_in_force", {"version": copy.version}))

    def _take_targets(self, now: float, news: TargetNews) -> None:
        for entry in news.targets:
            before = self.targets.get(entry.identity)
            if not self.targets.merge(now, entry):
                continue
            if before is None or before.started != entry.started:
                self.avoidance.forget(entry.identity)
            held = self.targets.get(entry.identity)
            fields = {
                "target": held.identity,
                "state": held.state,
                "service": held.service,
                "data_centre": held.data_centre,
            }
            self._pending.append(EmitEvent("target_changed", fields))
        self._has_targets = self._has_targets or bool(self.targets.list_all())

    def _report_load(self, now: float) -> None:
        pause = LOAD_SECONDS
        if self.hubs.address and not self.hubs.is_near():
            pause = FAR_LOAD_SECONDS
        if now - self._load_at < pause:
            return
        held = sorted(self.balancer.list_outstanding().items())
        items = tuple(LoadItem(target, count) for target, count in held)
        if items != self._told_load:
            self._told_load, self._load_at = items, now
            counts = self.budgets.pop_request_counts().items()
            requests = tuple(RequestCount(service, count) for service, count in counts)
            self._pending.append(SendToHub(LoadReport(items, requests)))

    # What requests ask and tell

    def record_request(self, now: float, service: str) -> None:
        """Take in that a caller's request for a service begins."""
        self.budgets.record_request(now, service)
        self.balancer.floor.failures.record_request(now, service)

    def choose_target(
        self, now: float, request: ForwardRequest, tried: frozenset[str]
    ) -> TargetEntry | RefusalReason:
        """Return the target for the next attempt, or why there is none."""
        return self.balancer.choose(now, request, self._get_profile(request.service), tried)

    def spend_retry(self, now: float, service: str) -> bool | None:
        """Take one repeat of the entry's own part, or return None while the hub holds it all."""
        if self.hubs.has_current_hub(now):
            return None
        return self.budgets.spend(now, service)

    def request_retry(self, now: float, service: str) -> int:
        """Ask the hub for a repeat; ``RepeatSettled`` with the number that is returned follows."""
        number = self.asks.begin(now, service)
        self._pending.append(SendToHub(RepeatAsk(number, service)))
        return number

    def _settle_asks(self, now: float, *, is_lost: bool = False) -> None:
        settled = self.asks.settle_late(now, is_lost=is_lost)
        self._pending += (RetryDecided(number, is_granted) for number, is_granted in settled)

    def is_quarantined(self, now: float, digest: int) -> bool:
        """Tell whether a request seems to crash targets."""
        return self.suspects.is_quarantined(now, digest)

    def estimate_latency_thresholds(
        self, now: float, request: ForwardRequest, target: TargetEntry
    ) -> LatencyThresholds:
        """Return how long a sound target seldom takes to answer a request that begins now."""
        usual = self._get_times(request.route).patience
        profile = self._get_profile(request.service)
        return self.balancer.estimate_latency_thresholds(now, usual, profile, target)

    def is_slowness_predictive(self) -> bool:
        """Tell whether enough of the slow attempts of late got no good answer in the end."""
        return self._slow_ends.is_predictive

    def record_slow_outcome(self, *, is_answered: bool) -> None:
        """Take in how an attempt ended that had been slow."""
        self._slow_ends.record(is_answered=is_answered)

    def compute_retry_after(self, now: float, service: str) -> float:
        """Return when a refused caller does best to come back, in seconds from now."""
        work = self._get_profile(service).work_seconds
        return max(MINIMUM_RETRY_AFTER, min(MAXIMUM_RETRY_AFTER, work))

    def is_trusted(self, now: float, target: TargetEntry) -> bool:
        """Tell whether nothing speaks against a target."""
        return self.avoidance.get_standing(now, target.identity) == Standing.TRUSTED

    def record_attempt_start(
        self, now: float, request: ForwardRequest, target: TargetEntry
    ) -> None:
        """Take in that an attempt begins."""
        name = target.identity
        standing = self.avoidance.get_standing(now, name)
        if standing != Standing.TRUSTED and not self.avoidance.is_on_trial(now, name):
            self.evidence.tell(now, EvidenceItem(name, EvidenceKind.TRIAL))
        self.balancer.acquire(name)

    def record_attempt_end(self, now: float, target: TargetEntry) -> None:
        """Take in that an attempt no longer holds its target."""
        self.balancer.release(target.identity)

    def record_evidence(
        self, now: float, request: ForwardRequest, target: TargetEntry, kind: EvidenceKind
    ) -> None:
        """Take in what an attempt showed."""
        if kind in POSITIVE_EVIDENCE:
            self.suspects.record_success(request.digest)
            if not self.is_trusted(now, target):
                self.evidence.tell(now, EvidenceItem(target.identity, kind))
            return
        if kind == EvidenceKind.BROKEN and self.balancer.is_overloaded(target):
            # Targets reset connections while their queue is long, so load explains this one.
            kind = EvidenceKind.FULL
        digest = request.digest if kind == EvidenceKind.BROKEN else 0
        self.evidence.tell(now, EvidenceItem(target.identity, kind, digest))

    def record_success(self, request: ForwardRequest, seconds: float, size: int) -> None:
        """Take in how long a target took and how many bytes moved."""
        self._get_profile(request.service).record(seconds, size)
        self._get_times(request.route).record(seconds)

    def describe_target(self, now: float, target: TargetEntry) -> dict:
        """Return what the entry believes of a target, for the log."""
        return {
            "standing": self.avoidance.get_standing(now, target.identity),
            "held": self.balancer.count_outstanding(target.identity),
            "data_centre": target.data_centre,
            "version": self.version,
        }

    def record_misdirected(self, now: float, target: TargetEntry) -> None:
        """Take in that another target has the address."""
        self.evidence.tell(now, EvidenceItem(target.identity, EvidenceKind.DEPARTED))

    def _get_times(self, route: Route) -> ResponseTimeModel:
        return self._times.setdefault(route.name, ResponseTimeModel(route.objective))

    def _get_profile(self, service: str) -> ServiceProfile:
        return self._profiles.setdefault(service, ServiceProfile())
