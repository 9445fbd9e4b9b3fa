"""Measures detection time and false ejections of the production detection code.

Seeded outcomes of requests to one service are distributed over entries, which exchange evidence
digests at the production interval. The only network effects are fixed delays of digests and of
ejection grants. ``python -m benchmarks.detection`` prints JSON.
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
LOGNORMAL_SIGMA = 1.0
BACKGROUND_FAILURES = 0.001
DIGEST_INTERVAL_SECONDS = 0.25
DIGEST_DELAY_SECONDS = 0.02
GRANT_DELAY_SECONDS = 0.06
AVOID_SECONDS = 2.0
WARM_UP_SECONDS = 4.0
FAULT_SECONDS = 12.0
FLAP_SECONDS = 2.0
COLD_SECONDS = 3.0
SEEDS = range(50)
ENTRY_COUNTS = (4, 48, 420)
WORKERS = 4
FALSE_EJECTION_HOURS = 250.0 / len(TARGETS)
REQUESTS_PER_DIGEST = RATE * DIGEST_INTERVAL_SECONDS / len(TARGETS)

USER_SETTINGS = {
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
class RunResult:
    """Result of one run.

    ``seconds`` is the time from the start of the fault to the last request sent to the faulty
    target, ``requests`` the number of requests sent to it in that time. With shared evidence,
    requests sent after its ejection are not counted.
    """

    detected: bool
    seconds: float
    requests: int
    false_ejections: int
    floor_violations: int


class Policy(ABC):
    """Ejects targets based on the outcomes of requests."""

    @abstractmethod
    def record(self, now: float, entry: int, target: str, outcome: Outcome) -> None:
        """Record the outcome of one request."""

    @abstractmethod
    def list_usable(self, entry: int) -> list[str]:
        """Return the targets that an entry may use."""

    @abstractmethod
    def list_ejected(self) -> set[str]:
        """Return the targets that are ejected for all entries, or by any one of them."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Process delayed messages; called every ``DIGEST_INTERVAL_SECONDS``."""


class SharedPolicy(Policy):
    """The production policy: two watchers sum the evidence and ejections need a grant.

    Grants are given only as long as the floor of targets remains.
    """

    def __init__(self, detection: Detection, entry_count: int):
        self.entry_count = entry_count
        self.collectors = [EvidenceCollector() for _ in range(entry_count)]
        self.watchers = [Watcher(f"e{n}", "s", detection) for n in range(min(2, entry_count))]
        self.grants = EjectionGrants()
        self.ready = tuple(ReadyTarget(target, "1") for target in TARGETS)
        self.digests: list[tuple[float, int, EvidenceDigest]] = []
        self.changes: list[tuple[float, frozenset[str]]] = []
        self.ejected: frozenset[str] = frozenset()

    def record(self, now, entry, target, outcome):
        self.collectors[entry].record("s", target, "1", outcome)

    def list_usable(self, entry):
        return [target for target in TARGETS if target not in self.ejected]

    def list_ejected(self):
        return set(self.ejected)

    def tick(self, now):
        while self.changes and self.changes[0][0] <= now:
            self.ejected = self.changes.pop(0)[1]
        for number, collector in enumerate(self.collectors):
            items = collector.take()
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
        report = watcher.report(
            now, ready=self.ready, ejections=ejections, entries=self.entry_count
        )
        if report is not None:
            result = self.grants.report(now, FLOOR, report)
            ejected = frozenset(item.target for item in result.ejections)
            self.changes.append((now + GRANT_DELAY_SECONDS, ejected))


class LocalPolicy(Policy):
    """Baseline: the same statistical test, but each entry uses only its own evidence."""

    def __init__(self, detection: Detection, entry_count: int):
        self.detectors = [
            Detector(
                false_ejection_rate=detection.false_ejection_rate, miss_rate=detection.miss_rate
            )
            for _ in range(entry_count)
        ]
        self.ejected: list[set[str]] = [set() for _ in range(entry_count)]

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
            detector.fade(DIGEST_INTERVAL_SECONDS, now)


