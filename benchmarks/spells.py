"""Simulates targets with intermittent gray failures, and measures the requests that are lost.

Entries that share evidence balance requests over the targets of one service, with the production
gray failure detector and balancer. Each target alternates between good periods and spells (in the
rest of the code: failure episodes), in which it fails most of its requests by not answering, by
resets or by errors. Prints one JSON object with the share of lost requests, of requests sent to
targets in a spell, of healthy targets that are not trusted, and of requests that leave their
region.

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
from tarragonshelf.throttling import DeclaredLimits

REGIONS_BY_DATA_CENTRE = {f"z{index}": f"r{index // 2}" for index in range(6)}
EVIDENCE_KINDS = {
    "hang": EvidenceKind.HUNG,
    "reset": EvidenceKind.BROKEN,
    "errors": EvidenceKind.ERROR,
}
EVIDENCE_DELAY_SECONDS = 0.06
ERROR_SHARE = 0.012
TAIL_SHARE, TAIL_FACTOR = 0.01, 5.0
SAMPLE_INTERVAL_SECONDS = 0.5
WARM_UP_SECONDS = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Pattern:
    """Parameters of the service and of its spells; times in seconds, rate in requests per second.

    ``how`` is the way in which requests fail, ``fails`` the share of them that fail during a
    spell, ``bad_seconds`` the mean duration of spells and ``bad_share`` the share of time in
    them. ``work`` is the mean response time, ``spread`` the sigma of its lognormal distribution.
    """

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


class Simulation:
    """Event-driven simulation of one pattern with one seed."""

    def __init__(self, pattern: Pattern, seed: int):
        self.pattern = pattern
        self.random = Random(seed)
        self.targets = TargetRegistry()
        self.profile = ServiceProfile()
        self.response_times = ResponseTimeModel(pattern.objective)
        self.slow_outcomes = [SlowAttemptOutcomes() for _ in range(pattern.entries)]
        self.detectors = [GrayFailureDetector() for _ in range(pattern.entries)]
        self.is_faulty: dict[str, bool] = {}
        self.counts = dict.fromkeys(("sent", "lost", "bad", "far", "sound", "doubted"), 0)
        self._events: list[tuple] = []
        self._numbers = count()
        data_centres = sorted(REGIONS_BY_DATA_CENTRE)
        for index in range(pattern.targets):
            name = f"t{index}"
            self.is_faulty[name] = False
            entry = TargetEntry(
                name,
                1,
                1,
                TargetState.READY,
                f"{name}:1",
                "s",
                data_centres[index % 6],
                pattern.slots,
            )
            self.targets.merge(0.0, entry)
        self.balancers = [
            Balancer(
                topology=Topology(data_centres[index % 6], REGIONS_BY_DATA_CENTRE),
                targets=self.targets,
                avoidance=detector,
                limits=DeclaredLimits(),
                random=Random(seed * 1000 + index),
                floor_share=pattern.floor_share,
            )
            for index, detector in enumerate(self.detectors)
        ]
        for balancer in self.balancers:
            balancer.floor.failures.entries = pattern.entries
        shares = (WeightedService("s", 1.0),)
        self.route = Route("r", "h", "/", False, pattern.deadline, pattern.objective, 1, 2, shares)

    def run(self) -> dict[str, float]:
        """Run the simulation and return the shares described at the top of the module."""
        for name in self.is_faulty:
            self._toggle_target(0.0, name)
        self._schedule(0.0, self._handle_arrival)
        self._schedule(WARM_UP_SECONDS, self._sample)
        while self._events:
            now, _, callback, arguments = heapq.heappop(self._events)
            if now > self.pattern.seconds:
                break
            callback(now, *arguments)
        counts = self.counts
        sent = max(1, counts["sent"])
        return {
            "lost": counts["lost"] / sent,
            "at_bad": counts["bad"] / sent,
            "far": counts["far"] / sent,
            "sound_not_trusted": counts["doubted"] / max(1, counts["sound"]),
        }

    def _schedule(self, at: float, callback, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), callback, arguments))

    def _toggle_target(self, now: float, name: str) -> None:
        """Begin or end a spell of a target, and schedule the next change."""
        pattern = self.pattern
        if now == 0.0:
            self.is_faulty[name] = self.random.random() < pattern.bad_share
        else:
            self.is_faulty[name] = not self.is_faulty[name]
        good_seconds = pattern.bad_seconds * (1 - pattern.bad_share) / pattern.bad_share
        mean_seconds = pattern.bad_seconds if self.is_faulty[name] else good_seconds
        self._schedule(
            now + mean_seconds * self.random.uniform(0.5, 1.5), self._toggle_target, name
        )

    def _handle_arrival(self, now: float) -> None:
        self._schedule(now + self.random.expovariate(self.pattern.rate), self._handle_arrival)
        index = self.random.randrange(self.pattern.entries)
        balancer, detector = self.balancers[index], self.detectors[index]
        self._increment(now, "sent")
        balancer.floor.failures.record_request(now, "s")
        request = ForwardRequest("q", self.route, "s", now, now + self.pattern.deadline)
        target = balancer.choose(now, request, self.profile, frozenset())
        if not isinstance(target, TargetEntry):
            self._increment(now, "lost")
            return
        name = target.identity
        is_trial = detector.get_standing(now, name) != Standing.TRUSTED
        if is_trial and not detector.is_on_trial(now, name):
            self._record_evidence(now, index, EvidenceItem(name, EvidenceKind.TRIAL))
        if self.is_faulty[name]:
            self._increment(now, "bad")
        if balancer.topology.get_distance(target.data_centre) == 2:
            self._increment(now, "far")
        self._send(now, index, name, is_trial)

    def _send(self, now: float, index: int, name: str, is_trial: bool) -> None:
        self.balancers[index].acquire(name)
        pattern = self.pattern
        thresholds = self.balancers[index].estimate_latency_thresholds(
            now, self.response_times.thresholds, self.profile, self.targets.get(name)
        )
        is_predictive = self.slow_outcomes[index].is_predictive
        is_failing = self.is_faulty[name] and self.random.random() < pattern.fails
        if is_failing and pattern.how == "hang":
            self._schedule_slow_evidence(now, index, name, thresholds, pattern.deadline)
            self._schedule(now + pattern.deadline, self._release, index, name)
            self._schedule(now + pattern.deadline, self._record_slow_outcome, index, False)
            self._increment(now, "lost")
            return
        work = pattern.work * exp(self.random.gauss(-(pattern.spread**2) / 2, pattern.spread))
        if self.random.random() < TAIL_SHARE:
            work *= TAIL_FACTOR
        is_lost = is_failing or self.random.random() < ERROR_SHARE
        response_seconds = 0.01 if is_failing and pattern.how == "reset" else work
        ends_at = now + response_seconds
        self._schedule_slow_evidence(now, index, name, thresholds, response_seconds)
        self._schedule(ends_at, self._release, index, name)
        if is_lost:
            self._increment(now, "lost")
            kind = EVIDENCE_KINDS[pattern.how] if is_failing else EvidenceKind.ERROR
            self._schedule(ends_at, self._record_evidence, index, EvidenceItem(name, kind))
            return
        self.profile.record(work, 1500)
        self.response_times.record(work)
        attempt = OpenAttempt(self.targets.get(name), now, thresholds, is_trial)
        attempt.is_slow = response_seconds > thresholds.slow
        attempt.is_slow_reported = attempt.is_slow and is_predictive
        attempt.is_hung = response_seconds > thresholds.hung
        for kind in attempt.list_success_evidence():
            self._schedule(ends_at, self._record_success, index, EvidenceItem(name, kind))
        if attempt.is_slow:
            self._schedule(ends_at, self._record_slow_outcome, index, True)

    def _record_success(self, now: float, index: int, item: EvidenceItem) -> None:
        """Record evidence of a successful response, unless the target is already trusted."""
        if self.detectors[index].get_standing(now, item.target) != Standing.TRUSTED:
            self._record_evidence(now, index, item)

    def _record_slow_outcome(self, now: float, index: int, is_answered: bool) -> None:
        self.slow_outcomes[index].record(is_answered=is_answered)

    def _schedule_slow_evidence(
        self, now: float, index: int, name: str, thresholds: LatencyThresholds, seconds: float
    ) -> None:
        """Schedule the evidence of a response that is slower than the latency thresholds."""
        if seconds > thresholds.slow:
            item = EvidenceItem(name, EvidenceKind.SLOW)
            self._schedule(now + thresholds.slow, self._record_evidence, index, item)
        if seconds > thresholds.hung:
            item = EvidenceItem(name, EvidenceKind.HUNG)
            self._schedule(now + thresholds.hung, self._record_evidence, index, item)

    def _release(self, now: float, index: int, name: str) -> None:
        self.balancers[index].release(name)

    def _record_evidence(self, now: float, index: int, item: EvidenceItem) -> None:
        self.detectors[index].record(now, item)
        self._record_failure(now, index, item)
        self._schedule(now + EVIDENCE_DELAY_SECONDS, self._share_evidence, index, item)

    def _share_evidence(self, now: float, index: int, item: EvidenceItem) -> None:
        for number, detector in enumerate(self.detectors):
            if number != index:
                detector.record(now, item, f"e{index}")
                self._record_failure(now, number, item)

    def _record_failure(self, now: float, index: int, item: EvidenceItem) -> None:
        if item.kind in EVIDENCE_KINDS.values():
            self.balancers[index].floor.failures.record_failure(now, "s")

    def _sample(self, now: float) -> None:
        self._schedule(now + SAMPLE_INTERVAL_SECONDS, self._sample)
        for name, is_faulty in self.is_faulty.items():
            if not is_faulty:
                self.counts["sound"] += 1
                is_trusted = self.detectors[0].get_standing(now, name) == Standing.TRUSTED
                self.counts["doubted"] += not is_trusted

    def _increment(self, now: float, *names: str) -> None:
        if now >= WARM_UP_SECONDS:
            for name in names:
                self.counts[name] += 1


def simulate(pattern: Pattern, seeds: int) -> dict[str, float]:
    """Return the mean of each share over all seeds, and the availability in nines.

    ``nines`` is the negative decimal logarithm of the share of lost requests.
    """
    runs = [Simulation(pattern, seed).run() for seed in range(seeds)]
    means = {name: round(mean(run[name] for run in runs), 4) for name in runs[0]}
    return {**means, "nines": round(-log(max(means["lost"], 1e-6)) / log(10), 3)}


def main() -> None:
    """Simulate the pattern of the command line and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--how", choices=sorted(EVIDENCE_KINDS), default="hang")
    parser.add_argument("--seeds", type=int, default=4)
    for name in ("seconds", "rate", "work", "spread", "bad_seconds", "bad_share", "fails"):
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=float, default=getattr(Pattern(), name))
    fields = vars(parser.parse_args())
    seeds = fields.pop("seeds")
    print(json.dumps(simulate(Pattern(**fields), seeds)))


if __name__ == "__main__":
    main()
