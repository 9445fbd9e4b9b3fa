"""Evidence about targets, observed by this entry or received from others."""

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
from ..throttling import DeclaredLimits
from ._messages import SendToHub

# What targets say about their request rate limits.
LIMIT_EVIDENCE = frozenset({EvidenceKind.LIMITED, EvidenceKind.UNLIMITED})
# Evidence that a request failed or is likely to fail.
FAILURE_EVIDENCE = frozenset({EvidenceKind.BROKEN, EvidenceKind.ERROR, EvidenceKind.HUNG})


class EvidenceProcessor:
    """Applies evidence to the state of this entry, and reports own evidence to the hub.

    Parameters
    ----------
    vm : str
        The VM of this entry.
    targets, avoidance, limits, suspects, failures
        Objects that evidence updates.
    emit : callable
        Receives effects.
    """

    def __init__(
        self,
        *,
        vm: str,
        targets: TargetRegistry,
        avoidance: GrayFailureDetector,
        limits: DeclaredLimits,
        suspects: SuspectRequests,
        failures: FailureMeter,
        emit: Callable[[Effect], None],
    ):
        self.vm = vm
        self.targets = targets
        self.avoidance = avoidance
        self.limits = limits
        self.suspects = suspects
        self.failures = failures
        self.emit = emit

    def report(self, now: float, item: EvidenceItem) -> None:
        """Apply evidence of this entry, and send it to the hub, which forwards it to others."""
        self.apply(now, item)
        self.emit(SendToHub(EvidenceNews((replace(item, source=self.vm),))))

    def apply(self, now: float, item: EvidenceItem, *, source: str = "") -> None:
        """Apply evidence of another entry, or of this one if ``source`` is empty."""
        if item.kind == EvidenceKind.DEPARTED:
            self._record_departed(now, item.target)
            return
        if item.kind in LIMIT_EVIDENCE:
            self._record_limit(now, item, source or "own")
            return
        held = self.targets.get(item.target)
        before = self.avoidance.get_standing(now, item.target)
        if item.kind in FAILURE_EVIDENCE and held is not None:
            is_trial = before != Standing.TRUSTED
            self.failures.record_failure(now, held.service, is_trial=is_trial)
        self.avoidance.record(now, item, source)
        self._emit_standing_change(now, item, before, source or "own")
        if item.kind == EvidenceKind.BROKEN:
            self.suspects.record_broken_connection(now, item.request_digest, item.target)

    def _record_departed(self, now: float, identity: str) -> None:
        held = self.targets.get(identity)
        if held is not None and self.targets.merge(now, replace(held, state=TargetState.LEFT)):
            fields = {"target": identity, "state": TargetState.LEFT, "service": held.service}
            self.emit(EmitEvent("target_changed", fields))

    def _record_limit(self, now: float, item: EvidenceItem, source: str) -> None:
        age = self.limits.get_age(now, item.target)
        rate = item.rate if item.kind == EvidenceKind.LIMITED else None
        change = self.limits.record(now, item.target, rate)
        if change is not None:
            fields = {"target": item.target, "rate": rate, "age": round(age, 3), "source": source}
            self.emit(EmitEvent(f"limit_{change}", fields))

    def _emit_standing_change(
        self, now: float, item: EvidenceItem, before: Standing, source: str
    ) -> None:
        """Emit an event if evidence made a target avoided, or trusted again."""
        after = self.avoidance.get_standing(now, item.target)
        if after == before:
            return
        fields = {"target": item.target, "evidence": item.kind.name.lower(), "source": source}
        if after == Standing.AVOIDED and item.kind != EvidenceKind.TRIAL:
            seconds = self.avoidance.estimate_avoidance_seconds(now, item.target)
            self.emit(EmitEvent("target_avoided", {**fields, "seconds": round(seconds, 2)}))
        elif after == Standing.TRUSTED:
            self.emit(EmitEvent("target_recovered", fields))
