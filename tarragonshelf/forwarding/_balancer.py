"""Selection of the target with the lowest expected cost."""

from dataclasses import dataclass
from itertools import takewhile
from math import ceil
from random import Random

from ..avoidance import GrayFailureDetector, Standing
from ..registry import TargetEntry, TargetRegistry
from ..throttling import DeclaredLimits, RequestedPauses
from ._floor import TrafficFloor
from ._messages import ForwardRequest, PermitNeeded, RefusalReason
from ._profile import LatencyThresholds, ServiceProfile

# Cost of sending 1000 bytes to another data centre or region, as a share of the value of one
# response on time. Links between data centres are the largest expense of these fleets.
DATA_CENTRE_COST_PER_KILOBYTE = 0.06
REGION_COST_PER_KILOBYTE = 0.11
# Round-trip times that the platform states for its links.
DATA_CENTRE_ROUND_TRIP_SECONDS = 0.003
REGION_ROUND_TRIP_SECONDS = 0.04
# Weight of the squared ratio of expected latency to objective. Latency far below the objective
# hardly matters; near the objective the response is about to lose its value.
LATENCY_WEIGHT = 0.6
# Expected cost of a trial request to an untrusted target. It is higher for orders, the requests
# that must not be repeated: one that fails there is lost.
TRIAL_COST = 0.02
ORDER_TRIAL_COST = 0.15
# Cost of a failure at an avoided target, multiplied by the failure probability. An order that
# fails there is lost.
AVOIDED_COST = 1.0
ORDER_AVOIDED_COST = 2.0
# Lower bound of that probability, for targets that are avoided for another reason, such as a
# trial that another entry has started.
MINIMUM_AVOIDED_FAILURE_PROBABILITY = 0.5
# Cost of a target that shed a request a moment ago and would probably refuse this one.
FULL_COST = 0.5
# Requests queued per slot of a target before no more are sent there. Targets queue four requests
# per slot, and begin to reset connections while their queue is long.
MAXIMUM_QUEUE_PER_SLOT = 2
# At most this share of a service's targets is avoided. If more of them seem to fail, load or the
# network path is the more likely cause, and avoiding more would overload the rest. Orders avoid
# more targets on strong evidence while the rest has a free slot, since each failed order is lost.
MAXIMUM_AVOIDED_SHARE = 0.4
# Targets with a limit that one request for a permit names, so that messages stay small at services
# with many targets. If it is denied, the others are asked for next.
MAXIMUM_PERMIT_TARGETS = 64
# Capacity of a target that is still warming up, as a share of its slots.
WARMING_SLOT_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class Topology:
    """Data centre of this entry, and the region of each data centre."""

    data_centre: str
    regions: dict[str, str]

    def get_distance(self, data_centre: str) -> int:
        """Return 0 for the own data centre, 1 for the own region, 2 for any other region."""
        if data_centre == self.data_centre:
            return 0
        region = self.regions.get(data_centre)
        return 1 if region and region == self.regions.get(self.data_centre) else 2


