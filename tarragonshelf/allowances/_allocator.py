"""Allocation of the requests that client accounts may run over all entries."""

from collections import deque
from random import Random

from ..utils import TokenBuckets
from ._messages import AllowanceReply, AllowanceRequest

# Part of an account's rate that the leader grants. The rest is left for entries that are cut off
# for so long that the leader no longer reserves anything for them.
LEADER_SHARE = 0.95
# Part of the 20 requests that the bound of the users' specification leaves beyond the rate, used
# as additional capacity of each bucket. Requests arrive at random and in groups, so without it
# accounts with a small burst would be refused below their rate.
EXTRA_CAPACITY = 8.0
# Tokens of each bucket at the start of a term: a number, seconds of the rate, and a share of the
# burst. Requests have waited for the leader, who would refuse most of them from empty buckets.
# Together with what the previous leader granted in the same 5 s they stay within the bound, also
# after a planned change without a gap; an election takes about as long as the seconds here.
START_TOKENS = 8.0
START_RATE_SECONDS = 0.4
START_BURST_SHARE = 0.1
# Entries that were in touch within this time may still use local shares, so that a part of the
# rate is reserved for them. ``LocalAllowances`` reduces its shares after the same time.
IN_TOUCH_WINDOW_SECONDS = 10.0
# Callers are scheduled one after the other up to this time, and spread at random beyond it.
SCHEDULE_SECONDS = 10.0


class EntryCounts:
    """Numbers of entries in touch within the last ``IN_TOUCH_WINDOW_SECONDS``."""

    def __init__(self):
        # When each count was last seen; counts decrease, as a smaller earlier one can no longer be
        # the maximum.
        self._counts: deque[tuple[float, int]] = deque()

    def record(self, now: float, count: int) -> None:
        """Record how many entries are in touch."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while now - self._counts[0][0] > IN_TOUCH_WINDOW_SECONDS:
            self._counts.popleft()

    def compute_share(self) -> float:
        """Return the present count as a share of the maximum; 1 if no entry was in touch."""
        if not self._counts or not self._counts[0][1]:
            return 1.0
        return self._counts[-1][1] / self._counts[0][1]


class AllowanceAllocator:
    """Grants requests of client accounts at their rates.

    Only the leader of the controls allocates, so that all entries share one bucket an account.

    Parameters
    ----------
    random : Random
        Spreads callers whose return cannot be scheduled.

    Notes
    -----
    A new leader knows nothing of what the previous one granted, so that in a new term each
    bucket starts with few tokens.
    """

    def __init__(self, random: Random):
        self.random = random
        self.entry_counts = EntryCounts()
        self._term = 0
        self._started_at = 0.0
        self._buckets = TokenBuckets()
        # By account, when the next refused caller should return.
        self._next_return_at: dict[str, float] = {}

    def allocate(
        self, now: float, request: AllowanceRequest, *, rate: float, burst: float, term: int
    ) -> AllowanceReply:
        """Grant as many of the requests of an account as its bucket allows.

        Parameters
        ----------
        now : float
            The time in seconds.
        request : AllowanceRequest
            The account, and how many requests it wants to run.
        rate, burst : float
            Requests per second that the account may run, and those beyond them at once. A rate
            of 0 means that there is no limit.
        term : int
            The term of the leader.
        """
        if term != self._term:
            self._term, self._started_at = term, now
            self._buckets = TokenBuckets()
            self._next_return_at = {}
        if rate <= 0.0:
            return AllowanceReply(request.number, request.count, is_decided=True)
        name = request.account
        refill_rate = LEADER_SHARE * rate * self.entry_counts.compute_share()
        capacity = max(1.0, burst) + EXTRA_CAPACITY
        # All buckets of a term fill from its start, also those that are first used later.
        first_tokens = START_TOKENS + START_RATE_SECONDS * rate + START_BURST_SHARE * burst
        initial = min(capacity, first_tokens + refill_rate * (now - self._started_at))
        tokens = self._buckets.refill(
            now, name, rate=refill_rate, capacity=capacity, initial=initial
        )
        granted = 0
        while granted < request.count and self._buckets.take(name):
            granted += 1
        refused = request.count - granted
        if not refused:
            return AllowanceReply(request.number, granted, is_decided=True)
        wait = (1.0 - (tokens - granted)) / (LEADER_SHARE * rate)
        retry_after = self._schedule(now, name, wait, refused, rate)
        return AllowanceReply(request.number, granted, retry_after, 1.0 / rate, True)

    def _schedule(self, now: float, account: str, wait: float, refused: int, rate: float) -> float:
        """Return after how many seconds the first of the refused callers should return.

        Callers return one after the other at the rate of the account. If that takes too long,
        their return is spread at random.
        """
        return_at = max(now + wait, self._next_return_at.get(account, 0.0))
        if return_at - now > SCHEDULE_SECONDS:
            start = max(wait, SCHEDULE_SECONDS)
            return self.random.uniform(start, 2 * start)
        # Bounded, so that one large request does not keep others from being scheduled for long.
        self._next_return_at[account] = min(return_at + refused / rate, now + 2 * SCHEDULE_SECONDS)
        return return_at - now
