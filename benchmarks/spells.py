"""Gray targets that fail in spells: what the choice of targets loses, offline.

One service before entries that share evidence, with the real books and the real balancer. Each
target fails most of what it gets during spells, by silence, resets or errors. Prints one JSON
object with the share of lost requests, of requests at targets in a spell, of sound targets that
are not trusted, and of requests that leave their region.

    python -m benchmarks.spells --how hang --seconds 60 --seeds 4
"""

import argparse
import heapq
import json
from dataclasses import dataclass
from itertools import count
from math import exp, log
from random import Random
from statistics import mean

from tarragonshelf.avoidance import EvidenceItem, EvidenceKind, GrayFailureDetector, Standing
from tarragonshelf.catalogue import Route, WeightedService
from tarragonshelf.forwarding import (
    Balancer,
    ForwardRequest,
    LatencyThresholds,
    ResponseTimeModel,
    ServiceProfile,
    SlowAttemptOutcomes,
    Topology,
)
from tarragonshelf.forwarding._attempts import OpenAttempt
from tarragonshelf.registry import TargetEntry, TargetRegistry, TargetState

PLACES = {f"z{index}": f"r{index // 2}" for index in range(6)}
KINDS = {
    "hang": EvidenceKind.HUNG,
    "reset": EvidenceKind.BROKEN,
    "errors": EvidenceKind.ERROR,
}
NEWS_SECONDS = 0.06
ERROR_SHARE = 0.012
TAIL_SHARE, TAIL_FACTOR = 0.01, 5.0
SAMPLE_SECONDS = 0.5
WARM_SECONDS = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Pattern:
    """One service and its spells; times in seconds, rate in requests a second."""

    how: str = "hang"
    targets: int = 15
    slots: int = 6
    entries: int = 36
    rate: float = 60.0
    work: float = 0.46
    spread: float = 0.3
    objective: float = 2.5
    deadline: float = 6.0
    bad_seconds: float = 9.0
    bad_share: float = 0.3
    fails: float = 0.75
    floor_share: float = 0.7
    seconds: float = 60.0


