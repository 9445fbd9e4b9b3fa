"""One entry's part of the allowances while no leader answers."""

from random import Random

from ..utils import TokenBuckets

# Part of a rate that all entries share out until the leader has noticed that entries are out of
# touch. A hub notices a connection that was cut within 1.9 s and a hub that was cut off within
# 2.5 s, and hubs tell each other every second. Until then the leader grants the whole rate.
UNNOTICED_SHARE = 0.45
UNNOTICED_SECONDS = 3.0
# The part that they share out while the leader reserves it for them, and the part after that.
RESERVED_SHARE = 0.9
UNRESERVED_SHARE = 0.05
RESERVED_SECONDS = 10.0
# Tokens of an account without requests accumulate for this long. A token of every entry saved up
# during a long time without a leader would exceed the bound of an account with a small rate.
ACCUMULATION_SECONDS = 0.5


class LocalAllowances:
    """Grants requests of client accounts from this entry's own part of their rates.

    Parameters
    ----------
    random : Random
        Distributes the first tokens of the entries over time.
    """

    def __init__(self, random: Random):
        self.random = random
        # Number of entries of the site as last told by a hub; 0 if it is unknown.
        self.entries = 0
        # When the last request that the leader answered was sent.
        self.answered_at = float("-inf")
        self._buckets = TokenBuckets()
        self._used_at: dict[str, float] = {}
        # When the first token was asked for since the leader answered last.
        self._since: float | None = None

    def take(self, now: float, account: str, rate: float) -> bool:
        """Take a token of an account with a rate, and return whether there was one."""
        if not self.entries:
            return False
        self._since = now if self._since is None else self._since
        # A new bucket holds less than one token: the sum over all entries is that of their shares.
        elapsed = min(now - self._used_at.get(account, now), ACCUMULATION_SECONDS)
        self._used_at[account] = now
        self._buckets.refill(
            now,
            account,
            rate=0.0,
            extra=elapsed * rate * self._compute_share(now) / self.entries,
            capacity=1.0,
            initial=self.random.random(),
        )
        return self._buckets.take(account)

    def record_reply(self, sent_at: float) -> None:
        """Record that the leader answered a request, and discard all tokens."""
        self.answered_at = max(self.answered_at, sent_at)
        self._buckets.reset()
        self._used_at.clear()
        self._since = None

    def _compute_share(self, now: float) -> float:
        if now - self.answered_at >= RESERVED_SECONDS:
            return UNRESERVED_SHARE
        is_unnoticed = now - self._since < UNNOTICED_SECONDS
        return UNNOTICED_SHARE if is_unnoticed else RESERVED_SHARE