class FixedPolicy(LocalPolicy):
    """Baseline: an entry ejects a target after three consecutive failures."""

    def __init__(self, detection: Detection, entry_count: int):
        super().__init__(detection, entry_count)
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
    """Simulates the response times and failures of a service with one kind of fault."""

    def __init__(self, fault: str, random: Random):
        self.fault = fault
        self.random = random

    def draw(self, now: float, entry: int, target: str) -> tuple[float, bool]:
        """Return the response time in seconds, infinite for no answer, and the success."""
        seconds = MEDIAN_SECONDS * exp(LOGNORMAL_SIGMA * self.random.gauss(0, 1))
        good = self.random.random() >= BACKGROUND_FAILURES
        elapsed = now - WARM_UP_SECONDS
        if elapsed < 0:
            return seconds, good
        if self.fault == "whole slow":
            return 10 * seconds, good
        if self.fault == "bad link" and entry == 0 and self.random.random() < 0.5:
            return 0.001, False
        if target != TARGETS[0]:
            return seconds, good
        return self._draw_faulty(elapsed, seconds, good)

    def _draw_faulty(self, elapsed: float, seconds: float, good: bool) -> tuple[float, bool]:
        if self.fault == "hang" or (self.fault == "flap" and int(elapsed / FLAP_SECONDS) % 2 == 0):
            return float("inf"), False
        if self.fault == "errors":
            return seconds, good and self.random.random() >= 0.2
        factor = {"slow 3": 3, "slow 10": 10}.get(self.fault, 1)
        if self.fault == "cold" and elapsed < COLD_SECONDS:
            factor = 5
        return factor * seconds, good


def run_once(
    policy_name: str, detection: Detection, fault: str, entry_count: int, seed: int
) -> RunResult:
    """Simulate one seeded stream of requests."""
    random = Random(seed)
    policy = POLICIES[policy_name](detection, entry_count)
    service = Service(fault, random)
    hang_timeouts = [HangTimeout() for _ in range(entry_count)]
    avoided: dict[tuple[int, str], float] = {}
    pending: list[tuple[float, int, int, str, Outcome, float]] = []
    now, next_tick, number = 0.0, 0.0, 0
    last_sent, sent_count, violations, is_detected = 0.0, 0, 0, False
    ejected_ever: set[str] = set()
    end = WARM_UP_SECONDS + FAULT_SECONDS
    while now < end:
        now += random.expovariate(RATE)
        while next_tick <= now:
            policy.tick(next_tick)
            ejected_ever |= policy.list_ejected()
            # With shared evidence, an ejection applies to all entries and ends the count. In the
            # baselines, entries that have not ejected the target continue to send to it.
            is_shared = isinstance(policy, SharedPolicy)
            is_detected = is_detected or (is_shared and TARGETS[0] in policy.list_ejected())
            violations += is_shared and len(TARGETS) - len(policy.list_ejected()) < FLOOR
            next_tick += DIGEST_INTERVAL_SECONDS
        while pending and pending[0][0] <= now:
            at, _, entry, target, outcome, seconds = heapq.heappop(pending)
            policy.record(at, entry, target, outcome)
            if outcome != Outcome.ANSWERED:
                avoided[entry, target] = at + AVOID_SECONDS
            elif seconds:
                hang_timeouts[entry].record(seconds)
        entry = random.randrange(entry_count)
        usable = policy.list_usable(entry)
        not_avoided = [item for item in usable if avoided.get((entry, item), 0.0) <= now]
        target = random.choice(not_avoided or usable)
        seconds, good = service.draw(now, entry, target)
        hang_timeout = hang_timeouts[entry].compute(detection.hang_seconds)
        outcome = (
            Outcome.HUNG
            if seconds > hang_timeout
            else Outcome.ANSWERED
            if good
            else Outcome.FAILED
        )
        number += 1
        item = (
            now + min(seconds, hang_timeout),
            number,
            entry,
            target,
            outcome,
            min(seconds, 60.0),
        )
        heapq.heappush(pending, item)
        if target == TARGETS[0] and now >= WARM_UP_SECONDS and not is_detected:
            last_sent = now - WARM_UP_SECONDS
            sent_count += 1
    return summarize(policy_name, fault, ejected_ever, last_sent, sent_count, violations)


def summarize(policy_name, fault, ejected, last_sent, sent_count, violations) -> RunResult:
    """Return the result of a run; with a harmless fault, every ejection is a false one."""
    is_harmful = fault not in HARMLESS
    detected = is_harmful and TARGETS[0] in ejected
    false_count = len(ejected - {TARGETS[0]}) if is_harmful else len(ejected)
    return RunResult(detected, last_sent, sent_count, false_count, violations)