class Play:
    """Plays one pattern with one seed."""

    def __init__(self, pattern: Pattern, seed: int):
        self.pattern = pattern
        self.random = Random(seed)
        self.targets = TargetRegistry()
        self.profile = ServiceProfile()
        self.times = ResponseTimeModel(pattern.objective)
        self.slow_ends = [SlowAttemptOutcomes() for _ in range(pattern.entries)]
        self.books = [GrayFailureDetector() for _ in range(pattern.entries)]
        self.is_bad: dict[str, bool] = {}
        self.counts = dict.fromkeys(("sent", "lost", "bad", "far", "sound", "doubted"), 0)
        self._events: list[tuple] = []
        self._numbers = count()
        zones = sorted(PLACES)
        for index in range(pattern.targets):
            name = f"t{index}"
            self.is_bad[name] = False
            entry = TargetEntry(
                name, 1, 1, TargetState.READY, f"{name}:1", "s", zones[index % 6], pattern.slots
            )
            self.targets.merge(0.0, entry)
        self.balancers = [
            Balancer(
                topology=Topology(zones[index % 6], PLACES),
                targets=self.targets,
                avoidance=book,
                random=Random(seed * 1000 + index),
                floor_share=pattern.floor_share,
            )
            for index, book in enumerate(self.books)
        ]
        for balancer in self.balancers:
            balancer.floor.failures.entries = pattern.entries
        shares = (WeightedService("s", 1.0),)
        self.route = Route("r", "h", "/", False, pattern.deadline, pattern.objective, 1, 2, shares)

    def run(self) -> dict[str, float]:
        """Return the shares that the page quotes."""
        for name in self.is_bad:
            self._turn(0.0, name)
        self._at(0.0, self._arrive)
        self._at(WARM_SECONDS, self._sample)
        while self._events:
            now, _, act, arguments = heapq.heappop(self._events)
            if now > self.pattern.seconds:
                break
            act(now, *arguments)
        counts = self.counts
        sent = max(1, counts["sent"])
        return {
            "lost": counts["lost"] / sent,
            "at_bad": counts["bad"] / sent,
            "far": counts["far"] / sent,
            "sound_not_trusted": counts["doubted"] / max(1, counts["sound"]),
        }

    def _at(self, at: float, act, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act, arguments))

    def _turn(self, now: float, name: str) -> None:
        """Begin or end a spell, and plan the next turn."""
        pattern = self.pattern
        if now == 0.0:
            self.is_bad[name] = self.random.random() < pattern.bad_share
        else:
            self.is_bad[name] = not self.is_bad[name]
        good_seconds = pattern.bad_seconds * (1 - pattern.bad_share) / pattern.bad_share
        usual = pattern.bad_seconds if self.is_bad[name] else good_seconds
        self._at(now + usual * self.random.uniform(0.5, 1.5), self._turn, name)

    def _arrive(self, now: float) -> None:
        self._at(now + self.random.expovariate(self.pattern.rate), self._arrive)
        index = self.random.randrange(self.pattern.entries)
        balancer, book = self.balancers[index], self.books[index]
        self._count(now, "sent")
        balancer.floor.failures.record_request(now, "s")
        request = ForwardRequest("q", self.route, "s", now, now + self.pattern.deadline)
        target = balancer.choose(now, request, self.profile, frozenset())
        if not isinstance(target, TargetEntry):
            self._count(now, "lost")
            return
        name = target.identity
        is_trial = book.get_standing(now, name) != Standing.TRUSTED
        if is_trial and not book.is_on_trial(now, name):
            self._tell(now, index, EvidenceItem(name, EvidenceKind.TRIAL))
        if self.is_bad[name]:
            self._count(now, "bad")
        if balancer.topology.get_distance(target.data_centre) == 2:
            self._count(now, "far")
        self._send(now, index, name, is_trial)

    def _send(self, now: float, index: int, name: str, is_trial: bool) -> None:
        self.balancers[index].acquire(name)
        pattern = self.pattern
        patience = self.balancers[index].estimate_latency_thresholds(
            now, self.times.thresholds, self.profile, self.targets.get(name)
        )
        is_predictive = self.slow_ends[index].is_predictive
        is_failing = self.is_bad[name] and self.random.random() < pattern.fails
        if is_failing and pattern.how == "hang":
            self._wait(now, index, name, patience, pattern.deadline)
            self._at(now + pattern.deadline, self._end, index, name)
            self._at(now + pattern.deadline, self._record_slow_outcome, index, False)
            self._count(now, "lost")
            return
        work = pattern.work * exp(self.random.gauss(-(pattern.spread**2) / 2, pattern.spread))
        if self.random.random() < TAIL_SHARE:
            work *= TAIL_FACTOR
        is_lost = is_failing or self.random.random() < ERROR_SHARE
        took = 0.01 if is_failing and pattern.how == "reset" else work
        ends_at = now + took
        self._wait(now, index, name, patience, took)
        self._at(ends_at, self._end, index, name)
        if is_lost:
            self._count(now, "lost")
            kind = KINDS[pattern.how] if is_failing else EvidenceKind.ERROR
            self._at(ends_at, self._tell, index, EvidenceItem(name, kind))
            return
        self.profile.record(work, 1500)
        self.times.record(work)
        attempt = OpenAttempt(self.targets.get(name), now, patience, is_trial)
        attempt.is_slow = took > patience.slow
        attempt.is_slow_reported = attempt.is_slow and is_predictive
        attempt.is_hung = took > patience.hung
        for kind in attempt.list_success_evidence():
            self._at(ends_at, self._praise, index, EvidenceItem(name, kind))
        if attempt.is_slow:
            self._at(ends_at, self._record_slow_outcome, index, True)

    def _praise(self, now: float, index: int, item: EvidenceItem) -> None:
        """Tell what an answer says of a target, unless it is trusted anyway."""
        if self.books[index].get_standing(now, item.target) != Standing.TRUSTED:
            self._tell(now, index, item)

    def _record_slow_outcome(self, now: float, index: int, is_answered: bool) -> None:
        self.slow_ends[index].record(is_answered=is_answered)

    def _wait(
        self, now: float, index: int, name: str, patience: LatencyThresholds, seconds: float
    ) -> None:
        """Plan what waiting for an answer tells."""
        if seconds > patience.slow:
            item = EvidenceItem(name, EvidenceKind.SLOW)
            self._at(now + patience.slow, self._tell, index, item)
        if seconds > patience.hung:
            item = EvidenceItem(name, EvidenceKind.HUNG)
            self._at(now + patience.hung, self._tell, index, item)

    def _end(self, now: float, index: int, name: str) -> None:
        self.balancers[index].release(name)

    def _tell(self, now: float, index: int, item: EvidenceItem) -> None:
        self.books[index].record(now, item)
        self._meter(now, index, item)
        self._at(now + NEWS_SECONDS, self._spread, index, item)

    def _spread(self, now: float, index: int, item: EvidenceItem) -> None:
        for number, book in enumerate(self.books):
            if number != index:
                book.record(now, item, f"e{index}")
                self._meter(now, number, item)

    def _meter(self, now: float, index: int, item: EvidenceItem) -> None:
        if item.kind in KINDS.values():
            self.balancers[index].floor.failures.record_failure(now, "s")

    def _sample(self, now: float) -> None:
        self._at(now + SAMPLE_SECONDS, self._sample)
        for name, is_bad in self.is_bad.items():
            if not is_bad:
                self.counts["sound"] += 1
                is_trusted = self.books[0].get_standing(now, name) == Standing.TRUSTED
                self.counts["doubted"] += not is_trusted

    def _count(self, now: float, *names: str) -> None:
        if now >= WARM_SECONDS:
            for name in names:
                self.counts[name] += 1


def play(pattern: Pattern, seeds: int) -> dict[str, float]:
    """Return the mean of each share over some seeds, and lost requests in nines."""
    runs = [Play(pattern, seed).run() for seed in range(seeds)]
    found = {name: round(mean(run[name] for run in runs), 4) for name in runs[0]}
    return {**found, "nines": round(-log(max(found["lost"], 1e-6)) / log(10), 3)}


def main() -> None:
    """Print the result of one pattern."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--how", choices=sorted(KINDS), default="hang")
    parser.add_argument("--seeds", type=int, default=4)
    for name in ("seconds", "rate", "work", "spread", "bad_seconds", "bad_share", "fails"):
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=float, default=getattr(Pattern(), name))
    fields = vars(parser.parse_args())
    seeds = fields.pop("seeds")
    print(json.dumps(play(Pattern(**fields), seeds)))


if __name__ == "__main__":
    main()
