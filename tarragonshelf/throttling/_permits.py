"""Allocation of the requests that targets with a limit accept."""

from random import Random

from ..utils import TokenBuckets
from ._messages import PermitReply, PermitRequest, RateLimit

# A target that names a lower limit still gets requests at this rate, as only its responses show
# that the limit has ended.
MINIMUM_REQUESTS_PER_SECOND = 0.1
# Permits that a target earns without being asked for accumulate for this long, but at least one
# does. Requests arrive at random, so without it a part of the limit would stay unused.
BURST_SECONDS = 0.5
# Callers that no target may take are asked to return within this time.
MAXIMUM_RETURN_SECONDS = 10.0
# While there is no leader, targets with a limit get no requests for this long, and refused callers
# return up to twice as late. Electing a leader takes one or two seconds.
LEADERLESS_WAIT_SECONDS = 1.0
# Entries without a leader share out this part of a limit among them. Their number may be out of
# date by a factor of two after a partition.
LOCAL_SHARE = 0.5
# Buckets of targets that nobody asked for in this time are removed.
RETENTION_SECONDS = 60.0


def _get_usable_rate(limit: RateLimit) -> float:
    """Return how many requests per second are sent to a target with a limit."""
    return max(limit.rate, MINIMUM_REQUESTS_PER_SECOND)


class PermitAllocator:
    """Grants each target's permits at the rate of its limit.

    Only the leader of the controls allocates permits, so that all entries of a site share one
    bucket for each target.

    Parameters
    ----------
    random : Random
        Spreads callers whose return cannot be scheduled.

    Notes
    -----
    A new leader knows nothing of the permits that the previous one granted, so a new bucket
    holds one permit only.
    """

    def __init__(self, random: Random):
        self.random = random
        self._buckets = TokenBuckets()
        # By service, when the next refused caller should return.
        self._next_return_at: dict[str, float] = {}

    def allocate(self, now: float, request: PermitRequest) -> PermitReply:
        """Grant a permit for the first possible target of a request, or deny it."""
        self._buckets.remove_idle(now, RETENTION_SECONDS)
        wait = float("inf")
        for limit in request.limits:
            rate = _get_usable_rate(limit)
            capacity = max(1.0, rate * BURST_SECONDS)
            tokens = self._buckets.refill(
                now, limit.target, rate=rate, capacity=capacity, initial=1.0
            )
            if self._buckets.take(limit.target):
                return PermitReply(request.number, limit.target)
            wait = min(wait, (1.0 - tokens) / rate)
        retry_after = wait if request.has_alternative else self._schedule(now, request, wait)
        return PermitReply(request.number, "", wait, retry_after)

    def deny(self, request: PermitRequest) -> PermitReply:
        """Deny a request that reached a control which does not lead."""
        wait = LEADERLESS_WAIT_SECONDS
        return PermitReply(request.number, "", wait, self.random.uniform(wait, 2 * wait))

    def _schedule(self, now: float, request: PermitRequest, wait: float) -> float:
        """Return after how many seconds a refused caller should return.

        Callers return one after the other, as fast as the targets accept them. If that takes too
        long, the return is spread at random.
        """
        return_at = max(now + wait, self._next_return_at.get(request.service, 0.0))
        if return_at - now > MAXIMUM_RETURN_SECONDS:
            return self.random.uniform(wait, max(MAXIMUM_RETURN_SECONDS, 2 * wait))
        rate = max(request.service_rate, MINIMUM_REQUESTS_PER_SECOND)
        self._next_return_at[request.service] = return_at + 1.0 / rate
        return return_at - now


class LocalPermits:
    """One entry's part of each limit while no leader can be asked.

    Parameters
    ----------
    random : Random
        Distributes the first permits of the entries over time.
    """

    def __init__(self, random: Random):
        self.random = random
        self._buckets = TokenBuckets()

    def take(self, now: float, limits: tuple[RateLimit, ...], *, entries: int) -> str:
        """Take a permit and return its target, or an empty string if there is none.

        Parameters
        ----------
        now : float
            The time in seconds.
        limits : tuple of RateLimit
            Targets in the order of preference.
        entries : int
            Number of entries of the site; 0 if it is unknown.
        """
        if not entries:
            return ""
        for limit in limits:
            self._buckets.refill(
                now,
                limit.target,
                rate=_get_usable_rate(limit) * LOCAL_SHARE / entries,
                capacity=1.0,
                initial=self.random.random(),
            )
            if self._buckets.take(limit.target):
                return limit.target
        return ""

    def reset(self) -> None:
        """Discard all permits, as the leader can be asked again."""
        self._buckets.reset()
