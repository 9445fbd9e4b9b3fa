"""Attempts that wait for an answer."""

from dataclasses import dataclass

from ..avoidance import EvidenceKind
from ..registry import TargetEntry
from ._profile import Patience


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that waits for its answer, and what its waiting has told so far."""

    target: TargetEntry
    began_at: float
    patience: Patience
    is_trial: bool
    told: EvidenceKind | None = None

    def get_next_time(self) -> float:
        """Return when waiting tells more."""
        if self.told is None:
            return self.began_at + self.patience.slow
        if self.told == EvidenceKind.SLOW:
            return self.began_at + self.patience.hung
        return float("inf")

    def get_success(self) -> EvidenceKind | None:
        """Return what an answer tells now."""
        if self.told is not None:
            is_slow = self.told == EvidenceKind.SLOW
            return EvidenceKind.ANSWERED if is_slow else EvidenceKind.ANSWERED_LATE
        return EvidenceKind.PASSED if self.is_trial else None