def run_case(case: tuple[str, str, str, int]) -> dict:
    """Run a case with all seeds and return its summary."""
    policy, user, fault, entry_count = case
    runs = [run_once(policy, USER_SETTINGS[user], fault, entry_count, seed) for seed in SEEDS]
    seconds = sorted(run.seconds for run in runs if run.detected)
    return {
        "policy": policy,
        "user": user,
        "fault": fault,
        "holders": entry_count,
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
    """Return a binomially distributed number of failures.

    Draws the geometrically distributed gaps between failures, which is fast for small shares.
    """
    bad, position = 0, 0
    scale = log(1 - share)
    while True:
        position += int(log(1 - random.random()) / scale) + 1
        if position > count:
            return bad
        bad += 1


def run_without_fault(case: tuple[str, float, float, int]) -> dict:
    """Return the false ejections of a simulation without faults, driven by digests of two entries.

    ``hours`` are hours of simulated time, in each of which all targets are observed.
    """
    user, failures, hours, seed = case
    random = Random(seed)
    detection = USER_SETTINGS[user]
    watcher = Watcher("e0", "s", detection)
    ready = tuple(ReadyTarget(target, "1") for target in TARGETS)
    count = round(REQUESTS_PER_DIGEST / 2)
    now, false_count = 0.0, 0
    for _ in range(round(hours * 3600 / DIGEST_INTERVAL_SECONDS)):
        now += DIGEST_INTERVAL_SECONDS
        for source in ("e0", "e1"):
            bad = [draw_binomial(random, count, failures) for _ in TARGETS]
            items = tuple(
                Evidence("s", target, "1", count - failed, failed)
                for target, failed in zip(TARGETS, bad, strict=True)
            )
            watcher.record(now, EvidenceDigest(source, items))
        report = watcher.report(now, ready=ready, ejections=(), entries=48)
        for suspect in report.suspects if report else ():
            false_count += 1
            watcher.detector.remove(suspect.address)
    return {"user": user, "failures": failures, "hours": hours, "false_ejections": false_count}


def sweep(case: tuple[float, int]) -> dict:
    """Return detection time and false ejections at one false ejection rate.

    False ejections are counted with 5% of all requests failing.
    """
    rate, entry_count = case
    detection = Detection(
        false_ejection_rate=rate, miss_rate=1e-2, hang_seconds=0.6, probation_seconds=10
    )
    USER_SETTINGS["sweep"] = detection
    runs = [run_once("shared", detection, "hang", entry_count, seed) for seed in range(20)]
    seconds = [run.seconds for run in runs if run.detected]
    fault_free = run_without_fault(("sweep", 0.05, 2.0, 1))
    target_hours = 2.0 * len(TARGETS)
    return {
        "false_ejection_rate": rate,
        "holders": entry_count,
        "detected": len(seconds),
        "seconds_median": statistics.median(seconds) if seconds else None,
        "false_per_1000_target_hours": 1000 * fault_free["false_ejections"] / target_hours,
    }


def list_cases() -> list[tuple[str, str, str, int]]:
    """Return all cases; the baselines run only at 48 entries and with three of the faults."""
    cases = [
        ("shared", user, fault, entry_count)
        for user in USER_SETTINGS
        for fault in FAULTS
        for entry_count in ENTRY_COUNTS
    ]
    cases += [
        (policy, user, fault, 48)
        for policy in ("local", "fixed three")
        for user in USER_SETTINGS
        for fault in ("hang", "bad link", "whole slow")
    ]
    return cases


def measure_all() -> dict:
    """Run all cases in a pool of processes and return the results."""
    parts = 10
    fault_free_cases = [
        (user, BACKGROUND_FAILURES, FALSE_EJECTION_HOURS / parts, 100 + n)
        for user in USER_SETTINGS
        for n in range(parts)
    ]
    rates = [(rate, 48) for rate in (1e-1, 1e-2, 1e-3, 1e-4, 1e-6, 1e-8)]
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = list(pool.map(run_case, list_cases()))
        fault_free_runs = list(pool.map(run_without_fault, fault_free_cases))
        swept = list(pool.map(sweep, rates))
    totals = {}
    for user in USER_SETTINGS:
        items = [item for item in fault_free_runs if item["user"] == user]
        hours = sum(item["hours"] for item in items) * len(TARGETS)
        count = sum(item["false_ejections"] for item in items)
        totals[user] = {"target_hours": hours, "false_ejections": count}
    settings = {name: asdict(item) for name, item in USER_SETTINGS.items()}
    return {
        "seeds": [SEEDS.start, SEEDS.stop - 1],
        "settings": settings,
        "cases": runs,
        "without_fault": totals,
        "sweep": swept,
    }


if __name__ == "__main__":
    print(json.dumps(measure_all(), indent=1))