class Balancer:
    """Selects targets and counts the outstanding requests of each.

    Parameters
    ----------
    topology : Topology
        Data centre of the entry and region of each data centre.
    targets : TargetRegistry
        Targets that announced themselves.
    avoidance : GrayFailureDetector
        Standing and failure probability of each target.
    limits : DeclaredLimits
        Limits of the targets that declare one.
    random : Random
        Breaks ties.
    floor_share : float, optional
        Minimum share of the targets without recent proof of failure that must receive requests,
        from 0 to 1.
    pauses : RequestedPauses, optional
        Pauses that targets requested.
    """

    def __init__(
        self,
        *,
        topology: Topology,
        targets: TargetRegistry,
        avoidance: GrayFailureDetector,
        limits: DeclaredLimits,
        random: Random,
        floor_share: float = 0.0,
        pauses: RequestedPauses | None = None,
    ):
        self.floor = TrafficFloor(share=floor_share, avoidance=avoidance, random=random)
        self.topology = topology
        self.targets = targets
        self.avoidance = avoidance
        self.limits = limits
        self.pauses = pauses or RequestedPauses(random)
        self.random = random
        self._outstanding: dict[str, int] = {}
        self._peer_load: dict[str, int] = {}

    def acquire(self, target: str) -> None:
        """Count a request that was sent to a target."""
        self._outstanding[target] = self._outstanding.get(target, 0) + 1

    def release(self, target: str) -> None:
        """Count the end of a request at a target."""
        left = self._outstanding.get(target, 0) - 1
        if left > 0:
            self._outstanding[target] = left
        else:
            self._outstanding.pop(target, None)

    def list_outstanding(self) -> dict[str, int]:
        """Return the number of outstanding requests of this entry per target."""
        return dict(self._outstanding)

    def update_peer_load(self, counts: dict[str, int], *, is_whole: bool) -> None:
        """Update the outstanding requests of other entries per target.

        If ``is_whole``, ``counts`` replaces all earlier counts; otherwise it holds only those that
        changed.
        """
        if is_whole:
            self._peer_load = {}
        for target, count in counts.items():
            if count:
                self._peer_load[target] = count
            else:
                self._peer_load.pop(target, None)

    def count_outstanding(self, target: str) -> int:
        """Return the known outstanding requests of all entries at a target."""
        return self._outstanding.get(target, 0) + self._peer_load.get(target, 0)

    def choose(
        self,
        now: float,
        request: ForwardRequest,
        profile: ServiceProfile,
        tried: frozenset[str],
    ) -> TargetEntry | PermitNeeded | RefusalReason:
        """Return the target with the lowest expected cost, or why there is none.

        If targets with a limit are the best choice, a permit for one of them is needed.
        """
        usable = self.targets.list_usable(request.service)
        candidates = [item for item in usable if item.identity not in tried]
        if not candidates:
            return RefusalReason.NO_TARGET
        paused = frozenset(
            item.identity for item in usable if self.pauses.is_paused(now, item.identity)
        )
        accepting = [item for item in candidates if item.identity not in paused]
        if not accepting:
            return RefusalReason.PAUSED
        free = [item for item in accepting if self._has_room(now, request, profile, item)]
        if not free:
            return RefusalReason.ALL_FULL
        rates = {item.identity: self.limits.get_rate(item.identity) for item in free}
        limited = {name: rate for name, rate in rates.items() if rate is not None}
        open_targets = [item for item in free if not self.limits.is_closed(now, item.identity)]
        trial_target = self.floor.choose_trial_target(
            now, request, usable, open_targets, paused=paused
        )
        if trial_target is not None:
            ranked = [trial_target]
        else:
            # If all targets have a limit, closed ones are asked for, too: the leader then decides
            # when the caller should return.
            considered = open_targets if len(limited) < len(free) else free
            unpaused = tuple(item for item in usable if item.identity not in paused)
            avoided = self._list_avoided(now, unpaused, request.route.is_repeatable)
            costs = {
                item.identity: self._estimate_cost(now, request, profile, item, avoided)
                for item in considered
            }
            ranked = sorted(considered, key=lambda item: costs[item.identity])
        preferred = tuple(takewhile(lambda item: item.identity in limited, ranked))
        if not preferred:
            return ranked[0]
        asked = preferred[:MAXIMUM_PERMIT_TARGETS]
        return PermitNeeded(
            request.service,
            asked,
            service_rate=sum(limited.values()),
            has_alternative=len(asked) < len(free),
        )

    def is_overloaded(self, target: TargetEntry) -> bool:
        """Return whether a target's queue is so long that it may refuse requests."""
        return (
            self.count_outstanding(target.identity)
            >= target.slots * (1 + MAXIMUM_QUEUE_PER_SLOT) - 1
        )

    def estimate_latency_thresholds(
        self, now: float, idle: LatencyThresholds, profile: ServiceProfile, target: TargetEntry
    ) -> LatencyThresholds:
        """Return the latency thresholds of a target at its present load.

        ``idle`` holds those of an idle target. The expected wait for a slot is added, and a
        target that is warming up gets more time.
        """
        factor = 1 / WARMING_SLOT_FACTOR if self.targets.is_warming(now, target.identity) else 1.0
        wait = self._estimate_wait(now, profile, target)
        return LatencyThresholds(factor * idle.slow + wait, factor * idle.hung + wait)

    def _list_avoided(
        self, now: float, usable: tuple[TargetEntry, ...], is_repeatable: bool
    ) -> frozenset[str]:
        """Return the targets to avoid: those with the highest failure probability."""
        avoided = [
            item
            for item in usable
            if self.avoidance.get_standing(now, item.identity) == Standing.AVOIDED
        ]
        maximum_avoided = ceil(MAXIMUM_AVOIDED_SHARE * len(usable))
        if len(avoided) > maximum_avoided:
            avoided.sort(
                key=lambda item: self.avoidance.get_failure_probability(now, item.identity),
                reverse=True,
            )
            if is_repeatable:
                del avoided[maximum_avoided:]
            free = self._count_free_slots(usable, avoided)
            while len(avoided) > maximum_avoided and (
                free < 1 or not self.avoidance.has_strong_evidence(now, avoided[-1].identity)
            ):
                exempt = avoided.pop()
                free += exempt.slots - self.count_outstanding(exempt.identity)
        return frozenset(item.identity for item in avoided)

    def _count_free_slots(
        self, usable: tuple[TargetEntry, ...], excluded: list[TargetEntry]
    ) -> int:
        """Return the free slots of all usable targets but ``excluded``."""
        names = {item.identity for item in excluded}
        rest = (item for item in usable if item.identity not in names)
        return sum(item.slots - self.count_outstanding(item.identity) for item in rest)

    def _estimate_cost(
        self,
        now: float,
        request: ForwardRequest,
        profile: ServiceProfile,
        target: TargetEntry,
        avoided: frozenset[str],
    ) -> float:
        route = request.route
        distance = self.topology.get_distance(target.data_centre)
        kilobytes = profile.size_bytes / 1000
        cost = (0.0, DATA_CENTRE_COST_PER_KILOBYTE, REGION_COST_PER_KILOBYTE)[distance] * kilobytes
        round_trip = (0.0, DATA_CENTRE_ROUND_TRIP_SECONDS, REGION_ROUND_TRIP_SECONDS)[distance]
        latency = self._estimate_wait(now, profile, target) + profile.work_seconds + round_trip
        elapsed = now - request.arrived_at
        cost += LATENCY_WEIGHT * ((elapsed + latency) / max(0.05, route.objective)) ** 2
        cost += self._estimate_failure_cost(now, route.is_repeatable, target, avoided)
        if self.avoidance.is_full(now, target.identity):
            cost += FULL_COST
        return cost + self.random.uniform(0.0, 0.005)

    def _estimate_failure_cost(
        self, now: float, is_repeatable: bool, target: TargetEntry, avoided: frozenset[str]
    ) -> float:
        """Return the expected cost of a failure at a target."""
        standing = self.avoidance.get_standing(now, target.identity)
        if standing == Standing.TRUSTED:
            return 0.0
        is_busy = bool(self._outstanding.get(target.identity))
        is_new_trial = standing == Standing.ON_TRIAL and not is_busy
        is_exempt = standing == Standing.AVOIDED and target.identity not in avoided
        if is_new_trial or is_exempt:
            return TRIAL_COST if is_repeatable else ORDER_TRIAL_COST
        probability = max(
            MINIMUM_AVOIDED_FAILURE_PROBABILITY,
            self.avoidance.get_failure_probability(now, target.identity),
        )
        return probability * (AVOIDED_COST if is_repeatable else ORDER_AVOIDED_COST)

    def _estimate_wait(self, now: float, profile: ServiceProfile, target: TargetEntry) -> float:
        """Return how many seconds a request is expected to wait for a slot."""
        is_warming = self.targets.is_warming(now, target.identity)
        slots = max(1.0, target.slots * (WARMING_SLOT_FACTOR if is_warming else 1.0))
        queued = self.count_outstanding(target.identity) + 1 - slots
        wait = max(0.0, queued) * profile.work_seconds / slots
        # Partly occupied targets are slightly more likely to queue the next request.
        return wait + 0.1 * profile.work_seconds * self.count_outstanding(target.identity) / slots

    def _has_room(
        self, now: float, request: ForwardRequest, profile: ServiceProfile, target: TargetEntry
    ) -> bool:
        """Return whether a target has queue room and will probably respond by the deadline."""
        if self.count_outstanding(target.identity) >= target.slots * (1 + MAXIMUM_QUEUE_PER_SLOT):
            return False
        wait = self._estimate_wait(now, profile, target)
        return now + wait + 0.5 * profile.work_seconds <= request.deadline

    def list_costs(
        self, now: float, request: ForwardRequest, profile: ServiceProfile
    ) -> dict[str, dict[str, float]]:
        """Return the parts of each usable target's expected cost, to explain a choice."""
        usable = self.targets.list_usable(request.service)
        unpaused = tuple(item for item in usable if not self.pauses.is_paused(now, item.identity))
        is_repeatable = request.route.is_repeatable
        avoided = self._list_avoided(now, unpaused, is_repeatable)
        costs = {}
        for item in usable:
            total = self._estimate_cost(now, request, profile, item, avoided)
            failure = self._estimate_failure_cost(now, is_repeatable, item, avoided)
            full = FULL_COST if self.avoidance.is_full(now, item.identity) else 0.0
            rest = total - failure - full
            costs[item.identity] = {"latency_and_bytes": rest, "failure": failure, "full": full}
        return costs

    def has_room(
        self, now: float, request: ForwardRequest, profile: ServiceProfile, target: TargetEntry
    ) -> bool:
        """Return whether a request may be sent to a target at its present load."""
        return self._has_room(now, request, profile, target)
