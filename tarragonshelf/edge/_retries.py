"""Retry requests that wait for the reply of the hub."""

from ..forwarding import RetryBudgets

# A hub in the same region replies within a few milliseconds, in another region within 50 ms.
REPLY_TIMEOUT_SECONDS = 0.1


class PendingRetryRequests:
    """Retry requests sent to the hub, decided locally if the hub does not reply in time.

    Parameters
    ----------
    budgets : RetryBudgets
        The entry's own retry budgets, which are used while no hub replies.
    """

    def __init__(self, budgets: RetryBudgets):
        self.budgets = budgets
        self._number = 0
        self._pending_requests: dict[int, tuple[float, str]] = {}

    def add(self, now: float, service: str) -> int:
        """Record a new request and return its number."""
        self._number += 1
        self._pending_requests[self._number] = (now, service)
        return self._number

    def complete(self, number: int) -> bool:
        """Remove a request that the hub answered, and return whether it was still pending."""
        return self._pending_requests.pop(number, None) is not None

    def decide_timed_out(self, now: float, *, is_lost: bool) -> list[tuple[int, bool]]:
        """Decide the requests that timed out, and return their numbers and decisions.

        Parameters
        ----------
        now : float
            The time in seconds.
        is_lost : bool
            Whether the hub is disconnected, so that all pending requests are decided.
        """
        timed_out = [
            (number, service)
            for number, (at, service) in self._pending_requests.items()
            if is_lost or now - at >= REPLY_TIMEOUT_SECONDS
        ]
        for number, _ in timed_out:
            del self._pending_requests[number]
        return [(number, self.budgets.spend(now, service)) for number, service in timed_out]
