"""Sums evidence of a service over entries and decides what to ask the ledger for."""

from dataclasses import dataclass

from ..configuration import Detection
from ._detector import Detector, TargetScore
from ._messages import Ejection, EvidenceDigest, ReadyTarget, ReportHealth, Suspect

REFRESH_SECONDS = 5.0
REPEAT_SECONDS = 0.25
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
        self._reported_ready: tuple[ReadyTarget, ...] = ()
        self._reported_at = float("-inf")
        self._asked: tuple[frozenset[str], tuple[str, ...]] = (frozenset(), ())
        self._repeat_seconds = REPEAT_SECONDS
        self._faded_at = 0.0

    def record(self, now: float, digest: EvidenceDigest) -> None:
        """Take one entry's evidence in."""
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
        """Return a report if there is something to decide.

        While no target is suspected or ejected there is none, so that healthy services cost
        the log nothing. With ejections in force a change of the ready targets is reported at
        once, as it may end some of them, and the view is refreshed before it gets too old. What
        is asked for in vain, as the floor bars it, is asked for less and less often.
        """
        self.detector.retain({item.address for item in ready})
        self.detector.fade(now - self._faded_at, now)
        self._faded_at = now
        self._note_ejections(now, ejections)
        suspects = self._list_suspects(entries)
        recovered = self._list_recovered(now)
        report = ReportHealth(self.service, self.name, ready, suspects, recovered)
        is_changed = bool(ejections) and ready != self._reported_ready
        if is_changed or self._is_due(now, report, is_watched=bool(ejections)):
            self._reported_ready = ready
            self._reported_at = now
            return report
        return None

    def _is_due(self, now: float, report: ReportHealth, *, is_watched: bool) -> bool:
        asked = (frozenset(item.address for item in report.suspects), report.recovered)
        if asked != self._asked:
            self._asked = asked
            self._repeat_seconds = REPEAT_SECONDS
        age = now - self._reported_at
        if not report.suspects and not report.recovered:
            return is_watched and age >= REFRESH_SECONDS
        if age < self._repeat_seconds:
            return False
        self._repeat_seconds = min(REFRESH_SECONDS, 2 * self._repeat_seconds)
        return True

    def _list_suspects(self, entries: int) -> tuple[Suspect, ...]:
        needed = min(2, entries)
        return tuple(
            Suspect(item.target, item.incarnation, item.score, _describe_reason(item))
            for item in self.detector.list_failing()
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
