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
# Accounts of which the leader has refused nothing within this time are below their allowance, so
# part of what they may run in 5 s is unused. Entries start with a token for them with such a
# probability that all entries together have START_TOKENS, START_RATE_SECONDS of the rate and
# START_BURST_SHARE of the burst: an entry gets few requests of an account, so without a token at
# first it would refuse nearly all of them for seconds.
SCARCE_SECONDS = 10.0
START_TOKENS = 16.0
START_RATE_SECONDS = 1.0
START_BURST_SHARE = 0.2


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
        # When the leader last refused a request of an account, and when its bucket last started,
        # which may be with a token only once in ``SCARCE_SECONDS``.
        self._refused_at: dict[str, float] = {}
        self._drawn_at: dict[str, float] = {}
        # When the first token was asked for since the leader answered last.
        self._since: float | None = None

    def take(self, now: float, account: str, rate: float, burst: float = 0.0) -> bool:
        """Take a token of an account with a rate, and return whether there was one."""
        if not self.entries:
            return False
        self._since = now if self._since is None else self._since
        # Without a first token a new bucket holds less than one, so that the sum over all entries
        # is that of their shares.
        is_new = account not in self._used_at
        elapsed = min(now - self._used_at.get(account, now), ACCUMULATION_SECONDS)
        self._used_at[account] = now
        self._buckets.refill(
            now,
            account,
            rate=0.0,
            extra=elapsed * rate * self._compute_share(now) / self.entries,
            capacity=1.0,
            initial=self._draw_initial(now, account, rate, burst) if is_new else None,
        )
        return self._buckets.take(account)

    def _draw_initial(self, now: float, account: str, rate: float, burst: float) -> float:
        """Return the tokens of a new bucket."""
        never = float("-inf")
        last = max(self._refused_at.get(account, never), self._drawn_at.get(account, never))
        is_known = now - self.answered_at < RESERVED_SECONDS
        if is_known and now - last >= SCARCE_SECONDS:
            self._drawn_at[account] = now
            tokens = START_TOKENS + START_RATE_SECONDS * rate + START_BURST_SHARE * burst
            if self.random.random() < tokens / self.entries:
                return 1.0
        return self.random.random()

    def record_refusal(self, sent_at: float, account: str) -> None:
        """Record that the leader refused a request of an account."""
        self._refused_at[account] = sent_at

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
