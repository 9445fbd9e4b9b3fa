"""Sequential test of each target against its service's peers."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, log
from statistics import median

from ._messages import Evidence

FAILING_RATE = 0.5
MINIMUM_PEER_RATE = 0.05
MAXIMUM_PEER_RATE = 0.35
MEMORY_SECONDS = 5.0
RECENT_SECONDS = 1.0
RECENT_OUTCOMES = 0.5
RECENTLY_FAILING_RATE = 0.05
COMMON_SHARE = 0.5
OUTLIER_RATE = 0.5
OUTLIER_FACTOR = 3.0
SOURCE_MEMORY_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class TargetScore:
    """The log likelihood ratio of a target, and how many entries contributed to it."""

    target: str
    incarnation: str
    score: float
    sources: int
    failed: int
    hung: int


@dataclass(slots=True)
class _Counts:
    """Outcomes that fade with time."""

    answered: float = 0.0
    bad: float = 0.0

    @property
    def total(self) -> float:
        return self.answered + self.bad

    @property
    def rate(self) -> float:
        """The failure rate, one half without any outcome."""
        return (self.bad + 0.5) / (self.total + 1.0)

    def add(self, answered: float, bad: float) -> None:
        self.answered += answered
        self.bad += bad

    def fade(self, factor: float) -> None:
        self.answered *= factor
        self.bad *= factor


@dataclass(slots=True)
class _Track:
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
    The hypothesis of health is the failure rate of the better half of the service's other
    targets, so that some failing ones do not excuse each other. While most of the targets show
    failures at once, the cause is not in any of them, and only one that is far worse than the
    others is condemned. The score never falls below zero: a long healthy past does not delay
    detection.

    References
    ----------
    Page, E. S., Continuous inspection schemes, Biometrika 41, 1954.
    Wald, A., Sequential tests of statistical hypotheses, 1945.
    """

    def __init__(self, *, false_ejection_rate: float, miss_rate: float):
        self.false_ejection_rate = false_ejection_rate
        self.miss_rate = miss_rate
        self._tracks: dict[str, _Track] = {}

    @property
    def threshold(self) -> float:
        """The score at which a target is condemned."""
        return log((1 - self.miss_rate) / self.false_ejection_rate)

    def get_score(self, target: str) -> TargetScore | None:
        """Return the score of a target that evidence was recorded for."""
        track = self._tracks.get(target)
        return _describe(target, track) if track else None

    def list_failing(self) -> list[TargetScore]:
        """Return targets whose score reached the threshold, worst first."""
        is_common = self.is_common()
        found = [
            _describe(target, track)
            for target, track in self._tracks.items()
            if track.score >= self.threshold and (not is_common or self._is_outlier(target))
        ]
        return sorted(found, key=lambda item: -item.score)

    def is_common(self) -> bool:
        """Tell whether most targets that were used of late show failures."""
        used = [item.recent for item in self._tracks.values() if _is_used(item)]
        failing = sum(
            1
            for item in used
            if item.bad >= RECENT_OUTCOMES and item.bad >= RECENTLY_FAILING_RATE * item.total
        )
        return len(used) > 1 and failing > COMMON_SHARE * len(used)

    def _is_outlier(self, target: str) -> bool:
        own = self._tracks[target].recent
        if own.bad < OUTLIER_RATE * own.total:
            return False
        others = [
            item.recent.bad / item.recent.total
            for name, item in self._tracks.items()
            if name != target and _is_used(item)
        ]
        return not others or own.bad >= OUTLIER_FACTOR * median(others) * own.total

    def record(self, now: float, source: str, items: Sequence[Evidence]) -> None:
        """Take one entry's evidence about the service's targets in."""
        for item in items:
            track = self._get_track(item)
            bad = item.failed + item.hung
            track.long.add(item.answered, bad)
            track.recent.add(item.answered, bad)
        for item in items:
            self._score(now, source, item)

    def fade(self, seconds: float, now: float) -> None:
        """Let counts fade, and forget entries that no longer see failures."""
        for track in self._tracks.values():
            track.long.fade(exp(-seconds / MEMORY_SECONDS))
            track.recent.fade(exp(-seconds / RECENT_SECONDS))
            for source, heard_at in list(track.sources.items()):
                if now - heard_at > SOURCE_MEMORY_SECONDS:
                    del track.sources[source]

    def forget(self, target: str) -> None:
        """Drop what is known of a target."""
        self._tracks.pop(target, None)

    def retain(self, targets: set[str]) -> None:
        """Drop what is known of all other targets."""
        for target in self._tracks.keys() - targets:
            del self._tracks[target]

    def _score(self, now: float, source: str, item: Evidence) -> None:
        track = self._tracks[item.target]
        bad = item.failed + item.hung
        peer_rate = self._estimate_peer_rate(item.target)
        track.score += item.answered * log((1 - FAILING_RATE) / (1 - peer_rate))
        if peer_rate < MAXIMUM_PEER_RATE:
            track.score += bad * log(FAILING_RATE / peer_rate)
        track.score = max(0.0, track.score)
        track.failed += item.failed
        track.hung += item.hung
        if bad:
            track.sources[source] = now
        if track.score == 0.0:
            track.failed = track.hung = 0
            track.sources.clear()

    def _get_track(self, evidence: Evidence) -> _Track:
        track = self._tracks.get(evidence.target)
        if track is None or track.incarnation != evidence.incarnation:
            track = _Track(evidence.incarnation)
            self._tracks[evidence.target] = track
        return track

    def _estimate_peer_rate(self, target: str) -> float:
        """Return the pooled failure rate of the better half of the other targets."""
        peers = [track.long for name, track in self._tracks.items() if name != target]
        used = sorted((item for item in peers if item.total > 0.1), key=lambda item: item.rate)
        pooled = _Counts()
        for item in used[: (len(used) + 1) // 2]:
            pooled.add(item.answered, item.bad)
        return min(MAXIMUM_PEER_RATE, max(MINIMUM_PEER_RATE, pooled.rate))


def _is_used(track: _Track) -> bool:
    return track.recent.total >= RECENT_OUTCOMES


def _describe(target: str, track: _Track) -> TargetScore:
    return TargetScore(
        target, track.incarnation, track.score, len(track.sources), track.failed, track.hung
    )
