"""Detection time against false ejections, on the real decision code.

A focused driver: seeded outcomes of one service, dealt to holders of evidence whose digests are
exchanged at the real interval. No network is modelled but a fixed delay of digests and grants.
``python -m benchmarks.detection`` prints JSON.
"""

import heapq
import json
import statistics
from abc import ABC, abstractmethod
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from math import exp, log
from random import Random

from tarragonshelf.configuration import Detection
from tarragonshelf.health import (
    Detector,
    EjectionGrants,
    Evidence,
    EvidenceCollector,
    EvidenceDigest,
    HangTimeout,
    Outcome,
    ReadyTarget,
    Watcher,
)

TARGETS = [f"t{n}" for n in range(12)]
FLOOR = 8
RATE = 200.0
MEDIAN_SECONDS = 0.02
SIGMA = 1.0
BACKGROUND_FAILURES = 0.001
DIGEST_SECONDS = 0.25
DIGEST_DELAY_SECONDS = 0.02
GRANT_DELAY_SECONDS = 0.06
AVOID_SECONDS = 2.0
WARM_SECONDS = 4.0
FAULT_SECONDS = 12.0
FLAP_SECONDS = 2.0
COLD_SECONDS = 3.0
SEEDS = range(50)
HOLDERS = (4, 48, 420)
WORKERS = 4
FALSE_HOURS = 250.0 / len(TARGETS)
STEP_REQUESTS = RATE * DIGEST_SECONDS / len(TARGETS)

USERS = {
    "rompeolas": Detection(
        false_ejection_rate=1e-3, miss_rate=1e-3, hang_seconds=0.6, probation_seconds=10
    ),
    "amann": Detection(
        false_ejection_rate=1e-6, miss_rate=1e-2, hang_seconds=2.0, probation_seconds=15
    ),
}
FAULTS = ("none", "hang", "flap", "slow 3", "slow 10", "errors", "whole slow", "bad link", "cold")
HARMLESS = ("none", "whole slow", "bad link", "cold")


@dataclass(frozen=True)
class Run:
    """What one run showed; seconds from the fault to the last request sent to the target."""

    detected: bool
    seconds: float
    requests: int
    false_ejections: int
    floor_violations: int


class Policy(ABC):
    """Decides from outcomes which targets are ejected."""

    @abstractmethod
    def record(self, now: float, entry: int, target: str, outcome: Outcome) -> None:
        """Take one outcome in."""

    @abstractmethod
    def list_usable(self, entry: int) -> list[str]:
        """Return the targets that an entry may use."""

    @abstractmethod
    def list_ejected(self) -> set[str]:
        """Return targets that are ejected for the fleet, or by any entry."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Let time pass; called every ``DIGEST_SECONDS``."""


class SharedPolicy(Policy):
    """The product's: evidence summed at two watchers, grants above the floor."""

    def __init__(self, detection: Detection, holders: int):
        self.holders = holders
        self.books = [EvidenceCollector() for _ in range(holders)]
        self.watchers = [Watcher(f"e{n}", "s", detection) for n in range(min(2, holders))]
        self.grants = EjectionGrants()
        self.ready = tuple(ReadyTarget(target, "1") for target in TARGETS)
        self.digests: list[tuple[float, int, EvidenceDigest]] = []
        self.changes: list[tuple[float, frozenset[str]]] = []
        self.ejected: frozenset[str] = frozenset()

    def record(self, now, entry, target, outcome):
        self.books[entry].record("s", target, "1", outcome)

    def list_usable(self, entry):
        return [target for target in TARGETS if target not in self.ejected]

    def list_ejected(self):
        return set(self.ejected)

    def tick(self, now):
        while self.changes and self.changes[0][0] <= now:
            self.ejected = self.changes.pop(0)[1]
        for number, book in enumerate(self.books):
            items = book.take()
            if items:
                arrival = now + DIGEST_DELAY_SECONDS
                digest = EvidenceDigest(f"e{number}", items)
                heapq.heappush(self.digests, (arrival, number, digest))
        while self.digests and self.digests[0][0] <= now:
            digest = heapq.heappop(self.digests)[2]
            for watcher in self.watchers:
                watcher.record(now, digest)
        for watcher in self.watchers:
            self._report(now, watcher)

    def _report(self, now, watcher):
        ejections = self.grants.list_ejections("s")
        report = watcher.report(now, ready=self.ready, ejections=ejections, entries=self.holders)
        if report is not None:
            result = self.grants.report(now, FLOOR, report)
            ejected = frozenset(item.target for item in result.ejections)
            self.changes.append((now + GRANT_DELAY_SECONDS, ejected))


