"""Rates of accounts, held over the fleet by shares."""

from ..configuration import Account, Document
from ..utils import TokenBuckets


class AccountRateLimiter:
    """Token buckets of one entry for its share of each account's rate.

    Parameters
    ----------
    document : Document
        Names the accounts, their rates in requests a second and their bursts.
    previous : AccountRateLimiter, optional
        Whose buckets go on, so that a change of configuration gives nobody a new burst.

    Notes
    -----
    A caller uses only the entries that it was told of, so the share is one of
    ``addresses_per_caller``, or one of the fleet's entries where there are fewer.
    """

    def __init__(self, document: Document, *, previous: "AccountRateLimiter | None" = None):
        self._accounts: dict[str, Account] = {item.name: item for item in document.accounts}
        self._sharers = document.addresses_per_caller
        self._buckets = previous._buckets if previous else TokenBuckets()

    def take(self, now: float, account: str, entries: int) -> float:
        """Take one request and return 0, or the seconds until one would be let in."""
        limit = self._accounts.get(account)
        if limit is None:
            return 0.0
        sharers = max(1, min(self._sharers, entries))
        rate = limit.rate / sharers
        burst = max(1.0, limit.burst / sharers)
        tokens = self._buckets.fill(now, account, rate=rate, most=burst)
        return 0.0 if self._buckets.take(account) else (1 - tokens) / rate
