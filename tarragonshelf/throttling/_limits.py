"""Limits that targets declare in their responses, as far as this process knows."""

from dataclasses import dataclass
from enum import StrEnum

from ._messages import LimitStatement


class LimitChange(StrEnum):
    """How a response changed the known limit of its target."""

    DECLARED = "declared"
    CHANGED = "changed"
    LIFTED = "lifted"


@dataclass(slots=True)
class _Limit:
    """Limit of one target; ``since`` is when this process learned of it."""

    rate: float
    since: float


class DeclaredLimits:
    """The limit of each target that declares one; times in seconds, rates in requests per second.

    Notes
    -----
    A target declares its limit in each response for as long as the limit is in force. So a
    response without a limit lifts it, but only if its request was sent after the limit was
    known: responses overtake each other, and one to an earlier request may be older than the
    limit.
    """

    def __init__(self):
        self._limits: dict[str, _Limit] = {}

    def get_rate(self, target: str) -> float | None:
        """Return the limit of a target, or None if it declares none."""
        limit = self._limits.get(target)
        return None if limit is None else limit.rate

    def get_age(self, now: float, target: str) -> float:
        """Return for how long a target's limit has been known; 0 without a limit."""
        limit = self._limits.get(target)
        return 0.0 if limit is None else now - limit.since

    def list_rates(self) -> dict[str, float]:
        """Return the limits of all targets that declare one."""
        return {target: limit.rate for target, limit in self._limits.items()}

    def find_change(
        self, target: str, statement: LimitStatement, *, sent_at: float
    ) -> LimitChange | None:
        """Return how a response changes the limit of its target, or None if it does not.

        Parameters
        ----------
        target : str
            The target that responded.
        statement : LimitStatement
            What its response says.
        sent_at : float
            When the request was sent.
        """
        limit = self._limits.get(target)
        if statement.rate is None:
            is_newer = limit is not None and sent_at >= limit.since
            return LimitChange.LIFTED if is_newer else None
        if limit is None:
            return LimitChange.DECLARED
        return LimitChange.CHANGED if statement.rate != limit.rate else None

    def record(self, now: float, target: str, rate: float | None) -> None:
        """Set the limit of a target, or remove it if ``rate`` is None."""
        limit = self._limits.get(target)
        if rate is None:
            self._limits.pop(target, None)
        elif limit is None:
            self._limits[target] = _Limit(rate, now)
        else:
            limit.rate = rate

    def forget(self, target: str) -> None:
        """Remove the limit of a target that no longer exists."""
        self._limits.pop(target, None)