class LocalPolicy(Policy):
    """A baseline: the same test, but each entry judges by its own evidence alone."""

    def __init__(self, detection: Detection, holders: int):
        self.detectors = [
            Detector(
                false_ejection_rate=detection.false_ejection_rate, miss_rate=detection.miss_rate
            )
            for _ in range(holders)
        ]
        self.ejected: list[set[str]] = [set() for _ in range(holders)]

    def record(self, now, entry, target, outcome):
        good = int(outcome == Outcome.ANSWERED)
        evidence = Evidence("s", target, "1", good, 1 - good)
        self.detectors[entry].record(now, str(entry), [evidence])
        for item in self.detectors[entry].list_failing():
            if len(TARGETS) - len(self.ejected[entry]) > FLOOR:
                self.ejected[entry].add(item.target)

    def list_usable(self, entry):
        return [target for target in TARGETS if target not in self.ejected[entry]]

    def list_ejected(self):
        return set().union(*self.ejected)

    def tick(self, now):
        for detector in self.detectors:
            detector.fade(DIGEST_SECONDS, now)


class FixedPolicy(LocalPolicy):
    """A baseline: an entry ejects a target after three failures in a row."""

    def __init__(self, detection: Detection, holders: int):
        super().__init__(detection, holders)
        self.failures: dict[tuple[int, str], int] = {}

    def record(self, now, entry, target, outcome):
        key = (entry, target)
        self.failures[key] = 0 if outcome == Outcome.ANSWERED else self.failures.get(key, 0) + 1
        if self.failures[key] >= 3 and len(TARGETS) - len(self.ejected[entry]) > FLOOR:
            self.ejected[entry].add(target)

    def tick(self, now):
        pass


POLICIES = {"shared": SharedPolicy, "local": LocalPolicy, "fixed three": FixedPolicy}


class Service:
    """Draws how long a request takes, or that it gets no answer or an error."""

    def __init__(self, fault: str, random: Random):
        self.fault = fault
        self.random = random

    def draw(self, now: float, entry: int, target: str) -> tuple[float, bool]:
        """Return seconds until the answer, infinite without one, and whether it is good."""
        seconds = MEDIAN_SECONDS * exp(SIGMA * self.random.gauss(0, 1))
        good = self.random.random() >= BACKGROUND_FAILURES
        since = now - WARM_SECONDS
        if since < 0:
            return seconds, good
        if self.fault == "whole slow":
            return 10 * seconds, good
        if self.fault == "bad link" and entry == 0 and self.random.random() < 0.5:
            return 0.001, False
        if target != TARGETS[0]:
            return seconds, good
        return self._draw_faulty(since, seconds, good)

    def _draw_faulty(self, since: float, seconds: float, good: bool) -> tuple[float, bool]:
        if self.fault == "hang" or (self.fault == "flap" and int(since / FLAP_SECONDS) % 2 == 0):
            return float("inf"), False
        if self.fault == "errors":
            return seconds, good and self.random.random() >= 0.2
        factor = {"slow 3": 3, "slow 10": 10}.get(self.fault, 1)
        if self.fault == "cold" and since < COLD_SECONDS:
            factor = 5
        return factor * seconds, good


def run_once(policy_name: str, detection: Detection, fault: str, holders: int, seed: int) -> Run:
    """Run one seeded stream of requests."""
    random = Random(seed)
    policy = POLICIES[policy_name](detection, holders)
    service = Service(fault, random)
    bounds = [HangTimeout() for _ in range(holders)]
    avoided: dict[tuple[int, str], float] = {}
    pending: list[tuple[float, int, int, str, Outcome, float]] = []
    now, next_tick, number = 0.0, 0.0, 0
    last_sent, sent, violations, is_caught = 0.0, 0, 0, False
    ejected_ever: set[str] = set()
    end = WARM_SECONDS + FAULT_SECONDS
    while now < end:
        now += random.expovariate(RATE)
        while next_tick <= now:
            policy.tick(next_tick)
            ejected_ever |= policy.list_ejected()
            # One ejection ends the count for the fleet; without sharing, each entry goes on.
            is_shared = isinstance(policy, SharedPolicy)
            is_caught = is_caught or (is_shared and TARGETS[0] in policy.list_ejected())
            violations += is_shared and len(TARGETS) - len(policy.list_ejected()) < FLOOR
            next_tick += DIGEST_SECONDS
        while pending and pending[0][0] <= now:
            at, _, entry, target, outcome, seconds = heapq.heappop(pending)
            policy.record(at, entry, target, outcome)
            if outcome != Outcome.ANSWERED:
                avoided[entry, target] = at + AVOID_SECONDS
            elif seconds:
                bounds[entry].record(seconds)
        entry = random.randrange(holders)
        usable = policy.list_usable(entry)
        calm = [item for item in usable if avoided.get((entry, item), 0.0) <= now]
        target = random.choice(calm or usable)
        seconds, good = service.draw(now, entry, target)
        hang = bounds[entry].compute(detection.hang_seconds)
        outcome = Outcome.HUNG if seconds > hang else Outcome.ANSWERED if good else Outcome.FAILED
        number += 1
        item = (now + min(seconds, hang), number, entry, target, outcome, min(seconds, 60.0))
        heapq.heappush(pending, item)
        if target == TARGETS[0] and now >= WARM_SECONDS and not is_caught:
            last_sent = now - WARM_SECONDS
            sent += 1
    return summarize(policy_name, fault, ejected_ever, last_sent, sent, violations)


