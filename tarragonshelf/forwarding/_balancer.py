"""Choice of a target by expected cost."""

from dataclasses import dataclass
from math import ceil
from random import Random

from ..avoidance import GrayFailureDetector, Standing
from ..registry import TargetEntry, TargetRegistry
from ._floor import Floor
from ._messages import ForwardRequest, RefusalReason
from ._profile import LatencyThresholds, ServiceProfile

# Cost of a thousand bytes to another data centre or region, in answers that are worth full
# credit. Links between data centres are what these fleets pay most for.
DATA_CENTRE_COST = 0.06
REGION_COST = 0.11
# Two-way travel in seconds, as the platform states it for its links.
DATA_CENTRE_SECONDS = 0.003
REGION_SECONDS = 0.04
# Weight of the expected latency, as a share of the objective and squared: far below the
# objective it hardly matters, near it the answer is about to lose its credit.
LATENCY_COST = 0.6
# A trial may cost the request if it cannot be repeated.
TRIAL_COST = 0.02
ORDER_TRIAL_COST = 0.15
# An avoided target fails most of what it gets; one that cannot be repeated is lost then.
AVOIDED_COST = 1.0
ORDER_AVOIDED_COST = 2.0
# What is held back for another reason, such as a trial of another entry, counts so much.
LEAST_AVOIDED_CHANCE = 0.5
# A target that is full just now would refuse.
FULL_COST = 0.5
# Requests that wait for each slot before no more are sent: targets queue four for a slot, and
# begin to reset connections while their queue is long.
QUEUE_PER_SLOT = 2
# At most this share of a service's targets is avoided. Where more seem to fail, load or the way
# there is the likelier cause, and leaving out more would overload the rest. Requests that cannot
# be repeated leave out more on strong evidence while the rest has a free slot: each failure there
# is a loss.
MOST_AVOIDED_SHARE = 0.4
# Slots of one target that is still warming up count so much.
WARM_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class Topology:
    """Where this entry is and which region each data centre belongs to."""

    data_centre: str
    regions: dict[str, str]

    def get_distance(self, data_centre: str) -> int:
        """Return 0 for the own data centre, 1 for the own region, 2 for all else."""
        if data_centre == self.data_centre:
            return 0
        region = self.regions.get(data_centre)
        return 1 if region and region == self.regions.get(self.data_centre) else 2


