"""One entry: gossip, configuration, health evidence, and the context of its requests."""

from math import inf
from random import Random

from ..base import Effect, Message, StateMachine
from ..configuration import Document, Service
from ..control import Chunks, Followed
from ..execution import RequestContext
from ..health import (
    EvidenceCollector,
    EvidenceDigest,
    HangTimeout,
    Outcome,
    PoisonNote,
    ReadyTarget,
    Watcher,
)
from ..ledger import ClaimId
from ..limits import AccountRateLimiter, RetryBudget
from ..membership import (
    Announcement,
    EntryRecord,
    EntryState,
    Gossip,
    GossipNode,
    TargetRecord,
)
from ..routing import Balancer, EntryAddressSelector, RouteTable, TargetChoice
from ..utils import rank_by_rendezvous
from ._follower import ConfigurationFollower
from ._messages import (
    ConfigurationActivated,
    EntryStatus,
    SendEvidence,
    ServiceView,
    SubmitCommand,
    TargetView,
)

WATCHERS_PER_SERVICE = 2
BOOT_BITS = 64
EVIDENCE_INTERVAL_SECONDS = 0.25
WARMUP_SECONDS = 5.0
CONTROL_TIMEOUT_SECONDS = 3.0


class EntryNode(StateMachine, RequestContext):
    """State machine with the decisions of an entry process; it does no input or output itself.

    Parameters
    ----------
    own : EntryRecord
        The record of this entry.
    seeds : tuple of str
        Peer addresses of other entries.
    random : Random
        Chooses peers and targets.
    maximum_targets : int, optional
        Number of targets to keep records of, departed ones included.
    """

    def __init__(
        self,
        *,
        own: EntryRecord,
        seeds: tuple[str, ...],
        random: Random,
        maximum_targets: int | None = None,
    ):
        self.own_vm = own.vm
        self.maximum_targets = inf if maximum_targets is None else maximum_targets
        self.gossip = GossipNode(own=own, seeds=seeds, random=random)
        self.follower = ConfigurationFollower()
        self.balancer = Balancer(
            data_centre=own.data_centre, targets=self.gossip.targets, random=random
        )
        self.routes: RouteTable | None = None
        self.rates: AccountRateLimiter | None = None
        self.budget = RetryBudget(0.1)
        self.revision = -1
        self.is_stopping = False
        self._addresses: EntryAddressSelector | None = None
        self._services: dict[str, Service] = {}
        self._ejections = ()
        self._evidence = EvidenceCollector()
        self._hang_timeouts: dict[str, HangTimeout] = {}
        self._watchers: dict[str, Watcher] = {}
        self._watcher_candidates: tuple[str, ...] = ()
        self._watchers_by_service: dict[str, list[str]] = {}
        self._evidence_sent_at = float("-inf")
        self._control_contact_at = float("-inf")
        self._started_at: float | None = None
        # Makes claim ids unique. The incarnation would not: to refute gossip about an earlier
        # process of this VM, an entry adopts that process's incarnation.
        self._boot_id = f"{random.getrandbits(BOOT_BITS):x}"
        self._claim_count = 0
        self._pending: list[Effect] = []

    # Queries

    @property
    def own(self) -> EntryRecord:
        """The record of this entry."""
        return self.gossip.entries.own

    @property
    def document(self) -> Document | None:
        """The document in force."""
        return self.follower.document

    def get_service(self, name: str) -> Service:
        """Return a service of the document in force; raises ``KeyError``."""
        return self._services[name]

    def is_control_reached(self, now: float) -> bool:
        """Return whether a current control answered within ``CONTROL_TIMEOUT_SECONDS``."""
        return now - self._control_contact_at < CONTROL_TIMEOUT_SECONDS

    def list_addresses(self, caller: str, data_centre: str) -> tuple[str, ...]:
        """Return the entry addresses for a caller, best first."""
        if self._addresses is None:
            return (self.own.http,)
        records = self.gossip.entries.list_records()
        if self.own.state == EntryState.SUSPECTED:
            # An isolated entry cannot tell which others failed, only that it should not serve.
            records = tuple(item for item in records if item.vm != self.own_vm) or records
        return self._addresses.choose(caller=caller, data_centre=data_centre, records=records)

    def describe(self, now: float) -> EntryStatus:
        """Return the status of this entry."""
        return EntryStatus(
            vm=self.own_vm,
            version=self.follower.version,
            revision=self.revision,
            is_control_reached=self.is_control_reached(now),
            entries=self.gossip.entries.list_records(),
            targets=tuple(
                self._create_target_view(item) for item in self.gossip.targets.list_records()
            ),
            services=tuple(self._create_service_view(item) for item in self._services.values()),
        )

    def get_followed_state(self) -> Followed:
        """Return the configuration and ejections in force, for another entry to follow."""
        return Followed(
            cluster=self.follower.cluster,
            revision=self.revision,
            configuration=self.follower.in_force,
            ejections=self._ejections,
        )

    def has_room_for(self, address: str) -> bool:
        """Return whether the target at an address is known, or can become so."""
        targets = self.gossip.targets
        return targets.get_record(address) is not None or targets.count < self.maximum_targets

    # Commands

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle gossip, evidence or an announcement."""
        if isinstance(message, Gossip):
            return self.gossip.handle(now, message)
        if isinstance(message, Announcement):
            return self.gossip.announce(now, message)
        if isinstance(message, EvidenceDigest):
            self._record_evidence(now, message)
        return []

    def tick(self, now: float) -> list[Effect]:
        """Run what is due: gossip, digests of evidence and health reports."""
        self.gossip.revision = self.follower.in_force.revision
        self.gossip.is_control_reached = self.is_control_reached(now)
        effects = self.gossip.tick(now)
        if now - self._evidence_sent_at >= EVIDENCE_INTERVAL_SECONDS:
            self._evidence_sent_at = now
            effects += self._send_evidence(now)
            effects += self._report_health(now)
        return effects + self.pop_pending_effects()

    def pop_pending_effects(self) -> list[Effect]:
        """Return and clear the effects of requests, which must not wait for the next tick."""
        pending, self._pending = self._pending, []
        return pending

    def follow(self, now: float, source: str, followed: Followed) -> list[Effect]:
        """Apply the state of a control, or of another entry while no control is reached."""
        is_newer = followed.revision > self.revision
        if not followed.is_stale and followed.cluster in ("", self.follower.cluster):
            self._control_contact_at = now
        effects = self._apply_configuration_effects(now, self.follower.follow(source, followed))
        if is_newer and followed.cluster == self.follower.cluster:
            self.revision = followed.revision
            self._ejections = followed.ejections
            self.balancer.set_ejections(now, followed.ejections)
            if not self.is_stopping:
                self.gossip.entries.set_drained(self.own_vm in followed.drained)
        return effects

    def receive_chunks(self, now: float, source: str, chunks: Chunks) -> list[Effect]:
        """Store chunks of a configuration."""
        return self._apply_configuration_effects(now, self.follower.receive(source, chunks))

    def stop(self, now: float) -> list[Effect]:
        """Withdraw this entry, so that callers stop using it."""
        self.is_stopping = True
        return self.gossip.leave(now)

    # The context of requests

    def choose_target(
        self, now: float, service: str, tried: frozenset[str]
    ) -> TargetChoice | None:
        """Return a target that was not tried yet, or None."""
        return self.balancer.choose(now, service, tried)

    def spend_retry(self, cost: float) -> bool:
        """Spend ``cost`` of the retry budget, or return False if it is exhausted."""
        return self.budget.spend(cost)

    def compute_hang_timeout(self, service: Service) -> float:
        """Return the time-out in seconds after which an unanswered attempt counts as hung."""
        timeout = self._hang_timeouts.setdefault(service.name, HangTimeout())
        return timeout.compute(service.detection.hang_seconds)

    def create_claim_id(self) -> ClaimId:
        """Return a unique claim id."""
        self._claim_count += 1
        return ClaimId(self.own_vm, self._boot_id, self._claim_count)

    def is_quarantined(self, now: float, digest: str) -> bool:
        """Return whether a request is quarantined because targets crashed while they ran it."""
        return self.gossip.poison.is_quarantined(now, digest)

    def record_outcome(
        self, now: float, service: str, target: TargetRecord, outcome: Outcome
    ) -> None:
        """Record an attempt's outcome as evidence about the target."""
        self._evidence.record(service, target.address, str(target.incarnation), outcome)
        if outcome in (Outcome.FAILED, Outcome.HUNG):
            self.balancer.record_failed_attempt(now, target.address)
        elif outcome == Outcome.SHED:
            self.balancer.record_full(now, target.address)
        else:
            self.balancer.record_answer(target.address)

    def record_response_time(self, service: str, seconds: float) -> None:
        """Record the response time of a complete answer."""
        self._hang_timeouts.setdefault(service, HangTimeout()).record(seconds)

    def record_crash(self, now: float, digest: str, target: TargetRecord) -> None:
        """Record that a target's connection broke while it ran a request."""
        note = PoisonNote(digest, target.address, str(target.incarnation))
        self._pending += self.gossip.record_crash(now, note)

    # Steps

    def _apply_configuration_effects(self, now: float, effects: list[Effect]) -> list[Effect]:
        for effect in effects:
            if isinstance(effect, ConfigurationActivated):
                self._configure(effect.document)
        return effects

    def _configure(self, document: Document) -> None:
        self.routes = RouteTable(document)
        self.rates = AccountRateLimiter(document, previous=self.rates)
        self.budget.ratio = document.retry_ratio
        self.balancer.configure(document)
        self._addresses = EntryAddressSelector(document)
        self._services = {service.name: service for service in document.services}
        self._watchers = {
            name: watcher
            for name, watcher in self._watchers.items()
            if name in self._services and self._services[name].detection == watcher.detection
        }

    def _list_watchers(self, service: str) -> list[str]:
        """Return the entries that watch a service, by rendezvous hashing of the alive ones.

        Entries with the same view of the alive entries choose the same watchers.
        """
        alive = self.gossip.entries.list_alive()
        if alive is not self._watcher_candidates:
            self._watcher_candidates = alive
            self._watchers_by_service = {}
        if service not in self._watchers_by_service:
            ranked = rank_by_rendezvous(f"watch {service}", alive)
            self._watchers_by_service[service] = ranked[:WATCHERS_PER_SERVICE]
        return self._watchers_by_service[service]

    def _send_evidence(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        by_service: dict[str, list] = {}
        for item in self._evidence.take():
            by_service.setdefault(item.service, []).append(item)
        for service, items in by_service.items():
            digest = EvidenceDigest(self.own_vm, tuple(items))
            for vm in self._list_watchers(service):
                record = self.gossip.entries.get_record(vm)
                if vm == self.own_vm:
                    self._record_evidence(now, digest)
                elif record is not None:
                    effects.append(SendEvidence(record.peer, digest))
        return effects

    def _record_evidence(self, now: float, digest: EvidenceDigest) -> None:
        for service in {item.service for item in digest.items}:
            watcher = self._get_watcher(service)
            if watcher is not None:
                watcher.record(now, digest)

    def _report_health(self, now: float) -> list[Effect]:
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at < WARMUP_SECONDS:
            # Right after a start few targets are known, and a report would understate capacity.
            return []
        effects: list[Effect] = []
        entries = len(self.gossip.entries.list_alive())
        for service in self._services:
            if self.own_vm not in self._list_watchers(service):
                self._watchers.pop(service, None)
                continue
            ready = tuple(
                ReadyTarget(item.address, str(item.incarnation))
                for item in self.gossip.targets.list_ready(service)
            )
            ejections = tuple(item for item in self._ejections if item.service == service)
            report = self._get_watcher(service).report(
                now, ready=ready, ejections=ejections, entries=entries
            )
            if report is not None:
                effects.append(SubmitCommand(report))
        return effects

    def _get_watcher(self, service: str) -> Watcher | None:
        if service not in self._services:
            return None
        if service not in self._watchers:
            detection = self._services[service].detection
            self._watchers[service] = Watcher(self.own_vm, service, detection)
        return self._watchers[service]

    def _create_target_view(self, record: TargetRecord) -> TargetView:
        is_ejected = self.balancer.is_ejected(record)
        reasons = {item.target: item.reason for item in self._ejections}
        return TargetView(
            record.service,
            record.address,
            record.data_centre,
            str(record.state),
            self.balancer.get_outstanding(record.address),
            is_ejected,
            reasons.get(record.address, "") if is_ejected else "",
        )

    def _create_service_view(self, service: Service) -> ServiceView:
        ready = self.gossip.targets.list_ready(service.name)
        ejected = sum(1 for item in ready if self.balancer.is_ejected(item))
        return ServiceView(service.name, len(ready), len(ready) - ejected, service.floor)
