"""Sums evidence of a service over entries and decides what to ask the ledger for."""

from dataclasses import dataclass

from ..configuration import Detection
from ._detector import Detector, TargetScore
from ._messages import Ejection, EvidenceDigest, ReadyTarget, ReportHealth, Suspect

REFRESH_SECONDS = 5.0
DECAY_SECONDS = 1.0
MAXIMUM_PROBATION_FACTOR = 16


@dataclass(slots=True)
class _Served:
    """An ejection as this watcher first saw it, by its own clock."""

    since: float
    incarnation: str


class Watcher:
    """One of the few entries that watch a service.

    Parameters
    ----------
    name : str
        The VM of this entry.
    service : str
        The service that is watched.
    detection : Detection
        The service's weighing of detection time against false ejections.

    Notes
    -----
    Failures that only one entry sees point to that entry's link, so a target is condemned only
    when two entries contributed, or when there is just one entry.
    """

    def __init__(self, name: str, service: str, detection: Detection):
        self.name = name
        self.service = service
        self.detection = detection
        self.detector = Detector(
            false_ejection_rate=detection.false_ejection_rate, miss_rate=detection.miss_rate
        )
        self._served: dict[str, _Served] = {}
        self._strikes: dict[str, int] = {}
        self._last_report: ReportHealth | None = None
        self._reported_at = float("-inf")
        self._decayed_at = float("-inf")

    def record(self, now: float, digest: EvidenceDigest) -> None:
        """Take one entry's evidence in."""
        for item in digest.items:
            if item.service == self.service:
                self.detector.record(now, digest.source, item)

    def report(
        self,
        now: float,
        *,
        ready: tuple[ReadyTarget, ...],
        ejections: tuple[Ejection, ...],
        entries: int,
    ) -> ReportHealth | None:
        """Return a report if there is something new or the last one is old."""
        if now - self._decayed_at >= DECAY_SECONDS:
            self.detector.decay(now)
            self._decayed_at = now
        self._note_ejections(now, ejections)
        suspects = self._list_suspects(entries)
        recovered = self._list_recovered(now)
        report = ReportHealth(self.service, self.name, ready, suspects, recovered)
        is_new = self._last_report is None or self._last_report.ready != ready
        is_urgent = bool(suspects or recovered)
        age = now - self._reported_at
        if is_new or age >= REFRESH_SECONDS or (is_urgent and age >= DECAY_SECONDS / 4):
            self._last_report = report
            self._reported_at = now
            return report
        return None

    def _list_suspects(self, entries: int) -> tuple[Suspect, ...]:
        needed = min(2, entries)
        return tuple(
            Suspect(item.target, item.incarnation, item.score, _describe_reason(item))
            for item in self.detector.list_condemned()
            if item.sources >= needed and item.target not in self._served
        )

    def _list_recovered(self, now: float) -> tuple[str, ...]:
        return tuple(
            target
            for target, served in self._served.items()
            if now - served.since >= self._compute_probation(target)
        )

    def _compute_probation(self, target: str) -> float:
        strikes = self._strikes.get(target, 1)
        factor = min(MAXIMUM_PROBATION_FACTOR, 2 ** (strikes - 1))
        return self.detection.probation_seconds * factor

    def _note_ejections(self, now: float, ejections: tuple[Ejection, ...]) -> None:
        current = {item.target: item.incarnation for item in ejections}
        for target, incarnation in current.items():
            if target not in self._served:
                self._served[target] = _Served(now, incarnation)
                self._strikes[target] = self._strikes.get(target, 0) + 1
        for target in self._served.keys() - current.keys():
            del self._served[target]
            self.detector.forget(target)


def _describe_reason(item: TargetScore) -> str:
    return f"{item.hung} hung and {item.failed} failed requests seen by {item.sources} entries"
