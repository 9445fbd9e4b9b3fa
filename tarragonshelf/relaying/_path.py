"""Decides whether the path of this entry to all targets is lost, or some targets failed."""

from collections.abc import Callable
from enum import StrEnum

from ..base import Effect, Message, StateMachine
from ..registry import TargetEntry
from ._messages import CheckTargets, PathDoubted, TargetChecked, TargetConnected

# One target is checked first, as most doubts come from a single failed target. If it does not
# accept a connection within FIRST_CHECK_SECONDS, which is more than two round trips between
# regions, several others are checked at the same time.
FIRST_CHECKS = 1
FIRST_CHECK_SECONDS = 0.1
FURTHER_CHECKS = 3
# While the path is lost, this many targets are checked at each interval.
RECOVERY_CHECKS = 2
RECOVERY_INTERVAL_SECONDS = 0.25

ChooseTargets = Callable[[float, int, frozenset[str]], tuple[TargetEntry, ...]]


class PathState(StrEnum):
    """What is known about the path of this entry to the targets."""

    OPEN = "open"
    DOUBTED = "doubted"
    LOST = "lost"


class PathMonitor(StateMachine):
    """Checks other targets after a failure, and concludes that the path is lost if none responds.

    Parameters
    ----------
    choose_targets : callable
        Returns up to a number of targets to check, without those excluded by name.

    Notes
    -----
    Only new connections count: while a path is lost, connections that exist may go on.
    """

    def __init__(self, choose_targets: ChooseTargets):
        self.choose_targets = choose_targets
        self.state = PathState.OPEN
        self._changed_at = 0.0
        self._checked_at = 0.0
        self._excluded: set[str] = set()
        self._pending: set[str] = set()
        self._is_second_round = False

    def handle(self, now: float, message: Message) -> list[Effect]:
        """Handle a failure, a new connection, or the result of a check."""
        if isinstance(message, PathDoubted):
            return self._doubt(now, message.target)
        if isinstance(message, TargetConnected):
            self._set_state(now, PathState.OPEN)
            return []
        if isinstance(message, TargetChecked):
            return self._record_check(now, message)
        raise TypeError(f"path monitor cannot handle {type(message).__name__}")

    def tick(self, now: float) -> list[Effect]:
        """Check more targets if the first one does not respond, or all again while none does."""
        since_check = now - self._checked_at
        if self.state == PathState.DOUBTED and not self._is_second_round:
            if since_check >= FIRST_CHECK_SECONDS:
                return self._check_further(now)
            return []
        if self.state == PathState.LOST and since_check >= RECOVERY_INTERVAL_SECONDS:
            self._checked_at = now
            return self._check(now, RECOVERY_CHECKS, frozenset())
        return []

    def get_seconds(self, now: float) -> float:
        """Return for how many seconds the present state has lasted."""
        return now - self._changed_at

    def _set_state(self, now: float, state: PathState) -> None:
        if state != self.state:
            self.state, self._changed_at, self._checked_at = state, now, now
            self._pending.clear()

    def _doubt(self, now: float, target: str) -> list[Effect]:
        if self.state != PathState.OPEN:
            self._excluded.add(target)
            return []
        self._set_state(now, PathState.DOUBTED)
        self._excluded = {target}
        self._is_second_round = False
        effects = self._check(now, FIRST_CHECKS, frozenset(self._excluded))
        if not effects:
            # Without another target nothing tells the path from the target.
            self._set_state(now, PathState.OPEN)
        return effects

    def _record_check(self, now: float, checked: TargetChecked) -> list[Effect]:
        if checked.is_connected:
            self._set_state(now, PathState.OPEN)
            return []
        self._pending.discard(checked.target)
        if self.state != PathState.DOUBTED or self._pending:
            return []
        return self._conclude(now) if self._is_second_round else self._check_further(now)

    def _check_further(self, now: float) -> list[Effect]:
        self._is_second_round = True
        effects = self._check(now, FURTHER_CHECKS, frozenset(self._excluded))
        return effects if self._pending else self._conclude(now)

    def _conclude(self, now: float) -> list[Effect]:
        self._set_state(now, PathState.LOST)
        return []

    def _check(self, now: float, count: int, excluded: frozenset[str]) -> list[Effect]:
        targets = self.choose_targets(now, count, excluded)
        names = {item.identity for item in targets}
        self._excluded |= names
        self._pending |= names
        return [CheckTargets(targets)] if targets else []
