"""Aggregates the entries' evidence about a service and decides which ejections to request."""

from dataclasses import dataclass

from ..configuration import Detection
from ._detector import Detector, TargetScore
from ._messages import Ejection, EvidenceDigest, ReadyTarget, ReportHealth, Suspect

REPORT_REFRESH_SECONDS = 5.0
INITIAL_REPEAT_SECONDS = 0.25
MAXIMUM_PROBATION_FACTOR = 16


@dataclass(slots=True)
class _ObservedEjection:
    """An ejection in force; ``since`` is when this watcher first saw it, on its own clock."""

    since: float
    incarnation: str


class Watcher:
    """Requests ejections for one service, on one of the few entries that watch it.

    Parameters
    ----------
    name : str
        The VM of this entry.
    service : str
        The service that is watched.
    detection : Detection
        Error probabilities of the service's sequential test, and the probation time.

    Notes
    -----
    Failures that only one entry sees may be caused by that entry's network link, so a target is
    suspected only if at least two entries saw failures, or if there is just one entry.
    """

    def __init__(self, name: str, service: str, detection: Detection):
        self.name = name
        self.service = service
        self.detection = detection
        self.detector = Detector(
            false_ejection_rate=detection.false_ejection_rate, miss_rate=detection.miss_rate
        )
        self._observed_ejections: dict[str, _ObservedEjection] = {}
        self._ejection_counts: dict[str, int] = {}
        self._reported_ready: tuple[ReadyTarget, ...] = ()
        self._reported_at = float("-inf")
        self._last_requests: tuple[frozenset[str], tuple[str, ...]] = (frozenset(), ())
        self._repeat_seconds = INITIAL_REPEAT_SECONDS
        self._faded_at = 0.0

    def record(self, now: float, digest: EvidenceDigest) -> None:
        """Update the detector with one entry's evidence."""
        items = [item for item in digest.items if item.service == self.service]
        self.detector.record(now, digest.source, items)

    def report(
        self,
        now: float,
        *,
        ready: tuple[ReadyTarget, ...],
        ejections: tuple[Ejection, ...],
        entries: int,
    ) -> ReportHealth | None:
        """Return a report if one is due, else None.

        No report is due while no target is suspected or ejected, so that healthy services add
        nothing to the log. While ejections are in force, a change of the ready targets is
        reported at once, as it may end some of them, and the view is sent again before it
        expires. A request that is not granted, as the floor forbids it, is repeated with
        exponential backoff.
        """
        self.detector.retain({item.address for item in ready})
        self.detector.fade(now - self._faded_at, now)
        self._faded_at = now
        self._update_ejections(now, ejections)
        suspects = self._list_suspects(entries)
        recovered = self._list_recovered(now)
        report = ReportHealth(self.service, self.name, ready, suspects, recovered)
        is_changed = bool(ejections) and ready != self._reported_ready
        if is_changed or self._is_due(now, report, has_ejections=bool(ejections)):
            self._reported_ready = ready
            self._reported_at = now
            return report
        return None

    def _is_due(self, now: float, report: ReportHealth, *, has_ejections: bool) -> bool:
        requested = (frozenset(item.address for item in report.suspects), report.recovered)
        if requested != self._last_requests:
            self._last_requests = requested
            self._repeat_seconds = INITIAL_REPEAT_SECONDS
        age = now - self._reported_at
        if not report.suspects and not report.recovered:
            return has_ejections and age >= REPORT_REFRESH_SECONDS
        if age < self._repeat_seconds:
            return False
        self._repeat_seconds = min(REPORT_REFRESH_SECONDS, 2 * self._repeat_seconds)
        return True

    def _list_suspects(self, entries: int) -> tuple[Suspect, ...]:
        minimum_sources = min(2, entries)
        return tuple(
            Suspect(item.target, item.incarnation, item.score, _describe_reason(item))
            for item in self.detector.list_failing()
            if item.sources >= minimum_sources and item.target not in self._observed_ejections
        )

    def _list_recovered(self, now: float) -> tuple[str, ...]:
        return tuple(
            target
            for target, ejection in self._observed_ejections.items()
            if now - ejection.since >= self._compute_probation(target)
        )

    def _compute_probation(self, target: str) -> float:
        ejection_count = self._ejection_counts.get(target, 1)
        factor = min(MAXIMUM_PROBATION_FACTOR, 2 ** (ejection_count - 1))
        return self.detection.probation_seconds * factor

    def _update_ejections(self, now: float, ejections: tuple[Ejection, ...]) -> None:
        current = {item.target: item.incarnation for item in ejections}
        for target, incarnation in current.items():
            if target not in self._observed_ejections:
                self._observed_ejections[target] = _ObservedEjection(now, incarnation)
                self._ejection_counts[target] = self._ejection_counts.get(target, 0) + 1
        for target in self._observed_ejections.keys() - current.keys():
            del self._observed_ejections[target]
            self.detector.remove(target)


def _describe_reason(item: TargetScore) -> str:
    return f"{item.hung} hung and {item.failed} failed requests seen by {item.sources} entries"
