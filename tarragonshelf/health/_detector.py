"""Sequential test of each target's failure rate against the other targets of its service."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, log
from statistics import median

from ._messages import Evidence

FAILING_HYPOTHESIS_RATE = 0.5
MINIMUM_PEER_RATE = 0.05
MAXIMUM_PEER_RATE = 0.35
LONG_DECAY_SECONDS = 5.0
RECENT_DECAY_SECONDS = 1.0
MINIMUM_RECENT_OUTCOMES = 0.5
MINIMUM_RECENT_FAILURE_RATE = 0.05
WIDESPREAD_SHARE = 0.5
MINIMUM_OUTLIER_RATE = 0.5
OUTLIER_FACTOR = 3.0
SOURCE_RETENTION_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class TargetScore:
    """Log likelihood ratio of a target; ``sources`` is the number of entries that saw failures."""

    target: str
    incarnation: str
    score: float
    sources: int
    failed: int
    hung: int


@dataclass(slots=True)
class _Counts:
    """Counts of outcomes, with exponential decay."""

    answered: float = 0.0
    failures: float = 0.0

    @property
    def total(self) -> float:
        return self.answered + self.failures

    @property
    def rate(self) -> float:
        """The smoothed failure rate; one half without any outcome."""
        return (self.failures + 0.5) / (self.total + 1.0)

    def add(self, answered: float, failures: float) -> None:
        self.answered += answered
        self.failures += failures

    def fade(self, factor: float) -> None:
        self.answered *= factor
        self.failures *= factor


@dataclass(slots=True)
class _TargetStatistics:
    incarnation: str
    score: float = 0.0
    failed: int = 0
    hung: int = 0
    long: _Counts = field(default_factory=_Counts)
    recent: _Counts = field(default_factory=_Counts)
    sources: dict[str, float] = field(default_factory=dict)


class Detector:
    """Cumulative sequential probability ratio test for the targets of one service.

    Parameters
    ----------
    false_ejection_rate, miss_rate : float
        Error probabilities of one test; their ratio sets the threshold.

    Notes
    -----
    The null hypothesis is that a target fails at the pooled rate of the better half of the
    service's other targets, so that several failing targets do not raise the baseline for each
    other. While most targets have recent failures, the cause is presumed to be common to them,
    and a target is reported as failing only if its recent failure rate is at least
    ``MINIMUM_OUTLIER_RATE`` and at least ``OUTLIER_FACTOR`` times the median rate of the others.
    As in a CUSUM test, the score never falls below zero, so that a long healthy history does not
    delay detection.

    References
    ----------
    Page, E. S., Continuous inspection schemes, Biometrika 41, 1954.
    Wald, A., Sequential tests of statistical hypotheses, 1945.
    """

    def __init__(self, *, false_ejection_rate: float, miss_rate: float):
        self.false_ejection_rate = false_ejection_rate
        self.miss_rate = miss_rate
        self._statistics: dict[str, _TargetStatistics] = {}

    @property
    def threshold(self) -> float:
        """The score from which a target counts as failing."""
        return log((1 - self.miss_rate) / self.false_ejection_rate)

    def get_score(self, target: str) -> TargetScore | None:
        """Return the score of a target, or None without evidence about it."""
        statistics = self._statistics.get(target)
        return _create_target_score(target, statistics) if statistics else None

    def list_failing(self) -> list[TargetScore]:
        """Return the targets whose score reached the threshold, highest score first."""
        is_widespread = self.is_failure_widespread()
        found = [
            _create_target_score(target, statistics)
            for target, statistics in self._statistics.items()
            if statistics.score >= self.threshold
            and (not is_widespread or self._is_outlier(target))
        ]
        return sorted(found, key=lambda item: -item.score)

    def is_failure_widespread(self) -> bool:
        """Return whether most targets with recent requests have recent failures."""
        used = [item.recent for item in self._statistics.values() if _is_used(item)]
        failing = sum(
            1
            for item in used
            if item.failures >= MINIMUM_RECENT_OUTCOMES
            and item.failures >= MINIMUM_RECENT_FAILURE_RATE * item.total
        )
        return len(used) > 1 and failing > WIDESPREAD_SHARE * len(used)

    def _is_outlier(self, target: str) -> bool:
        own = self._statistics[target].recent
        if own.failures < MINIMUM_OUTLIER_RATE * own.total:
            return False
        others = [
            item.recent.failures / item.recent.total
            for name, item in self._statistics.items()
            if name != target and _is_used(item)
        ]
        return not others or own.failures >= OUTLIER_FACTOR * median(others) * own.total

    def record(self, now: float, source: str, items: Sequence[Evidence]) -> None:
        """Update the scores with one entry's evidence about the service's targets."""
        for item in items:
            statistics = self._get_or_create_statistics(item)
            failures = item.failed + item.hung
            statistics.long.add(item.answered, failures)
            statistics.recent.add(item.answered, failures)
        for item in items:
            self._update_score(now, source, item)

    def fade(self, seconds: float, now: float) -> None:
        """Decay the counts over ``seconds``, and drop sources that no longer see failures."""
        for statistics in self._statistics.values():
            statistics.long.fade(exp(-seconds / LONG_DECAY_SECONDS))
            statistics.recent.fade(exp(-seconds / RECENT_DECAY_SECONDS))
            for source, last_failure_at in list(statistics.sources.items()):
                if now - last_failure_at > SOURCE_RETENTION_SECONDS:
                    del statistics.sources[source]

    def remove(self, target: str) -> None:
        """Remove the statistics of a target."""
        self._statistics.pop(target, None)

    def retain(self, targets: set[str]) -> None:
        """Remove the statistics of all targets but these."""
        for target in self._statistics.keys() - targets:
            del self._statistics[target]

    def _update_score(self, now: float, source: str, item: Evidence) -> None:
        statistics = self._statistics[item.target]
        failures = item.failed + item.hung
        peer_rate = self._estimate_peer_rate(item.target)
        statistics.score += item.answered * log((1 - FAILING_HYPOTHESIS_RATE) / (1 - peer_rate))
        if peer_rate < MAXIMUM_PEER_RATE:
            statistics.score += failures * log(FAILING_HYPOTHESIS_RATE / peer_rate)
        statistics.score = max(0.0, statistics.score)
        statistics.failed += item.failed
        statistics.hung += item.hung
        if failures:
            statistics.sources[source] = now
        if statistics.score == 0.0:
            statistics.failed = statistics.hung = 0
            statistics.sources.clear()

    def _get_or_create_statistics(self, evidence: Evidence) -> _TargetStatistics:
        statistics = self._statistics.get(evidence.target)
        if statistics is None or statistics.incarnation != evidence.incarnation:
            statistics = _TargetStatistics(evidence.incarnation)
            self._statistics[evidence.target] = statistics
        return statistics

    def _estimate_peer_rate(self, target: str) -> float:
        """Return the pooled failure rate of the better half of the other targets."""
        peers = [
            statistics.long for name, statistics in self._statistics.items() if name != target
        ]
        used = sorted((item for item in peers if item.total > 0.1), key=lambda item: item.rate)
        pooled = _Counts()
        for item in used[: (len(used) + 1) // 2]:
            pooled.add(item.answered, item.failures)
        return min(MAXIMUM_PEER_RATE, max(MINIMUM_PEER_RATE, pooled.rate))


def _is_used(statistics: _TargetStatistics) -> bool:
    return statistics.recent.total >= MINIMUM_RECENT_OUTCOMES


def _create_target_score(target: str, statistics: _TargetStatistics) -> TargetScore:
    return TargetScore(
        target,
        statistics.incarnation,
        statistics.score,
        len(statistics.sources),
        statistics.failed,
        statistics.hung,
    )
