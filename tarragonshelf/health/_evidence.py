"""What one entry learns about targets from the outcomes of real requests."""

from bisect import insort
from collections import deque
from enum import StrEnum
from itertools import islice

from ._messages import Evidence

TargetKey = tuple[str, str, str]

HEALTHY_PER_DIGEST = 4
ALERT_DIGESTS = 20
LATENCY_SAMPLES = 200
HANG_QUANTILE = 0.99
HANG_FACTOR = 4.0
HANG_MINIMUM_SECONDS = 0.25


class Outcome(StrEnum):
    """How one attempt at a target ended, as evidence about the target."""

    ANSWERED = "answered"
    FAILED = "failed"
    HUNG = "hung"
    SHED = "shed"


class EvidenceCollector:
    """Counts of outcomes since the last digest, for each target.

    A shed request says that the target is loaded, which is no evidence that it fails.

    Notes
    -----
    Counts of targets that failed of late go into every digest. Healthy ones take turns, so that
    a digest's size does not grow with the targets that an entry uses; their counts wait.
    """

    def __init__(self):
        self._counts: dict[TargetKey, dict[Outcome, int]] = {}
        self._alerts: dict[TargetKey, int] = {}

    def record(self, service: str, target: str, incarnation: str, outcome: Outcome) -> None:
        """Count one outcome."""
        if outcome == Outcome.SHED:
            return
        key = (service, target, incarnation)
        counts = self._counts.setdefault(key, {})
        counts[outcome] = counts.get(outcome, 0) + 1
        if outcome != Outcome.ANSWERED:
            self._alerts[key] = ALERT_DIGESTS

    def take(self) -> tuple[Evidence, ...]:
        """Return the counts that are due and start these anew."""
        due = [key for key in self._counts if key in self._alerts]
        healthy = (key for key in self._counts if key not in self._alerts)
        due += islice(healthy, HEALTHY_PER_DIGEST)
        self._alerts = {key: left - 1 for key, left in self._alerts.items() if left > 1}
        return tuple(_create_evidence(key, self._counts.pop(key)) for key in due)


def _create_evidence(key: TargetKey, counts: dict[Outcome, int]) -> Evidence:
    answered = counts.get(Outcome.ANSWERED, 0)
    failed = counts.get(Outcome.FAILED, 0)
    return Evidence(*key, answered, failed, counts.get(Outcome.HUNG, 0))


class HangTimeout:
    """The time after which an unanswered request counts as hung.

    It is a multiple of a high quantile of what the service's targets took of late, and the
    configured bound while there are few samples. All times in seconds.
    """

    def __init__(self):
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def record(self, seconds: float) -> None:
        """Take the time of one whole answer in."""
        self._recent.append(seconds)
        insort(self._sorted, seconds)
        if len(self._recent) > LATENCY_SAMPLES:
            self._sorted.remove(self._recent.popleft())

    def compute(self, configured: float) -> float:
        """Return the bound, which never exceeds four times the configured one."""
        if len(self._sorted) < LATENCY_SAMPLES // 4:
            return configured
        index = int((len(self._sorted) - 1) * HANG_QUANTILE)
        learnt = max(HANG_MINIMUM_SECONDS, HANG_FACTOR * self._sorted[index])
        return min(learnt, HANG_FACTOR * configured)