def summarize(policy_name, fault, ejected, last_sent, sent, violations) -> Run:
    """Return the run's figures."""
    is_harmful = fault not in HARMLESS
    detected = is_harmful and TARGETS[0] in ejected
    false = len(ejected - {TARGETS[0]}) if is_harmful else len(ejected)
    return Run(detected, last_sent, sent, false, violations)


def run_case(case: tuple[str, str, str, int]) -> dict:
    """Run all seeds of a case."""
    policy, user, fault, holders = case
    runs = [run_once(policy, USERS[user], fault, holders, seed) for seed in SEEDS]
    seconds = sorted(run.seconds for run in runs if run.detected)
    return {
        "policy": policy,
        "user": user,
        "fault": fault,
        "holders": holders,
        "runs": len(runs),
        "detected": len(seconds),
        "seconds_median": statistics.median(seconds) if seconds else None,
        "seconds_p99": seconds[min(len(seconds) - 1, int(0.99 * len(seconds)))]
        if seconds
        else None,
        "requests_median": statistics.median(run.requests for run in runs),
        "false_ejections": sum(run.false_ejections for run in runs),
        "floor_violations": sum(run.floor_violations for run in runs),
    }


def draw_binomial(random: Random, count: int, share: float) -> int:
    """Return how many of some outcomes are bad, quickly for small shares."""
    bad, position = 0, 0
    scale = log(1 - share)
    while True:
        position += int(log(1 - random.random()) / scale) + 1
        if position > count:
            return bad
        bad += 1


def run_without_fault(case: tuple[str, float, float, int]) -> dict:
    """Return false ejections in some target-hours, from two entries' outcomes by window."""
    user, failures, hours, seed = case
    random = Random(seed)
    detection = USERS[user]
    watcher = Watcher("e0", "s", detection)
    ready = tuple(ReadyTarget(target, "1") for target in TARGETS)
    count = round(STEP_REQUESTS / 2)
    now, false = 0.0, 0
    for _ in range(round(hours * 3600 / DIGEST_SECONDS)):
        now += DIGEST_SECONDS
        for source in ("e0", "e1"):
            bad = [draw_binomial(random, count, failures) for _ in TARGETS]
            items = tuple(
                Evidence("s", target, "1", count - failed, failed)
                for target, failed in zip(TARGETS, bad, strict=True)
            )
            watcher.record(now, EvidenceDigest(source, items))
        report = watcher.report(now, ready=ready, ejections=(), entries=48)
        for suspect in report.suspects if report else ():
            false += 1
            watcher.detector.remove(suspect.address)
    return {"user": user, "failures": failures, "hours": hours, "false_ejections": false}


def sweep(case: tuple[float, int]) -> dict:
    """Return detection time and false ejections at one setting, with 5% of requests failing."""
    rate, holders = case
    detection = Detection(
        false_ejection_rate=rate, miss_rate=1e-2, hang_seconds=0.6, probation_seconds=10
    )
    USERS["sweep"] = detection
    runs = [run_once("shared", detection, "hang", holders, seed) for seed in range(20)]
    seconds = [run.seconds for run in runs if run.detected]
    false = run_without_fault(("sweep", 0.05, 2.0, 1))
    target_hours = 2.0 * len(TARGETS)
    return {
        "false_ejection_rate": rate,
        "holders": holders,
        "detected": len(seconds),
        "seconds_median": statistics.median(seconds) if seconds else None,
        "false_per_1000_target_hours": 1000 * false["false_ejections"] / target_hours,
    }


def list_cases() -> list[tuple[str, str, str, int]]:
    """Return all cases; the baselines only where they are compared."""
    cases = [
        ("shared", user, fault, holders)
        for user in USERS
        for fault in FAULTS
        for holders in HOLDERS
    ]
    cases += [
        (policy, user, fault, 48)
        for policy in ("local", "fixed three")
        for user in USERS
        for fault in ("hang", "bad link", "whole slow")
    ]
    return cases


def measure_all() -> dict:
    """Run all cases on a few processes."""
    parts = 10
    false_cases = [
        (user, BACKGROUND_FAILURES, FALSE_HOURS / parts, 100 + n)
        for user in USERS
        for n in range(parts)
    ]
    rates = [(rate, 48) for rate in (1e-1, 1e-2, 1e-3, 1e-4, 1e-6, 1e-8)]
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = list(pool.map(run_case, list_cases()))
        false = list(pool.map(run_without_fault, false_cases))
        swept = list(pool.map(sweep, rates))
    totals = {}
    for user in USERS:
        items = [item for item in false if item["user"] == user]
        hours = sum(item["hours"] for item in items) * len(TARGETS)
        count = sum(item["false_ejections"] for item in items)
        totals[user] = {"target_hours": hours, "false_ejections": count}
    settings = {name: asdict(item) for name, item in USERS.items()}
    return {
        "seeds": [SEEDS.start, SEEDS.stop - 1],
        "settings": settings,
        "cases": runs,
        "without_fault": totals,
        "sweep": swept,
    }


if __name__ == "__main__":
    print(json.dumps(measure_all(), indent=1))
