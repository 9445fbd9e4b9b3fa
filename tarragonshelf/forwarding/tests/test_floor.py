"""Starvation of recovered targets while part of a service fails.

Entries avoid failing targets on evidence that becomes outdated. Without trial requests, targets
that have recovered meanwhile stay idle while callers are refused.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from math import ceil
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ...avoidance import EvidenceItem, EvidenceKind, GrayFailureDetector, Standing
from ...forwarding import Balancer, ForwardRequest, ServiceProfile, Topology
from ...registry import TargetRegistry
from ...throttling import DeclaredLimits
from .._floor import TrafficFloor
from .fakes import create_route, create_target

FLOOR_SHARE = 0.7
# The floor is guaranteed while the share of lost requests is between these bounds.
MINIMUM_LOST_SHARE = 0.1
MAXIMUM_LOST_SHARE = 0.5
# Every window of this length is checked. A target counts as working this long after it recovered.
WINDOW_SECONDS = 2.0
REGIONS = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1"}
ENTRIES = 4
REQUESTS_PER_SECOND = 50
WORK_SECONDS = 0.4
SLOTS = 6
PROPAGATION_SECONDS = 0.05
# Share of the requests that is lost for reasons unrelated to the target.
OTHER_LOST_SHARE = 0.2
SIMULATION_SECONDS = 7.0


@dataclass
class Fleet:
    """Entries that share evidence, and targets some of which fail for a while.

    ``failing_until`` is when each target recovers, in seconds; those above 0 fail from before the
    start of the simulation.
    """

    failing_until: dict[str, float]
    floor_share: float
    seed: int
    kind: EvidenceKind
    is_repeatable: bool
    served: dict[str, list[float]] = field(default_factory=dict)
    lost: list[float] = field(default_factory=list)

    def __post_init__(self):
        self.random = Random(self.seed)
        self.targets = TargetRegistry()
        data_centres = sorted(REGIONS)
        for index, name in enumerate(self.failing_until):
            data_centre = data_centres[index % len(data_centres)]
            target = create_target(name, data_centre=data_centre, slots=SLOTS)
            self.targets.merge(0.0, target)
            self.served[name] = []
        self.detectors = [GrayFailureDetector() for _ in range(ENTRIES)]
        self.balancers = [
            Balancer(
                topology=Topology(data_centres[index % len(data_centres)], REGIONS),
                targets=self.targets,
                avoidance=detector,
                limits=DeclaredLimits(),
                random=Random(self.seed - index),
                floor_share=self.floor_share,
            )
            for index, detector in enumerate(self.detectors)
        ]
        for balancer in self.balancers:
            balancer.floor.failures.entries = ENTRIES
        self.in_transit: list[tuple[float, EvidenceItem]] = []
        self.ends: list[tuple[float, int, str, bool, bool]] = []
        self.profile = ServiceProfile()

    def simulate(self):
        for name, until in self.failing_until.items():
            if until > 0:
                for kind in (self.kind, self.kind):
                    self.report(0.0, EvidenceItem(name, kind))
        for number in range(int(SIMULATION_SECONDS * REQUESTS_PER_SECOND)):
            now = number / REQUESTS_PER_SECOND
            self.deliver(now)
            self.send(now, self.random.randrange(ENTRIES))

    def report(self, now: float, item: EvidenceItem):
        self.in_transit.append((now + PROPAGATION_SECONDS, item))

    def deliver(self, now: float):
        """End attempts and deliver evidence that are due."""
        for end in [item for item in self.ends if item[0] <= now]:
            self.ends.remove(end)
            _, entry, name, is_good, is_trial = end
            self.balancers[entry].release(name)
            if not is_good:
                self.report(now, EvidenceItem(name, self.kind))
            elif is_trial:
                self.report(now, EvidenceItem(name, EvidenceKind.PASSED))
        for at, item in [item for item in self.in_transit if item[0] <= now]:
            self.in_transit.remove((at, item))
            for detector in self.detectors:
                detector.record(now, item)

    def send(self, now: float, entry: int):
        route = create_route(is_repeatable=self.is_repeatable)
        request = ForwardRequest("q", route, "s", now, now + 4)
        self.balancers[entry].floor.failures.record_request(now, "s")
        target = self.balancers[entry].choose(now, request, self.profile, frozenset())
        name = target.identity
        detector = self.detectors[entry]
        is_trial = detector.get_standing(now, name) != Standing.TRUSTED
        if is_trial and not detector.is_on_trial(now, name):
            self.report(now, EvidenceItem(name, EvidenceKind.TRIAL))
        self.balancers[entry].acquire(name)
        is_good = now >= self.failing_until[name]
        if not is_good or self.random.random() < OTHER_LOST_SHARE:
            self.lost.append(now)
            for balancer in self.balancers:
                balancer.floor.failures.record_failure(now, "s")
        self.ends.append((now + WORK_SECONDS, entry, name, is_good, is_trial))
        self.served[name].append(now)

    def find_starved_window(self) -> str:
        """Return the first window in which too few of the working targets received requests."""
        for step in range(int((SIMULATION_SECONDS - WINDOW_SECONDS) * 10)):
            begin = step / 10
            if not MINIMUM_LOST_SHARE < self.measure_lost_share(begin) < MAXIMUM_LOST_SHARE:
                continue
            working = [
                name
                for name, until in self.failing_until.items()
                if begin >= (until + WINDOW_SECONDS if until else 0.0)
            ]
            used = [name for name in working if self.has_requests(name, begin)]
            if len(used) < ceil(FLOOR_SHARE * len(working)):
                return f"{len(used)} of {len(working)} working targets used from {begin} s on"
        return ""

    def measure_lost_share(self, begin: float) -> float:
        """Return the share of lost requests in the window that begins at ``begin``."""
        lost = bisect_left(self.lost, begin + WINDOW_SECONDS) - bisect_left(self.lost, begin)
        return lost / (WINDOW_SECONDS * REQUESTS_PER_SECOND)

    def has_requests(self, name: str, begin: float) -> bool:
        """Return whether a target received a request in the window that begins at ``begin``."""
        times = self.served[name]
        first = bisect_left(times, begin)
        return first < len(times) and times[first] < begin + WINDOW_SECONDS


FAILING = st.lists(
    st.sampled_from([0.0, 0.0, 0.5, 1.5, 3.0, 100.0]), min_size=6, max_size=16
).filter(lambda times: times.count(0.0) >= 3)


def create_fleet(times, *, floor_share=FLOOR_SHARE, seed=1, kind=EvidenceKind.BROKEN, **fields):
    failing = {f"t{index}": until for index, until in enumerate(times)}
    fields.setdefault("is_repeatable", False)
    return Fleet(failing, floor_share, seed, kind, **fields)


class TestFloor:
    @settings(max_examples=60)
    @given(FAILING, st.integers(0, 99), st.booleans(), st.sampled_from(["b", "h", "e"]))
    def test_enough_working_targets_receive_requests_in_any_window(
        self, times, seed, is_repeatable, kind
    ):
        fleet = create_fleet(
            times, seed=seed, kind=EvidenceKind(kind), is_repeatable=is_repeatable
        )
        fleet.simulate()
        assert fleet.find_starved_window() == ""

    def test_recovered_targets_starve_without_the_floor(self):
        fleet = create_fleet([0.0] * 5 + [0.5] * 6, floor_share=0.0)
        fleet.simulate()
        assert fleet.find_starved_window()

    def test_trials_of_targets_that_keep_failing_cost_few_orders(self):
        fleet = create_fleet([0.0] * 8 + [100.0] * 7)
        fleet.simulate()
        others = OTHER_LOST_SHARE * SIMULATION_SECONDS * REQUESTS_PER_SECOND
        assert len(fleet.lost) < 1.5 * others


class TestPausedTargets:
    """Paused targets cannot be tried, so the floor needs more of the others."""

    def list_trials(self, paused: str) -> set[str]:
        targets = tuple(create_target(name) for name in "abcdefghij")
        avoidance = GrayFailureDetector()
        for target in targets[4:]:
            avoidance.record(0.0, EvidenceItem(target.identity, EvidenceKind.BROKEN))
        floor = TrafficFloor(share=FLOOR_SHARE, avoidance=avoidance, random=Random(1))
        trials = floor._list_trial_candidates(5.0, targets, frozenset(paused))
        return {item.identity for item in trials}

    def test_paused_target_is_no_candidate_and_is_replaced_by_another(self):
        # Of ten targets four are trusted, so three of the six others are needed.
        assert len(self.list_trials("")) == 3
        # A paused target takes the place of one that may stay idle.
        trials = self.list_trials("j")
        assert len(trials) == 3
        assert "j" not in trials
        assert len(self.list_trials("a")) == 4
        assert len(self.list_trials("ij")) == 3

    def test_all_others_are_candidates_if_too_many_are_paused(self):
        assert self.list_trials("abcde") == set("fghij")
        assert self.list_trials("abcdefghij") == set()
