"""The part of a site's budget of repeats that a hub gives out."""

from ..forwarding import RetryBudgetSettings
from ..utils import TokenBuckets


class RepeatPool:
    """Holds the repeats of all entries that follow a hub.

    Parameters
    ----------
    terms : BudgetTerms
        What the whole site allows.

    Notes
    -----
    Failures come in bursts at a few entries: a part for each entry would be used up there and
    left over elsewhere. The parts of the hubs add up to the whole, as each has the share of its
    entries; in any window what was saved, what is earned over time and what requests earn stay
    below the terms together.
    """

    RATIO_SHARE = 0.9
    # Of the slack: what a quiet while leaves, what is earned over time, and what a hub that has
    # just started begins with.
    SAVED_SHARE = 0.6
    EARNED_SHARE = 0.2
    FIRST_SHARE = 0.2

    def __init__(self, terms: RetryBudgetSettings):
        self.terms = terms
        self.share = 0.0
        self._buckets = TokenBuckets()

    def set_share(self, followers: int, total: int) -> None:
        """Take in how many of all entries follow this hub."""
        self.share = min(1.0, followers / max(1, total))

    def list_tokens(self) -> dict[str, float]:
        """Return how many repeats were left for each service at its last request."""
        return self._buckets.list_tokens()

    def record_requests(self, now: float, service: str, count: int) -> None:
        """Take in that callers' requests for a service came."""
        self._fill(now, service, extra=count * self.terms.ratio * self.RATIO_SHARE)

    def spend(self, now: float, service: str) -> bool:
        """Take one repeat, or return False."""
        self._fill(now, service)
        return self._buckets.take(service)

    def _fill(self, now: float, service: str, *, extra: float = 0.0) -> None:
        slack = self.terms.slack * self.share
        self._buckets.refill(
            now,
            service,
            rate=slack * self.EARNED_SHARE / self.terms.window,
            capacity=max(1.0, slack * self.SAVED_SHARE),
            initial=slack * self.FIRST_SHARE,
            extra=extra,
        )
