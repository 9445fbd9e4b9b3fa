"""Recent requests of each account, and the max-min fair shares of accounts."""

from math import exp, sqrt

# Time constant with which requests fade from the counts. An entry gets some 5 requests per second
# of 80 accounts, so counts over a shorter time would be mostly chance.
MEMORY_SECONDS = 10.0
# Below this count of recent requests no account's share is known.
MINIMUM_REQUESTS = 8.0
# Counts below this are forgotten.
MINIMUM_COUNT = 0.05
# Shares are computed from counts that were sorted within this time.
SORT_SECONDS = 0.2


class FadingSum:
    """Sum of amounts that fade exponentially.

    Parameters
    ----------
    seconds : float
        Time after which an amount has faded to 1/e.
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount."""
        self._value = self.read(now) + amount
        self._updated_at = max(now, self._updated_at)

    def read(self, now: float) -> float:
        """Return the sum at a time."""
        return self._value * exp(-max(0.0, now - self._updated_at) / self.seconds)


class AccountDemand:
    """Recent requests of one rank at one service by account."""

    def __init__(self):
        self._counts: dict[str, float] = {}
        # The counts are those at this time; later requests are added with a higher weight.
        self._base_at = 0.0
        self._sorted: list[float] = []
        self._sorted_at = float("-inf")

    def record(self, now: float, account: str) -> None:
        """Count a request, whether it is admitted or not."""
        if now - self._base_at > MEMORY_SECONDS:
            self._rebase(now)
        weight = exp((now - self._base_at) / MEMORY_SECONDS)
        self._counts[account] = self._counts.get(account, 0.0) + weight

    def estimate_excess(self, now: float, account: str, shed: float) -> float:
        """Return the share of an account's requests that is above its max-min fair share.

        The result is 0 unless the account is above it, and above the mean of all accounts, by more
        than one standard deviation of its count.

        Parameters
        ----------
        now : float
            The time in seconds.
        account : str
            The account.
        shed : float
            Share of all requests for which there is no room.
        """
        if now - self._sorted_at >= SORT_SECONDS:
            self._rebase(now)
            self._sorted, self._sorted_at = sorted(self._counts.values()), now
        total = sum(self._sorted)
        if total < MINIMUM_REQUESTS:
            return 0.0
        # If even the mean is above the fair share, all accounts are; nobody is refused for that.
        share = max(
            compute_fair_share(self._sorted, (1 - shed) * total), total / len(self._sorted)
        )
        count = self._counts.get(account, 0.0)
        certain = count - sqrt(count)
        return 1 - share / certain if certain > share else 0.0

    def _rebase(self, now: float) -> None:
        factor = exp(-max(0.0, now - self._base_at) / MEMORY_SECONDS)
        counts = ((account, factor * count) for account, count in self._counts.items())
        self._counts = {account: count for account, count in counts if count >= MINIMUM_COUNT}
        self._base_at = now


def compute_fair_share(demands: list[float], capacity: float) -> float:
    """Return the largest share that the max-min fair division of a capacity gives anyone.

    ``demands`` are in ascending order. Whoever demands less than the result gets all of it.
    """
    left = capacity
    for index, demand in enumerate(demands):
        equal_share = left / (len(demands) - index)
        if demand >= equal_share:
            return equal_share
        left -= demand
    return float("inf")
