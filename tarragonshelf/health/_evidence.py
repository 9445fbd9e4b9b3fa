"""What one entry learns about targets from the outcomes of real requests."""

from bisect import insort
from collections import deque
from enum import StrEnum

from ._messages import Evidence

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


class EvidenceBook:
    """Counts of outcomes since the last digest, for each target.

    A shed request says that the target is loaded, which is no evidence that it fails.
    """

    def __init__(self):
        self._counts: dict[tuple[str, str, str], dict[Outcome, int]] = {}

    def record(self, service: str, target: str, incarnation: str, outcome: Outcome) -> None:
        """Count one outcome."""
        if outcome == Outcome.SHED:
            return
        counts = self._counts.setdefault((service, target, incarnation), {})
        counts[outcome] = counts.get(outcome, 0) + 1

    def take(self) -> tuple[Evidence, ...]:
        """Return all counts and start anew."""
        items = tuple(
            Evidence(
                service,
                target,
                incarnation,
                counts.get(Outcome.ANSWERED, 0),
                counts.get(Outcome.FAILED, 0),
                counts.get(Outcome.HUNG, 0),
            )
            for (service, target, incarnation), counts in self._counts.items()
        )
        self._counts = {}
        return items


class HangBound:
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
