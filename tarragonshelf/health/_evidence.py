"""Passive health evidence that one entry collects from the outcomes of callers' requests."""

from bisect import insort
from collections import deque
from enum import StrEnum
from itertools import islice

from ._messages import Evidence

TargetKey = tuple[str, str, str]

HEALTHY_PER_DIGEST = 4
PRIORITY_DIGESTS = 20
MAXIMUM_LATENCY_SAMPLES = 200
HANG_QUANTILE = 0.99
HANG_FACTOR = 4.0
MINIMUM_HANG_SECONDS = 0.25


class Outcome(StrEnum):
    """Outcome of one attempt, as evidence about its target."""

    ANSWERED = "answered"
    FAILED = "failed"
    HUNG = "hung"
    SHED = "shed"


class EvidenceCollector:
    """Counts the outcomes of each target's requests since they were last reported.

    Shed requests are not counted: they show that a target is loaded, not that it fails.

    Notes
    -----
    Counts of targets that failed within the last ``PRIORITY_DIGESTS`` digests go into every
    digest. Healthy targets are reported in turn, ``HEALTHY_PER_DIGEST`` per digest, so that the
    size of a digest does not grow with the number of targets that an entry uses. Their counts
    accumulate until then.
    """

    def __init__(self):
        self._counts: dict[TargetKey, dict[Outcome, int]] = {}
        self._priority_digests_left: dict[TargetKey, int] = {}

    def record(self, service: str, target: str, incarnation: str, outcome: Outcome) -> None:
        """Count one outcome."""
        if outcome == Outcome.SHED:
            return
        key = (service, target, incarnation)
        counts = self._counts.setdefault(key, {})
        counts[outcome] = counts.get(outcome, 0) + 1
        if outcome != Outcome.ANSWERED:
            self._priority_digests_left[key] = PRIORITY_DIGESTS

    def take(self) -> tuple[Evidence, ...]:
        """Return the counts that are due for the next digest, and reset them."""
        due = [key for key in self._counts if key in self._priority_digests_left]
        healthy = (key for key in self._counts if key not in self._priority_digests_left)
        due += islice(healthy, HEALTHY_PER_DIGEST)
        self._priority_digests_left = {
            key: left - 1 for key, left in self._priority_digests_left.items() if left > 1
        }
        return tuple(_create_evidence(key, self._counts.pop(key)) for key in due)


def _create_evidence(key: TargetKey, counts: dict[Outcome, int]) -> Evidence:
    answered = counts.get(Outcome.ANSWERED, 0)
    failed = counts.get(Outcome.FAILED, 0)
    return Evidence(*key, answered, failed, counts.get(Outcome.HUNG, 0))


class HangTimeout:
    """Adaptive time-out after which an unanswered request counts as hung.

    The time-out is ``HANG_FACTOR`` times a high quantile of the service's recent response times,
    or the configured value while there are too few samples. All times are in seconds.
    """

    def __init__(self):
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def record(self, seconds: float) -> None:
        """Record the response time of one complete answer."""
        self._recent.append(seconds)
        insort(self._sorted, seconds)
        if len(self._recent) > MAXIMUM_LATENCY_SAMPLES:
            self._sorted.remove(self._recent.popleft())

    def compute(self, configured: float) -> float:
        """Return the time-out, at most ``HANG_FACTOR`` times the configured one."""
        if len(self._sorted) < MAXIMUM_LATENCY_SAMPLES // 4:
            return configured
        index = int((len(self._sorted) - 1) * HANG_QUANTILE)
        adaptive = max(MINIMUM_HANG_SECONDS, HANG_FACTOR * self._sorted[index])
        return min(adaptive, HANG_FACTOR * configured)
