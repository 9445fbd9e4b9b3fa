"""Sequential test of each target against its service's peers."""

from dataclasses import dataclass
from math import log

from ._messages import Evidence

FAILING_RATE = 0.5
MINIMUM_PEER_RATE = 0.01
MAXIMUM_PEER_RATE = 0.45
PEER_MEMORY = 0.8
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
class _Track:
    incarnation: str
    score: float = 0.0
    answered: float = 0.0
    bad: float = 0.0
    failed: int = 0
    hung: int = 0
    sources: dict[str, float] | None = None


class Detector:
    """Cumulative sequential probability ratio test for the targets of one service.

    Parameters
    ----------
    false_ejection_rate, miss_rate : float
        Error probabilities of one test; their ratio sets the threshold.

    Notes
    -----
    The hypothesis of health is the failure rate of the service's other targets, so that a
    service that is slow or failing as a whole condemns nobody. The score never falls below
    zero: a long healthy past does not delay detection.

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

    def list_condemned(self) -> list[TargetScore]:
        """Return targets whose score reached the threshold, worst first."""
        found = [
            _describe(target, track)
            for target, track in self._tracks.items()
            if track.score >= self.threshold
        ]
        return sorted(found, key=lambda item: -item.score)

    def record(self, now: float, source: str, evidence: Evidence) -> None:
        """Take one entry's evidence about one target in."""
        track = self._get_track(evidence)
        bad = evidence.failed + evidence.hung
        peer_rate = self._estimate_peer_rate(evidence.target)
        track.score += evidence.answered * log((1 - FAILING_RATE) / (1 - peer_rate))
        track.score += bad * log(FAILING_RATE / peer_rate)
        track.score = max(0.0, track.score)
        track.answered = track.answered + evidence.answered
        track.bad = track.bad + bad
        track.failed += evidence.failed
        track.hung += evidence.hung
        if bad:
            track.sources[source] = now
        if track.score == 0.0:
            track.failed = track.hung = 0
            track.sources.clear()

    def decay(self, now: float) -> None:
        """Let old rates fade and forget entries that no longer see failures."""
        for track in self._tracks.values():
            track.answered *= PEER_MEMORY
            track.bad *= PEER_MEMORY
            for source, heard_at in list(track.sources.items()):
                if now - heard_at > SOURCE_MEMORY_SECONDS:
                    del track.sources[source]

    def forget(self, target: str) -> None:
        """Drop what is known of a target."""
        self._tracks.pop(target, None)

    def _get_track(self, evidence: Evidence) -> _Track:
        track = self._tracks.get(evidence.target)
        if track is None or track.incarnation != evidence.incarnation:
            track = _Track(evidence.incarnation, sources={})
            self._tracks[evidence.target] = track
        return track

    def _estimate_peer_rate(self, target: str) -> float:
        """Return the mean failure rate of the other targets, each counted alike."""
        rates = [
            (track.bad + 0.01) / (track.bad + track.answered + 1.0)
            for name, track in self._tracks.items()
            if name != target
        ]
        rate = sum(rates) / len(rates) if rates else MINIMUM_PEER_RATE
        return min(MAXIMUM_PEER_RATE, max(MINIMUM_PEER_RATE, rate))


def _describe(target: str, track: _Track) -> TargetScore:
    return TargetScore(
        target, track.incarnation, track.score, len(track.sources), track.failed, track.hung
    )
