"""Attempts that wait for an answer."""

from dataclasses import dataclass

from ..avoidance import EvidenceKind
from ..registry import TargetEntry
from ._profile import LatencyThresholds


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that waits for its answer, and what its waiting has told so far."""

    target: TargetEntry
    began_at: float
    patience: LatencyThresholds
    is_trial: bool
    is_slow: bool = False
    is_hung: bool = False
    is_slow_reported: bool = False

    def get_next_time(self) -> float:
        """Return when waiting tells more."""
        if not self.is_slow:
            return self.began_at + self.patience.slow
        if not self.is_hung:
            return self.began_at + self.patience.hung
        return float("inf")

    def advance(self, *, is_predictive: bool) -> EvidenceKind | None:
        """Go on to slow, then to hung, and return what is to be told of it, if anything."""
        if self.is_slow:
            self.is_hung = True
            return EvidenceKind.HUNG
        self.is_slow, self.is_slow_reported = True, is_predictive
        return EvidenceKind.SLOW if is_predictive else None

    def list_success_evidence(self) -> list[EvidenceKind]:
        """Return what an answer tells: what waiting told is taken back."""
        news = [EvidenceKind.PASSED]
        if self.is_slow_reported:
            news.append(EvidenceKind.NOT_SLOW)
        if self.is_hung:
            news.append(EvidenceKind.NOT_HUNG)
        return news
