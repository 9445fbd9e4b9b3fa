"""Rates of accounts, held over the fleet by shares."""

from dataclasses import dataclass

from ..configuration import Account, Document


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class AccountRates:
    """Token buckets of one entry for its share of each account's rate.

    Parameters
    ----------
    document : Document
        Names the accounts, their rates in requests a second and their bursts.
    previous : AccountRates, optional
        Whose buckets go on, so that a change of configuration gives nobody a new burst.

    Notes
    -----
    A caller uses only the entries that it was told of, so the share is one of
    ``addresses_per_caller``, or one of the fleet's entries where there are fewer.
    """

    def __init__(self, document: Document, *, previous: "AccountRates | None" = None):
        self._accounts: dict[str, Account] = {item.name: item for item in document.accounts}
        self._sharers = document.addresses_per_caller
        self._buckets: dict[str, _Bucket] = previous._buckets if previous else {}

    def take(self, now: float, account: str, entries: int) -> float:
        """Take one request and return 0, or the seconds until one would be let in."""
        limit = self._accounts.get(account)
        if limit is None:
            return 0.0
        sharers = max(1, min(self._sharers, entries))
        rate = limit.rate / sharers
        burst = max(1.0, limit.burst / sharers)
        bucket = self._buckets.setdefault(account, _Bucket(burst, now))
        bucket.tokens = min(burst, bucket.tokens + (now - bucket.filled_at) * rate)
        bucket.filled_at = now
        if bucket.tokens < 1:
            return (1 - bucket.tokens) / rate
        bucket.tokens -= 1
        return 0.0
