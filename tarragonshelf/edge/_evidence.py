"""Evidence about targets: what this entry saw, and what others told it."""

from collections.abc import Callable
from dataclasses import replace

from ..avoidance import (
    EvidenceItem,
    EvidenceKind,
    EvidenceNews,
    GrayFailureDetector,
    Standing,
    SuspectRequests,
)
from ..base import Effect
from ..forwarding import FailureMeter
from ..registry import TargetRegistry, TargetState
from ..replication import EmitEvent
from ._messages import SendToHub

# A request was lost, or is about to be.
FAILURES = frozenset({EvidenceKind.BROKEN, EvidenceKind.ERROR, EvidenceKind.HUNG})


class Evidence:
    """Takes evidence in where it counts, and tells the hub of what this entry saw.

    Parameters
    ----------
    vm : str
        The VM of this entry.
    targets, avoidance, suspects, failures
        What evidence changes.
    emit : callable
        Takes effects.
    """

    def __init__(
        self,
        *,
        vm: str,
        targets: TargetRegistry,
        avoidance: GrayFailureDetector,
        suspects: SuspectRequests,
        failures: FailureMeter,
        emit: Callable[[Effect], None],
    ):
        self.vm = vm
        self.targets = targets
        self.avoidance = avoidance
        self.suspects = suspects
        self.failures = failures
        self.emit = emit

    def tell(self, now: float, item: EvidenceItem) -> None:
        """Take in what this entry saw, and send it to the hub for all others."""
        self.take(now, item)
        self.emit(SendToHub(EvidenceNews((replace(item, source=self.vm),))))

    def take(self, now: float, item: EvidenceItem, *, source: str = "") -> None:
        """Take evidence of another entry in, or with no source of this one."""
        if item.kind == EvidenceKind.DEPARTED:
            self._note_departed(now, item.target)
            return
        held = self.targets.get(item.target)
        if item.kind in FAILURES and held is not None:
            self.failures.record_failure(now, held.service)
        before = self.avoidance.get_standing(now, item.target)
        self.avoidance.record(now, item, source)
        self._trace_standing(now, item, before, source or "own")
        if item.kind == EvidenceKind.BROKEN:
            self.suspects.record_broken_connection(now, item.request_digest, item.target)

    def _note_departed(self, now: float, identity: str) -> None:
        held = self.targets.get(identity)
        if held is not None and self.targets.merge(now, replace(held, state=TargetState.LEFT)):
            fields = {"target": identity, "state": TargetState.LEFT, "service": held.service}
            self.emit(EmitEvent("target_changed", fields))

    def _trace_standing(
        self, now: float, item: EvidenceItem, before: Standing, source: str
    ) -> None:
        """Write down that a target is believed to fail or to work again."""
        after = self.avoidance.get_standing(now, item.target)
        if after == before:
            return
        fields = {"target": item.target, "evidence": item.kind.name.lower(), "source": source}
        if after == Standing.AVOIDED and item.kind != EvidenceKind.TRIAL:
            seconds = self.avoidance.estimate_avoidance_seconds(now, item.target)
            self.emit(EmitEvent("target_avoided", {**fields, "seconds": round(seconds, 2)}))
        elif after == Standing.TRUSTED:
            self.emit(EmitEvent("target_recovered", fields))
