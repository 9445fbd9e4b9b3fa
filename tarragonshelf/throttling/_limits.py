"""Limits that targets declare in their responses, as far as this process knows."""

from dataclasses import dataclass
from enum import StrEnum

from ._messages import LimitStatement


class LimitChange(StrEnum):
    """How the known limit of a target changed."""

    DECLARED = "declared"
    CHANGED = "changed"
    LIFTED = "lifted"


@dataclass(slots=True)
class _Limit:
    """Limit of one target; ``since`` is when this process learned of it.

    No permit for a request to the target is free before ``closed_until``.
    """

    rate: float
    since: float
    closed_until: float = float("-inf")


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

    def is_closed(self, now: float, target: str) -> bool:
        """Return whether no request to a target is permitted at the moment."""
        limit = self._limits.get(target)
        return limit is not None and now < limit.closed_until

    def close(self, target: str, until: float) -> None:
        """Record that no request to a target is permitted before a time."""
        limit = self._limits.get(target)
        if limit is not None:
            limit.closed_until = max(limit.closed_until, until)

    def list_rates(self) -> dict[str, float]:
        """Return the limits of all targets that declare one."""
        return {target: limit.rate for target, limit in self._limits.items()}

    def is_changed_by(self, target: str, statement: LimitStatement, *, sent_at: float) -> bool:
        """Return whether a response changes the limit of its target.

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
            return limit is not None and sent_at >= limit.since
        return limit is None or statement.rate != limit.rate

    def record(self, now: float, target: str, rate: float | None) -> LimitChange | None:
        """Set the limit of a target, or remove it if ``rate`` is None; return the change."""
        limit = self._limits.get(target)
        if limit is None:
            if rate is None:
                return None
            self._limits[target] = _Limit(rate, now)
            return LimitChange.DECLARED
        if rate is None:
            del self._limits[target]
            return LimitChange.LIFTED
        if rate == limit.rate:
            return None
        # The next permit was estimated at the previous rate.
        limit.rate, limit.closed_until = rate, float("-inf")
        return LimitChange.CHANGED

    def forget(self, target: str) -> None:
        """Remove the limit of a target that no longer exists."""
        self._limits.pop(target, None)