class Balancer:
    """Chooses targets and counts what each holds.

    Parameters
    ----------
    places : Places
        Where the entry is.
    targets : TargetBook
        Targets that announced themselves.
    avoidance : AvoidanceBook
        Who is avoided.
    random : Random
        Breaks ties.
    floor_share : float, optional
        Share of the targets not proved to fail that must get work, from 0 to 1.
    """

    def __init__(
        self,
        *,
        topology: Topology,
        targets: TargetRegistry,
        avoidance: GrayFailureDetector,
        random: Random,
        floor_share: float = 0.0,
    ):
        self.floor = Floor(share=floor_share, avoidance=avoidance, random=random)
        self.topology = topology
        self.targets = targets
        self.avoidance = avoidance
        self.random = random
        self._outstanding: dict[str, int] = {}
        self._elsewhere: dict[str, int] = {}

    def acquire(self, target: str) -> None:
        """Count a request that a target holds."""
        self._outstanding[target] = self._outstanding.get(target, 0) + 1

    def release(self, target: str) -> None:
        """Count a request less."""
        left = self._outstanding.get(target, 0) - 1
        if left > 0:
            self._outstanding[target] = left
        else:
            self._outstanding.pop(target, None)

    def list_outstanding(self) -> dict[str, int]:
        """Return how many requests of this entry each target holds."""
        return dict(self._outstanding)

    def update_peer_load(self, counts: dict[str, int], *, is_whole: bool) -> None:
        """Take in how many requests of other entries targets hold, all or those that changed."""
        if is_whole:
            self._elsewhere = {}
        for target, count in counts.items():
            if count:
                self._elsewhere[target] = count
            else:
                self._elsewhere.pop(target, None)

    def count_outstanding(self, target: str) -> int:
        """Return how many requests a target is known to hold."""
        return self._outstanding.get(target, 0) + self._elsewhere.get(target, 0)

    def choose(
        self,
        now: float,
        request: ForwardRequest,
        profile: ServiceProfile,
        tried: frozenset[str],
    ) -> TargetEntry | RefusalReason:
        """Return the target of the least expected cost, or why there is none."""
        usable = self.targets.list_usable(request.service)
        candidates = [item for item in usable if item.identity not in tried]
        if not candidates:
            return RefusalReason.NO_TARGET
        free = [item for item in candidates if self._has_room(now, request, profile, item)]
        if not free:
            return RefusalReason.ALL_FULL
        due = self.floor.pick_due(now, request, usable, free)
        if due is not None:
            return due
        avoided = self._list_avoided(now, usable, request.route.is_repeatable)
        return min(
            free, key=lambda item: self._estimate_cost(now, request, profile, item, avoided)
        )

    def is_overloaded(self, target: TargetEntry) -> bool:
        """Tell whether a target holds so much that it may turn away what comes."""
        return self.count_outstanding(target.identity) >= target.slots * (1 + QUEUE_PER_SLOT) - 1

    def estimate_latency_thresholds(
        self, now: float, usual: LatencyThresholds, profile: ServiceProfile, target: TargetEntry
    ) -> LatencyThresholds:
        """Return how long a sound target that holds as much seldom takes to answer."""
        factor = 1 / WARM_FACTOR if self.targets.is_warming(now, target.identity) else 1.0
        wait = self._estimate_wait(now, profile, target)
        return LatencyThresholds(factor * usual.slow + wait, factor * usual.hung + wait)

    def _list_avoided(
        self, now: float, usable: tuple[TargetEntry, ...], is_repeatable: bool
    ) -> frozenset[str]:
        """Return the targets that are left out: those with the most against them."""
        avoided = [
            item
            for item in usable
            if self.avoidance.get_standing(now, item.identity) == Standing.AVOIDED
        ]
        most = ceil(MOST_AVOIDED_SHARE * len(usable))
        if len(avoided) > most:
            avoided.sort(
                key=lambda item: self.avoidance.get_chance(now, item.identity), reverse=True
            )
            if is_repeatable:
                del avoided[most:]
            free = self._count_free(usable, avoided)
            while len(avoided) > most and (
                free < 1 or not self.avoidance.is_certain(now, avoided[-1].identity)
            ):
                excused = avoided.pop()
                free += excused.slots - self.count_outstanding(excused.identity)
        return frozenset(item.identity for item in avoided)

    def _count_free(self, usable: tuple[TargetEntry, ...], besides: list[TargetEntry]) -> int:
        """Return how many slots are free at the targets that are not left out."""
        names = {item.identity for item in besides}
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
        cost = (0.0, DATA_CENTRE_COST, REGION_COST)[distance] * kilobytes
        travel = (0.0, DATA_CENTRE_SECONDS, REGION_SECONDS)[distance]
        latency = self._estimate_wait(now, profile, target) + profile.work_seconds + travel
        spent = now - request.arrived_at
        cost += LATENCY_COST * ((spent + latency) / max(0.05, route.objective)) ** 2
        cost += self._estimate_risk(now, route.is_repeatable, target, avoided)
        if self.avoidance.is_full(now, target.identity):
            cost += FULL_COST
        return cost + self.random.uniform(0.0, 0.005)

    def _estimate_risk(
        self, now: float, is_repeatable: bool, target: TargetEntry, avoided: frozenset[str]
    ) -> float:
        """Return what the chance of a failure is expected to cost."""
        standing = self.avoidance.get_standing(now, target.identity)
        if standing == Standing.TRUSTED:
            return 0.0
        is_held = bool(self._outstanding.get(target.identity))
        is_tried = standing == Standing.ON_TRIAL and not is_held
        is_excused = standing == Standing.AVOIDED and target.identity not in avoided
        if is_tried or is_excused:
            return TRIAL_COST if is_repeatable else ORDER_TRIAL_COST
        chance = max(LEAST_AVOIDED_CHANCE, self.avoidance.get_chance(now, target.identity))
        return chance * (AVOIDED_COST if is_repeatable else ORDER_AVOIDED_COST)

    def _estimate_wait(self, now: float, profile: ServiceProfile, target: TargetEntry) -> float:
        """Return how many seconds a request would wait for a slot."""
        is_warming = self.targets.is_warming(now, target.identity)
        slots = max(1.0, target.slots * (WARM_FACTOR if is_warming else 1.0))
        ahead = self.count_outstanding(target.identity) + 1 - slots
        wait = max(0.0, ahead) * profile.work_seconds / slots
        # A target that holds something is a little likelier to make the next one wait.
        return wait + 0.1 * profile.work_seconds * self.count_outstanding(target.identity) / slots

    def _has_room(
        self, now: float, request: ForwardRequest, profile: ServiceProfile, target: TargetEntry
    ) -> bool:
        """Tell whether a target would take a request and likely answer by the deadline."""
        if self.count_outstanding(target.identity) >= target.slots * (1 + QUEUE_PER_SLOT):
            return False
        wait = self._estimate_wait(now, profile, target)
        return now + wait + 0.5 * profile.work_seconds <= request.deadline
