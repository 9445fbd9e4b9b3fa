"""Rate limits of accounts, divided among the entries."""

from ..configuration import Account, Document
from ..utils import TokenBuckets


class AccountRateLimiter:
    """Token buckets of one entry for its share of each account's rate.

    Parameters
    ----------
    document : Document
        Configuration with the accounts, their rates in requests per second and their bursts in
        requests.
    previous : AccountRateLimiter, optional
        Limiter whose buckets are reused, so that a change of configuration does not grant a new
        burst to every account.

    Notes
    -----
    A caller uses only the entries whose addresses it received. The share of one entry is
    therefore 1 / ``addresses_per_caller``, or 1 / the number of entries if there are fewer.
    """

    def __init__(self, document: Document, *, previous: "AccountRateLimiter | None" = None):
        self._accounts: dict[str, Account] = {item.name: item for item in document.accounts}
        self._entries_per_caller = document.addresses_per_caller
        self._buckets = previous._buckets if previous else TokenBuckets()

    def take(self, now: float, account: str, entries: int) -> float:
        """Take a token for one request and return 0, or the seconds until one is available.

        ``entries`` is the number of entries that are alive. Accounts without a rate always get 0.
        """
        limit = self._accounts.get(account)
        if limit is None:
            return 0.0
        entries_in_use = max(1, min(self._entries_per_caller, entries))
        rate = limit.rate / entries_in_use
        burst = max(1.0, limit.burst / entries_in_use)
        tokens = self._buckets.refill(now, account, rate=rate, capacity=burst)
        return 0.0 if self._buckets.take(account) else (1 - tokens) / rate
