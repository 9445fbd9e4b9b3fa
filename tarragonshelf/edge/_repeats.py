"""Asks for repeats that are on their way."""

from ..forwarding import RetryBudgets

# A hub of the region answers within some milliseconds, one of another region within 50.
ANSWER_SECONDS = 0.1


class RepeatAsks:
    """Keeps what was asked of the hub, and settles it without the hub if need be.

    Parameters
    ----------
    budgets : RetryBudgets
        The entry's own part, for times when no hub answers.
    """

    def __init__(self, budgets: RetryBudgets):
        self.budgets = budgets
        self._number = 0
        self._open: dict[int, tuple[float, str]] = {}

    def begin(self, now: float, service: str) -> int:
        """Note an ask and return its number."""
        self._number += 1
        self._open[self._number] = (now, service)
        return self._number

    def end(self, number: int) -> bool:
        """Take in that the hub answered, and tell whether the ask was still open."""
        return self._open.pop(number, None) is not None

    def settle_late(self, now: float, *, is_lost: bool) -> list[tuple[int, bool]]:
        """Return the asks that the hub left open for too long, with the entry's own answer.

        With ``is_lost`` the hub is gone, and all that are open are settled.
        """
        late = [
            (number, service)
            for number, (at, service) in self._open.items()
            if is_lost or now - at >= ANSWER_SECONDS
        ]
        for number, _ in late:
            del self._open[number]
        return [(number, self.budgets.spend(now, service)) for number, service in late]
