"""Starved targets: those that work get some of it, whatever was believed of them before.

The pattern: a part of a service fails, entries leave it out on evidence that grows old, and
targets that recovered meanwhile stay without work while callers are refused.
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
from .fakes import create_route, create_target

FLOOR_SHARE = 0.7
# The floor is promised while more than this share of the requests is lost, and less than half.
LEAST_LOST_SHARE = 0.1
MOST_LOST_SHARE = 0.5
# Any span of this length counts, and a target that failed is taken to work again after as long.
WINDOW_SECONDS = 2.0
PLACES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1"}
ENTRIES = 4
REQUESTS_PER_SECOND = 50
WORK_SECONDS = 0.4
SLOTS = 6
NEWS_SECONDS = 0.05
# Share of the requests that is lost for another reason than the target.
OTHER_LOST_SHARE = 0.2
PLAY_SECONDS = 7.0


@dataclass
class Fleet:
    """Entries that share evidence, and targets some of which fail for a while.

    ``failing_until`` names when each target works again; it has failed just before the start.
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
        topology = sorted(PLACES)
        for index, name in enumerate(self.failing_until):
            data_centre = topology[index % len(topology)]
            target = create_target(name, data_centre=data_centre, slots=SLOTS)
            self.targets.merge(0.0, target)
            self.served[name] = []
        self.books = [GrayFailureDetector() for _ in range(ENTRIES)]
        self.balancers = [
            Balancer(
                topology=Topology(topology[index % len(topology)], PLACES),
                targets=self.targets,
                avoidance=book,
                random=Random(self.seed - index),
                floor_share=self.floor_share,
            )
            for index, book in enumerate(self.books)
        ]
        for balancer in self.balancers:
            balancer.floor.failures.entries = ENTRIES
        self.news: list[tuple[float, EvidenceItem]] = []
        self.ends: list[tuple[float, int, str, bool, bool]] = []
        self.profile = ServiceProfile()

    def play(self):
        for name, until in self.failing_until.items():
            if until > 0:
                for kind in (self.kind, self.kind):
                    self.tell(0.0, EvidenceItem(name, kind))
        for number in range(int(PLAY_SECONDS * REQUESTS_PER_SECOND)):
            now = number / REQUESTS_PER_SECOND
            self.settle(now)
            self.send(now, self.random.randrange(ENTRIES))

    def tell(self, now: float, item: EvidenceItem):
        self.news.append((now + NEWS_SECONDS, item))

    def settle(self, now: float):
        """Let attempts end and news arrive."""
        for end in [item for item in self.ends if item[0] <= now]:
            self.ends.remove(end)
            _, entry, name, is_good, is_trial = end
            self.balancers[entry].release(name)
            if not is_good:
                self.tell(now, EvidenceItem(name, self.kind))
            elif is_trial:
                self.tell(now, EvidenceItem(name, EvidenceKind.PASSED))
        for at, item in [item for item in self.news if item[0] <= now]:
            self.news.remove((at, item))
            for book in self.books:
                book.record(now, item)

    def send(self, now: float, entry: int):
        route = create_route(is_repeatable=self.is_repeatable)
        request = ForwardRequest("q", route, "s", now, now + 4)
        self.balancers[entry].floor.failures.record_request(now, "s")
        target = self.balancers[entry].choose(now, request, self.profile, frozenset())
        name = target.identity
        book = self.books[entry]
        is_trial = book.get_standing(now, name) != Standing.TRUSTED
        if is_trial and not book.is_on_trial(now, name):
            self.tell(now, EvidenceItem(name, EvidenceKind.TRIAL))
        self.balancers[entry].acquire(name)
        is_good = now >= self.failing_until[name]
        if not is_good or self.random.random() < OTHER_LOST_SHARE:
            self.lost.append(now)
            for balancer in self.balancers:
                balancer.floor.failures.record_failure(now, "s")
        self.ends.append((now + WORK_SECONDS, entry, name, is_good, is_trial))
        self.served[name].append(now)

    def find_starved_window(self) -> str:
        """Return the first span in which too few of the sound targets got requests."""
        for step in range(int((PLAY_SECONDS - WINDOW_SECONDS) * 10)):
            begin = step / 10
            if not LEAST_LOST_SHARE < self.measure_lost(begin) < MOST_LOST_SHARE:
                continue
            sound = [
                name
                for name, until in self.failing_until.items()
                if begin >= (until + WINDOW_SECONDS if until else 0.0)
            ]
            used = [name for name in sound if self.has_work(name, begin)]
            if len(used) < ceil(FLOOR_SHARE * len(sound)):
                return f"{len(used)} of {len(sound)} sound targets used from {begin} s on"
        return ""

    def measure_lost(self, begin: float) -> float:
        """Return which share of the requests of a span is lost."""
        lost = bisect_left(self.lost, begin + WINDOW_SECONDS) - bisect_left(self.lost, begin)
        return lost / (WINDOW_SECONDS * REQUESTS_PER_SECOND)

    def has_work(self, name: str, begin: float) -> bool:
        """Tell whether a target got a request in the span that begins then."""
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
    def test_enough_of_the_sound_targets_get_work_in_any_window(
        self, times, seed, is_repeatable, kind
    ):
        fleet = create_fleet(
            times, seed=seed, kind=EvidenceKind(kind), is_repeatable=is_repeatable
        )
        fleet.play()
        assert fleet.find_starved_window() == ""

    def test_without_the_floor_recovered_targets_starve(self):
        fleet = create_fleet([0.0] * 5 + [0.5] * 6, floor_share=0.0)
        fleet.play()
        assert fleet.find_starved_window()

    def test_targets_that_go_on_failing_cost_few_orders(self):
        fleet = create_fleet([0.0] * 8 + [100.0] * 7)
        fleet.play()
        others = OTHER_LOST_SHARE * PLAY_SECONDS * REQUESTS_PER_SECOND
        assert len(fleet.lost) < 1.5 * others
