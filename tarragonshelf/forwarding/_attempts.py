"""Attempts that wait for a response, at targets and at other entries."""

from dataclasses import dataclass

from ..avoidance import EvidenceKind
from ..registry import TargetEntry
from ..relaying import RelayRecord
from ._profile import LatencyThresholds


@dataclass(slots=True)
class OpenAttempt:
    """An attempt without a response, and the evidence reported about its target so far.

    It counts as slow and then as hung once it passes the corresponding threshold.
    """

    target: TargetEntry
    started_at: float
    thresholds: LatencyThresholds
    is_trial: bool
    is_slow: bool = False
    is_hung: bool = False
    is_slow_reported: bool = False

    def get_next_threshold_time(self) -> float:
        """Return when the attempt passes its next threshold."""
        if not self.is_slow:
            return self.started_at + self.thresholds.slow
        if not self.is_hung:
            return self.started_at + self.thresholds.hung
        return float("inf")

    def advance(self, *, is_predictive: bool) -> EvidenceKind | None:
        """Mark the attempt as slow, then as hung, and return the evidence to report, if any."""
        if self.is_slow:
            self.is_hung = True
            return EvidenceKind.HUNG
        self.is_slow, self.is_slow_reported = True, is_predictive
        return EvidenceKind.SLOW if is_predictive else None

    def list_success_evidence(self) -> list[EvidenceKind]:
        """Return the evidence of a good response, which retracts earlier slow and hung reports."""
        evidence = [EvidenceKind.PASSED]
        if self.is_slow_reported:
            evidence.append(EvidenceKind.NOT_SLOW)
        if self.is_hung:
            evidence.append(EvidenceKind.NOT_HUNG)
        return evidence


@dataclass(frozen=True, slots=True)
class OpenRelay:
    """A request that another entry forwards, with the attempts that are reserved for it there."""

    relay: RelayRecord
    reserved_executions: int
    started_at: float = 0.0
    is_slow: bool = False

    def get_next_threshold_time(self) -> float:
        """Return infinity: the other entry judges its targets itself."""
        return float("inf")
