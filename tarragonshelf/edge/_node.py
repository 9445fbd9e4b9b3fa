"""State machine of an entry process of a site."""

from dataclasses import replace
from random import Random

from ..admission import Overload
from ..allowances import AllowanceReply
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
from ..catalogue import Catalogue, CatalogueCopy, CatalogueReader, Route, RouteMatch
from ..forwarding import (
    AttemptKind,
    Balancer,
    ForwardingContext,
    ForwardRequest,
    LatencyThresholds,
    PermitNeeded,
    RefusalReason,
    RelayOutcome,
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
from ..registry import TargetEntry, TargetNews, TargetRegistry, TargetState
from ..relaying import (
    CloseIdleConnections,
    DeclineReason,
    PathDoubted,
    RelayNews,
    RelayRecord,
    TargetChecked,
    TargetConnected,
)
from ..replication import EmitEvent
from ..throttling import (
    DeclaredLimits,
    LimitStatement,
    PauseStatement,
    PermitReply,
    RequestedPauses,
    compute_idle_limit,
)
from ._admission import EntryAdmission
from ._allowances import EntryAllowances
from ._catalogue import ActiveCatalogue
from ._departures import Departures
from ._evidence import EvidenceProcessor
from ._hedging import create_hedging_policy
from ._hub_selector import HubSelector
from ._messages import (
    EdgeSettings,
    FollowHub,
    HubLost,
    HubProbed,
    HubReceived,
    PermitAnswered,
    ProbeHub,
    RetryDecided,
    SendToHub,
)
from ._path import AMBIGUOUS_EVIDENCE, TargetPath
from ._permits import PendingPermitRequests
from ._retries import PendingRetryRequests

MAXIMUM_ADDRESSES = 64
# Interval of load reports to a hub in the same data centre, and in another data centre.
LOAD_INTERVAL_SECONDS = 0.05
REMOTE_LOAD_INTERVAL_SECONDS = 0.4
# Bounds of the Retry-After time: within it a target has probably finished a request.
MINIMUM_RETRY_AFTER_SECONDS = 0.1
MAXIMUM_RETRY_AFTER_SECONDS = 2.0
# Without a current hub for this long an entry may lack a version that is in force elsewhere.
OUTDATED_SECONDS = 1.0
# Tokens of the entry's own retry budget when it loses its hub. Together with the retries that
# hubs granted just before, all entries stay below the budget of the site.
INITIAL_LOCAL_TOKENS = 0.4


class EdgeNode(StateMachine, ForwardingContext):
    """State and decisions of an entry.

    Parameters
    ----------
    settings : EdgeSettings
        Settings of the entry.
    reader : CatalogueReader
        Parses operators' documents.
    random : Random
        Breaks ties.
    """

    def __init__(self, *, settings: EdgeSettings, reader: CatalogueReader, random: Random):
        self.settings = settings
        self.random = random
        self.active = ActiveCatalogue(reader=reader, random=random)
        self.topology = Topology(settings.data_centre, settings.regions)
        self.hubs = HubSelector(topology=self.topology, seeds=settings.hubs, random=random)
        self.targets = TargetRegistry()
        self.departures = Departures()
        self.avoidance = GrayFailureDetector()
        self.suspects = SuspectRequests()
        self.limits = DeclaredLimits()
        self.pauses = RequestedPauses(random)
        self.balancer = Balancer(
            topology=self.topology,
            targets=self.targets,
            avoidance=self.avoidance,
            limits=self.limits,
            random=random,
            floor_share=settings.floor_share,
            pauses=self.pauses,
        )
        self.admission = EntryAdmission(self.active, self.balancer, random)
        self.hedging = create_hedging_policy(settings.hedging, self.balancer)
        self.evidence = EvidenceProcessor(
            vm=settings.vm,
            targets=self.targets,
            avoidance=self.avoidance,
            limits=self.limits,
            suspects=self.suspects,
            failures=self.balancer.floor.failures,
            emit=lambda effect: self._pending_effects.append(effect),
        )
        self.path = TargetPath(
            topology=self.topology,
            targets=self.targets,
            avoidance=self.avoidance,
            random=random,
            report=self.evidence.report,
            emit=lambda effect: self._pending_effects.append(effect),
            announce=self._announce_state,
        )
        self.budgets = RetryBudgets(
            ratio=settings.budget.ratio,
            slack=settings.budget.slack,
            window=settings.budget.window,
            initial_tokens=INITIAL_LOCAL_TOKENS,
        )
        self.retry_requests = PendingRetryRequests(self.budgets)
        self.permit_requests = PendingPermitRequests(self.limits, random)
        self.allowances = EntryAllowances(
            random, self.hubs.has_current_hub, lambda effect: self._pending_effects.append(effect)
        )
        self.is_stopping = False
        self._has_targets = False
        self.profiles: dict[str, ServiceProfile] = {}
        self._response_times: dict[str, ResponseTimeModel] = {}
        self._slow_outcomes = SlowAttemptOutcomes()
        self._edges: tuple[EdgeRecord, ...] = ()
        self._reported_load: tuple[LoadItem, ...] = ()
        self._load_reported_at = float("-inf")
        self._pending_effects: list[Effect] = []

    # Queries

    @property
    def is_ready(self) -> bool:
        """Whether the entry serves callers."""
        return self.catalogue is not None and self._has_targets and not self.is_stopping

    @property
    def catalogue(self) -> Catalogue | None:
        """The catalogue in force."""
        return self.active.catalogue

    @property
    def version(self) -> int:
        """The version of the catalogue in force, or ``NO_VERSION``."""
        return self.active.version

    def may_lack_version(self, now: float) -> bool:
        """Return whether a newer catalogue may be in force that this entry has not received."""
        is_known = self.path.relay_version > self.version
        return is_known or self.hubs.compute_outdated_seconds(now) >= OUTDATED_SECONDS

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route of a request; only call this with a catalogue in force."""
        return self.active.match(host, path)

    def get_idle_limit(self, target: TargetEntry) -> int:
        """Return how many idle connections this entry may keep to a target."""
        held = self.targets.get(target.identity)
        if held is not None and not self.targets.is_usable(target):
            return 0
        maximum_connections = self.active.get_maximum_connections(target.service)
        return compute_idle_limit(maximum_connections, entries=self.budgets.entries)

    def list_addresses(self, data_centre: str, region: str) -> tuple[str, ...]:
        """Return the addresses of entries near a caller."""
        own = EdgeRecord(self.settings.address, self.settings.data_centre)
        others = tuple(item for item in self._edges if item != own)
        is_listed = self.is_ready and (not self.path.is_lost or own in self._edges)
        edges = (own, *others) if is_listed else others
        near = [item for item in edges if item.data_centre == data_centre]
        if not near:
            near = [
                item for item in edges if self.topology.regions.get(item.data_centre) == region
            ]
        chosen = [item.address for item in near or edges]
        return tuple(chosen[:MAXIMUM_ADDRESSES])

    def create_subscription(self) -> Subscribe:
        """Return the subscription with the present state of this entry."""
        settings = self.settings
        return Subscribe(
            settings.vm,
            settings.address,
            settings.data_centre,
            self.version,
            self.is_ready,
            self.hubs.is_looking_up,
            settings.relay_address,
            self.path.is_lost,
        )

    # Commands

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle a message of a hub, or the loss of its connection."""
        if isinstance(message, HubLost):
            self.hubs.record_disconnect(now, message.address)
            self._decide_timed_out_retries(now, is_lost=True)
            self._decide_unanswered_permits(now, is_lost=True)
            self.allowances.decide_unanswered(now, is_lost=True)
            # Load counts are out of date within a second; the next hub sends its own.
            self.balancer.update_peer_load({}, is_whole=True)
            return self._choose_hub(now)
        if isinstance(message, HubReceived):
            is_current = None
            if isinstance(message.message, HubBeat):
                is_current = message.message.is_current
            self.hubs.record_contact(now, message.address, is_current=is_current)
            was_ready = self.is_ready
            self._handle_hub_message(now, message.message)
            if self.is_ready != was_ready:
                self._announce_state()
        elif isinstance(message, HubProbed):
            self.hubs.record_probe(now, message.address, is_current=message.is_current)
            return [*self._choose_hub(now), *self.pop_pending_effects()]
        elif isinstance(message, PathDoubted | TargetConnected | TargetChecked):
            self.path.handle(now, message)
        return self.pop_pending_effects()

    def tick(self, now: float) -> list[Effect]:
        """Run periodic work and handle time-outs."""
        self._report_load(now)
        self._decide_timed_out_retries(now)
        self._decide_unanswered_permits(now)
        self.allowances.decide_unanswered(now)
        if self.hubs.has_current_hub(now):
            self.budgets.clear_tokens()
        self.suspects.remove_expired(now)
        self.targets.remove_departed(now)
        self.departures.remove_expired(now)
        for target in self.pauses.pop_resumed(now):
            self._emit_pause_end(target, "elapsed")
        self.path.tick(now)
        self._find_relays_without_hub(now)
        return [*self._choose_hub(now), *self.pop_pending_effects()]

    def pop_pending_effects(self) -> list[Effect]:
        """Return and remove the effects that requests and messages have caused."""
        effects, self._pending_effects = self._pending_effects, []
        return effects

    def stop(self) -> list[Effect]:
        """Report to the hub that this entry no longer serves."""
        self.is_stopping = True
        return [SendToHub(self.create_subscription())]

    def _announce_state(self) -> None:
        self._pending_effects.append(SendToHub(self.create_subscription()))

    # Messages of hubs

    def _choose_hub(self, now: float) -> list[Effect]:
        was_looking_up = self.hubs.is_looking_up
        before = self.hubs.describe(now)
        address = self.hubs.choose(now)
        if before["hub"] and before["hub"] != self.hubs.address:
            self._pending_effects.append(EmitEvent("hub_left", before))
        probes: list[Effect] = [ProbeHub(item) for item in self.hubs.start_probes(now)]
        if address is not None:
            return [FollowHub(address), *probes]
        if was_looking_up and not self.hubs.is_looking_up:
            return [SendToHub(self.create_subscription()), *probes]
        return probes

    def _handle_hub_message(self, now: float, message: Message) -> None:
        if isinstance(message, CatalogueCopy):
            self._pending_effects += self.active.activate(message)
        elif isinstance(message, TargetNews):
            self._merge_targets(now, message)
        elif isinstance(message, EvidenceNews):
            for item in message.items:
                self.evidence.apply(now, item, source=item.source or "hub")
        elif isinstance(message, EdgeNews):
            self._edges = message.edges
            self.budgets.entries = max(message.total, len(message.edges), 1)
            self.permit_requests.entries = self.budgets.entries
            self.allowances.set_entries(self.budgets.entries)
            self.balancer.floor.failures.entries = self.budgets.entries
        elif isinstance(message, RelayNews):
            self.path.relays.update(message.relays)
        elif isinstance(message, HubNews):
            self.hubs.add(message.hubs)
        elif isinstance(message, RepeatReply):
            if self.retry_requests.complete(message.number):
                self._pending_effects.append(RetryDecided(message.number, message.is_granted))
        elif isinstance(message, PermitReply):
            decided = self.permit_requests.complete(now, message)
            if decided is not None:
                self._pending_effects.append(PermitAnswered(message.number, decided))
        elif isinstance(message, AllowanceReply):
            self.allowances.handle(now, message)
        elif isinstance(message, LoadNews):
            counts = {item.target: item.count for item in message.items}
            self.balancer.update_peer_load(counts, is_whole=message.is_whole)
            self.admission.load_received_at = now

    def _find_relays_without_hub(self, now: float) -> None:
        """Use the entries that a hub has named for callers as relays if no hub names any.

        The port for requests to relay is the same on all VMs. Those entries may have lost their
        path, too, and then decline.
        """
        port = self.settings.relay_address.rpartition(":")[2]
        is_needed = self.path.is_lost and self.path.relays.is_empty
        if not port or not is_needed or self.hubs.has_current_hub(now):
            return
        addresses = (
            (f"{item.address.rpartition(':')[0]}:{port}", item.data_centre) for item in self._edges
        )
        self.path.relays.update(
            tuple(
                RelayRecord(address, data_centre)
                for address, data_centre in addresses
                if address != self.settings.relay_address
            )
        )

    def _merge_targets(self, now: float, news: TargetNews) -> None:
        for announced in news.targets:
            entry = self._apply_departure(announced)
            before = self.targets.get(entry.identity)
            if not self.targets.merge(now, entry):
                continue
            if before is not None and before.is_usable and not self.targets.is_usable(before):
                self._pending_effects.append(CloseIdleConnections(before))
            if before is None or before.started != entry.started:
                self.avoidance.forget(entry.identity)
                self.limits.forget(entry.identity)
                if self.pauses.forget(entry.identity):
                    self._emit_pause_end(entry.identity, "restarted")
            held = self.targets.get(entry.identity)
            fields = {
                "target": held.identity,
                "state": held.state,
                "service": held.service,
                "data_centre": held.data_centre,
            }
            self._pending_effects.append(EmitEvent("target_changed", fields))
        self._has_targets = self._has_targets or bool(self.targets.list_all())

    def _apply_departure(self, entry: TargetEntry) -> TargetEntry:
        """Return a record, marked as draining if the target itself said that it leaves.

        A hub that sends it as ready has not heard of it, so the hub is told again.
        """
        if not self.departures.contradicts(entry):
            return entry
        marked = replace(entry, state=TargetState.DRAINING)
        self._pending_effects.append(SendToHub(TargetNews((marked,))))
        return marked

    def _report_load(self, now: float) -> None:
        interval = LOAD_INTERVAL_SECONDS
        if self.hubs.address and not self.hubs.is_near():
            interval = REMOTE_LOAD_INTERVAL_SECONDS
        if now - self._load_reported_at < interval:
            return
        outstanding = sorted(self.balancer.list_outstanding().items())
        items = tuple(LoadItem(target, count) for target, count in outstanding)
        if items != self._reported_load:
            self._reported_load, self._load_reported_at = items, now
            counts = self.budgets.pop_request_counts().items()
            requests = tuple(RequestCount(service, count) for service, count in counts)
            self._pending_effects.append(SendToHub(LoadReport(items, requests)))

    # Forwarding context

    def record_request(self, now: float, service: str) -> None:
        """Record a caller's new request for a service."""
        self.budgets.record_request(now, service)
        self.balancer.floor.failures.record_request(now, service)

    def choose_target(
        self, now: float, request: ForwardRequest, tried: frozenset[str]
    ) -> TargetEntry | RelayRecord | PermitNeeded | RefusalReason:
        """Return the target or the relay for the next attempt, or why there is none."""
        if self.path.is_lost:
            relay = None if request.is_relayed else self.path.choose_relay(now, tried)
            return relay or RefusalReason.NO_PATH
        if self.path.relay_version > self.version and not request.is_relayed:
            # Callers may have seen the effect of a version that this entry has not received.
            relay = self.path.choose_relay(now, tried)
            if relay is not None:
                return relay
        return self.balancer.choose(now, request, self._get_profile(request.service), tried)

    def find_overload(
        self, now: float, request: ForwardRequest, *, is_full: bool = False
    ) -> Overload | None:
        """Return the refusal of a request whose service is short of room, or None."""
        profile = self._get_profile(request.service)
        return self.admission.find_overload(now, request, profile, is_full=is_full)

    def spend_retry(self, now: float, service: str) -> bool | None:
        """Spend one retry of the entry's own budget, or return None if the hub has to decide."""
        if self.hubs.has_current_hub(now):
            return None
        return self.budgets.spend(now, service)

    def request_retry(self, now: float, service: str) -> int:
        """Request a retry from the hub and return the number of the request.

        A ``RetryDecided`` effect with this number follows.
        """
        number = self.retry_requests.add(now, service)
        self._pending_effects.append(SendToHub(RepeatAsk(number, service)))
        return number

    def _decide_timed_out_retries(self, now: float, *, is_lost: bool = False) -> None:
        decided = self.retry_requests.decide_timed_out(now, is_lost=is_lost)
        self._pending_effects += (
            RetryDecided(number, is_granted) for number, is_granted in decided
        )

    def request_permit(self, now: float, needed: PermitNeeded) -> int:
        """Request a permit and return the number of the request.

        A ``PermitAnswered`` effect with this number follows. The leader decides, or this entry
        itself while it has no hub that is in contact with a leader.
        """
        request = self.permit_requests.add(now, needed)
        decided = self.permit_requests.decide_with_unused(now, request.number)
        if decided is not None:
            self._pending_effects.append(PermitAnswered(request.number, decided))
        elif self.hubs.has_current_hub(now):
            self._pending_effects.append(SendToHub(request))
        else:
            self._decide_unanswered_permits(now, is_lost=True)
        return request.number

    def return_permit(self, now: float, target: str) -> None:
        """Give back a permit for a target whose request has ended before it was decided."""
        self.permit_requests.give_back(now, target)

    def _decide_unanswered_permits(self, now: float, *, is_lost: bool = False) -> None:
        decisions = self.permit_requests.decide_unanswered(now, is_lost=is_lost)
        self._pending_effects += (PermitAnswered(*item) for item in decisions)

    def is_quarantined(self, now: float, digest: int) -> bool:
        """Return whether a request is suspected of crashing targets."""
        return self.suspects.is_quarantined(now, digest)

    def estimate_latency_thresholds(
        self, now: float, request: ForwardRequest, target: TargetEntry
    ) -> LatencyThresholds:
        """Return the times after which an attempt that starts now counts as slow and as hung."""
        typical = self._get_response_times(request.route).thresholds
        profile = self._get_profile(request.service)
        return self.balancer.estimate_latency_thresholds(now, typical, profile, target)

    def is_slowness_predictive(self) -> bool:
        """Return whether enough of the recent slow attempts ended without a good response."""
        return self._slow_outcomes.is_predictive

    def record_slow_outcome(self, *, is_answered: bool) -> None:
        """Record how a slow attempt ended."""
        self._slow_outcomes.record(is_answered=is_answered)

    def compute_retry_after(self, now: float, service: str) -> float:
        """Return the seconds after which a refused caller should retry."""
        usable = (item.identity for item in self.targets.list_usable(service))
        pause = self.pauses.compute_retry_after(now, usable)
        if pause:
            return pause
        work = self._get_profile(service).work_seconds
        return max(MINIMUM_RETRY_AFTER_SECONDS, min(MAXIMUM_RETRY_AFTER_SECONDS, work))

    def is_trusted(self, now: float, target: TargetEntry) -> bool:
        """Return whether a target is trusted."""
        return self.avoidance.get_standing(now, target.identity) == Standing.TRUSTED

    def record_attempt_start(
        self, now: float, request: ForwardRequest, target: TargetEntry, kind: AttemptKind
    ) -> None:
        """Count an attempt at its target, and report a trial of a target that is not trusted.

        A trial on a path in doubt is not reported: its result may say nothing about the target.
        """
        name = target.identity
        self._emit_limited_attempt(now, request, name, kind)
        self.pauses.record_attempt(now, name)
        standing = self.avoidance.get_standing(now, name)
        is_untried = standing != Standing.TRUSTED and not self.avoidance.is_on_trial(now, name)
        if is_untried and self.path.is_open:
            self.evidence.report(now, EvidenceItem(name, EvidenceKind.TRIAL))
        self.balancer.acquire(name)
        self.admission.record_start(now, request.service)

    def record_attempt_end(self, now: float, target: TargetEntry) -> None:
        """Record that an attempt no longer occupies its target."""
        self.balancer.release(target.identity)

    def is_path_in_doubt(self) -> bool:
        """Return whether this entry is finding out if its path to the targets is lost."""
        return self.path.is_in_doubt

    def record_relay_start(self, now: float, relay: RelayRecord) -> None:
        """Count a request that is sent to a relay."""
        self.path.relays.acquire(relay)

    def record_relay_end(
        self, now: float, relay: RelayRecord, outcome: RelayOutcome | None
    ) -> None:
        """Record how an attempt at a relay ended; None if this entry cancelled it."""
        self.path.record_relay_end(now, relay, outcome)

    def record_relay_version(self, version: int) -> None:
        """Record that a relay had a version of the catalogue in force.

        Callers of this entry may have seen its effect, so later relays need this version, too.
        """
        self.path.relay_version = max(self.path.relay_version, version)

    def find_decline_reason(self, minimum_version: int, size: int) -> DeclineReason | None:
        """Return why a request with a body of some bytes is not taken, or None if it is."""
        return self.path.find_decline_reason(
            is_stopping=not self.is_ready,
            version=self.version,
            minimum_version=minimum_version,
            size=size,
        )

    @property
    def minimum_relay_version(self) -> int:
        """The version of the catalogue that a relay needs."""
        return max(self.version, self.path.relay_version)

    def record_evidence(
        self, now: float, request: ForwardRequest, target: TargetEntry, kind: EvidenceKind
    ) -> None:
        """Record the outcome of an attempt as evidence about its target."""
        if kind in POSITIVE_EVIDENCE:
            self.suspects.record_success(request.digest)
            if not self.is_trusted(now, target):
                self.evidence.report(now, EvidenceItem(target.identity, kind))
            return
        if kind == EvidenceKind.BROKEN and self.balancer.is_overloaded(target):
            # Targets reset connections while their queue is long, so load explains the reset.
            kind = EvidenceKind.FULL
        if kind == EvidenceKind.FULL:
            self.admission.record_refusal(now, request.service)
        digest = request.digest if kind == EvidenceKind.BROKEN else 0
        item = EvidenceItem(target.identity, kind, digest)
        if kind in AMBIGUOUS_EVIDENCE:
            self.path.record_failure(now, item)
        else:
            self.evidence.report(now, item)

    def record_limit(
        self, now: float, target: TargetEntry, statement: LimitStatement, *, sent_at: float
    ) -> None:
        """Record what a response to a request sent at ``sent_at`` says about a target's limit."""
        if not self.limits.is_changed_by(target.identity, statement, sent_at=sent_at):
            return
        if statement.rate is None:
            item = EvidenceItem(target.identity, EvidenceKind.UNLIMITED)
        else:
            item = EvidenceItem(target.identity, EvidenceKind.LIMITED, rate=statement.rate)
        self.evidence.report(now, item)

    def record_pause(
        self, now: float, target: TargetEntry, statement: PauseStatement, *, sent_at: float
    ) -> None:
        """Record the pause that a response to a request sent at ``sent_at`` asks for.

        A response of an earlier incarnation says nothing about the present one.
        """
        name = target.identity
        held = self.targets.get(name)
        if held is None or held.started != target.started:
            return
        if statement.problem:
            if self.pauses.record_malformed(now, name):
                fields = {"target": name, "problem": statement.problem}
                self._pending_effects.append(EmitEvent("pause_malformed", fields))
            return
        pause = self.pauses.record(now, name, statement.seconds, sent_at=sent_at)
        if pause is not None:
            fields = {
                "target": name,
                "service": target.service,
                "asked": round(pause.asked_seconds, 3),
                "seconds": round(pause.seconds, 3),
                "run": pause.run,
            }
            self._pending_effects.append(EmitEvent("pause_requested", fields))

    def is_paused(self, now: float, target: TargetEntry) -> bool:
        """Return whether no request may be sent to a target because it asked for a pause."""
        return self.pauses.is_paused(now, target.identity)

    def _emit_pause_end(self, target: str, cause: str) -> None:
        fields = {"target": target, "cause": cause}
        self._pending_effects.append(EmitEvent("pause_ended", fields))

    def _emit_limited_attempt(
        self, now: float, request: ForwardRequest, target: str, kind: AttemptKind
    ) -> None:
        """Emit an event for an attempt at a target that declares a limit."""
        rate = self.limits.get_rate(target)
        if rate is None:
            return
        fields = {
            "request": request.identity,
            "target": target,
            "service": request.service,
            "kind": kind,
            "rate": rate,
            "age": round(self.limits.get_age(now, target), 3),
            "standing": self.avoidance.get_standing(now, target),
        }
        self._pending_effects.append(EmitEvent("limited_attempt", fields))

    def record_success(self, request: ForwardRequest, seconds: float, size: int) -> None:
        """Record the response time and the number of transferred bytes of an attempt."""
        self._get_profile(request.service).record(seconds, size)
        self._get_response_times(request.route).record(seconds)
        self.admission.record_success(request, seconds)

    def describe_target(self, now: float, target: TargetEntry) -> dict:
        """Return the entry's view of a target as fields of a log event."""
        return {
            "standing": self.avoidance.get_standing(now, target.identity),
            "held": self.balancer.count_outstanding(target.identity),
            "data_centre": target.data_centre,
            "version": self.version,
            "limit": self.limits.get_rate(target.identity),
            "pause": round(self.pauses.compute_wait(now, target.identity), 3),
        }

    def record_misdirected(self, now: float, target: TargetEntry) -> None:
        """Record that another target answers at the address of a target."""
        self.evidence.report(now, EvidenceItem(target.identity, EvidenceKind.DEPARTED))

    def is_usable(self, target: TargetEntry) -> bool:
        """Return whether a target that was chosen before may still receive new requests."""
        return self.targets.is_usable(target)

    def record_departure(self, now: float, target: TargetEntry) -> None:
        """Stop sending new requests to a target that said in a response that it leaves.

        It counts for this incarnation of the target. The hubs tell the other entries.
        """
        self.departures.record(now, target)
        held = self.targets.get(target.identity)
        if held is None or (held.started, held.state) != (target.started, TargetState.READY):
            return
        fields = {
            "target": held.identity,
            "service": held.service,
            "held": self.balancer.count_outstanding(held.identity),
        }
        self._pending_effects.append(EmitEvent("target_leaving", fields))
        self._merge_targets(now, TargetNews((held,)))

    def record_relayed_departure(self, now: float, identity: str, *, sent_at: float) -> None:
        """Record that a target said so in the response to a request relayed at ``sent_at``.

        The response may be that of an earlier incarnation if the present one is known for less.
        """
        held = self.targets.get(identity)
        if held is not None and self.targets.get_known_at(identity) <= sent_at:
            self.record_departure(now, held)

    def _get_response_times(self, route: Route) -> ResponseTimeModel:
        return self._response_times.setdefault(route.name, ResponseTimeModel(route.objective))

    def _get_profile(self, service: str) -> ServiceProfile:
        return self.profiles.setdefault(service, ServiceProfile())
