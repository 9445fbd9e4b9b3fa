"""Share of the site's retry budget that a hub grants to its entries."""

from ..forwarding import RetryBudgetSettings
from ..utils import TokenBuckets


class RetryPool:
    """Token buckets with the retries of all entries that follow a hub, one for each service.

    Parameters
    ----------
    settings : RetryBudgetSettings
        Retry budget of the whole site.

    Notes
    -----
    Failures come in bursts at a few entries. If the budget were divided among entries, it would
    be used up there and left over elsewhere. Instead each hub holds a share in proportion to the
    number of entries that follow it, and these shares add up to the whole. In any window the
    saved tokens, the tokens earned over time and the tokens earned by requests together stay
    below the budget of the site.
    """

    RATIO_SHARE = 0.9
    # Shares of the slack: the capacity of a bucket, which an idle period can fill; the refill per
    # window; and the tokens of a new bucket, with which a restarted hub begins.
    BURST_SHARE = 0.6
    REFILL_SHARE = 0.2
    INITIAL_SHARE = 0.2

    def __init__(self, settings: RetryBudgetSettings):
        self.settings = settings
        self.entry_share = 0.0
        self._buckets = TokenBuckets()

    def set_share(self, followers: int, total: int) -> None:
        """Set how many of all serving entries follow this hub."""
        self.entry_share = min(1.0, followers / max(1, total))

    def list_tokens(self) -> dict[str, float]:
        """Return the tokens left for each service when its bucket was last used."""
        return self._buckets.list_tokens()

    def record_requests(self, now: float, service: str, count: int) -> None:
        """Add the tokens earned by callers' requests for a service."""
        self._fill(now, service, extra=count * self.settings.ratio * self.RATIO_SHARE)

    def spend(self, now: float, service: str) -> bool:
        """Spend one token on a retry; return False if none is left."""
        self._fill(now, service)
        return self._buckets.take(service)

    def _fill(self, now: float, service: str, *, extra: float = 0.0) -> None:
        slack = self.settings.slack * self.entry_share
        self._buckets.refill(
            now,
            service,
            rate=slack * self.REFILL_SHARE / self.settings.window,
            capacity=max(1.0, slack * self.BURST_SHARE),
            initial=slack * self.INITIAL_SHARE,
            extra=extra,
        )
