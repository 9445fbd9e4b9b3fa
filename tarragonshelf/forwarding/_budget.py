"""The budget of repeats that all entries share."""

from dataclasses import dataclass

from ..utils import TokenBuckets


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """What a site allows for each service, over all entries.

    ``ratio`` repeats for each request, and ``slack`` besides, in each ``window`` seconds.
    """

    ratio: float
    slack: float
    window: float


class RetryBudgets:
    """Bounds repeats by service, each entry with its part.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request of a service.
    slack : float
        Repeats that all entries together may make besides, in each window.
    window : float
        Length of a window in seconds.

    Notes
    -----
    Every arrival at a target after the first counts, also one that was refused there. The
    entries' parts add up to the whole: the ratio holds for the requests that an entry took, the
    slack is divided by the number of entries. Part of both is kept back, as windows slide and
    the number of entries is known late.

    An entry that hears its hub asks there and only counts; its own part is for times without.
    """

    RATIO_SHARE = 0.85
    SLACK_SHARE = 0.3
    # What a quiet while leaves; a window may see this of every entry besides what it earns.
    MAXIMUM_TOKENS = 1.2

    def __init__(self, *, ratio: float, slack: float, window: float, initial_tokens: float = 1.0):
        self.initial_tokens = initial_tokens
        self.ratio = ratio * self.RATIO_SHARE
        self.slack = slack * self.SLACK_SHARE
        self.window = window
        self.entries = 1
        self._buckets = TokenBuckets()
        self._requests: dict[str, int] = {}

    def record_request(self, now: float, service: str) -> None:
        """Take in that a caller's request for a service begins."""
        self._fill(now, service, extra=self.ratio)
        self._requests[service] = self._requests.get(service, 0) + 1

    def pop_request_counts(self) -> dict[str, int]:
        """Return how many requests came for each service since the last time."""
        requests, self._requests = self._requests, {}
        return requests

    def clear_tokens(self) -> None:
        """Begin anew: what was not used while a hub held the budget is not kept."""
        self._buckets.reset()

    def spend(self, now: float, service: str) -> bool:
        """Take one repeat from the budget, or return False."""
        self._fill(now, service)
        return self._buckets.take(service)

    def get_tokens(self, service: str) -> float:
        """Return how many repeats are left at the moment."""
        return self._buckets.list_tokens().get(service, 0.0)

    def _fill(self, now: float, service: str, *, extra: float = 0.0) -> None:
        self._buckets.refill(
            now,
            service,
            rate=self.slack / (self.window * max(1, self.entries)),
            capacity=self.MAXIMUM_TOKENS,
            initial=self.initial_tokens,
            extra=extra,
        )
