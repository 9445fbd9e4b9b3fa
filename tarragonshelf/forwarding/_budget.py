"""The retry budget that all entries share."""

from dataclasses import dataclass

from ..utils import TokenBuckets


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Retry budget of a site: separate for each service, shared by all entries.

    In any ``window`` seconds, ``ratio`` retries are allowed for each request, plus ``slack``
    retries.
    """

    ratio: float
    slack: float
    window: float


class RetryBudgets:
    """Token buckets for one entry's part of the retry budget of each service.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of a service.
    slack : float
        Additional retries that all entries together may make in each window.
    window : float
        Length of a window in seconds.
    initial_tokens : float, optional
        Tokens of a new bucket.

    Notes
    -----
    Every delivery to a target after the first one counts as a retry, even if the target refused
    the request. The parts of the entries add up to the whole budget: the ratio applies to the
    requests that an entry received, the slack is divided by the number of entries. Only
    ``RATIO_SHARE`` and ``SLACK_SHARE`` of them are used, because windows slide and entries learn
    late how many of them there are.

    While an entry is in contact with its hub, it requests retries there and uses this class only
    to count requests; its own part is spent while no hub is reachable.
    """

    RATIO_SHARE = 0.85
    SLACK_SHARE = 0.3
    # Limits the tokens saved up while there are no retries: in any window, each entry may spend
    # this many on top of those it earns.
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
        """Record the start of a caller's request for a service."""
        self._fill(now, service, extra=self.ratio)
        self._requests[service] = self._requests.get(service, 0) + 1

    def pop_request_counts(self) -> dict[str, int]:
        """Return the number of requests per service since the previous call."""
        requests, self._requests = self._requests, {}
        return requests

    def clear_tokens(self) -> None:
        """Reset the buckets to their initial tokens: none are saved up while the hub decides."""
        self._buckets.reset()

    def spend(self, now: float, service: str) -> bool:
        """Take one retry from the budget, or return False if it is used up."""
        self._fill(now, service)
        return self._buckets.take(service)

    def get_tokens(self, service: str) -> float:
        """Return how many retries of a service were left when its bucket was last used."""
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
