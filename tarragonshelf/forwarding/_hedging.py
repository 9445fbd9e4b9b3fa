"""Early hedged requests: which slow requests go to a second target within a limit."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from math import exp, floor, log

from ..avoidance import GrayFailureDetector, Standing
from ..registry import TargetEntry, TargetRegistry
from ..throttling import DeclaredLimits, RequestedPauses
from ..utils import TokenBuckets

# Unused hedges that one entry may save up for a service. With more, entries that were idle could
# hedge at the same time when their targets become slow.
MAXIMUM_TOKENS = 2.0
# A service is short of room if less than this share of the slots of its trusted targets is free.
# The figures of other entries are up to 0.4 s old, so the last free slots may be taken already.
MINIMUM_FREE_SHARE = 0.3
# A refusal by a full target ends hedging at its service for this time. Bursts last 3 to 6 s and
# cause further refusals, which extend it.
REFUSAL_SECONDS = 1.0
# Number of recent response times that determine the quantile of a route: 20 of them lie above
# the 95th percentile.
MEMORY_COUNT = 400
# A quantile is estimated only once this many response times are expected above it.
MINIMUM_COUNT_ABOVE = 3
# Relative width of a bin: it bounds the error of a quantile, which is small compared to that of
# the sample.
BIN_WIDTH = 0.1
_LOG_WIDTH = log(1 + BIN_WIDTH)
MINIMUM_BIN_SECONDS = 0.0005
# Response times above all bins, 60 s, are counted in the last one.
BIN_COUNT = 1 + int(log(60.0 / MINIMUM_BIN_SECONDS) / _LOG_WIDTH)
# The weights are rescaled before they lose precision.
MAXIMUM_WEIGHT = 1e9


@dataclass(frozen=True, slots=True)
class HedgingSettings:
    """Limit and delay of early hedged requests.

    ``share`` is the maximum share of a service's repeatable requests that are hedged early;
    ``quantile`` is the share of a route's response times that are shorter than the delay.
    """

    share: float
    quantile: float = 0.95


class HedgeDenial(StrEnum):
    """Why a slow request is not hedged early."""

    LIMIT = "limit"
    NO_ROOM = "no-room"
    NO_TARGET = "no-target"
    NO_BUDGET = "no-budget"


class HedgeOutcome(StrEnum):
    """What became of the hedge of a request; ``LOST`` hedges gave no answer."""

    WON = "won"
    LOST = "lost"
    DENIED = "denied"


@dataclass(frozen=True, slots=True)
class HedgeResult:
    """Outcome of a request's hedge, and the reason if it was denied."""

    outcome: HedgeOutcome
    denial: HedgeDenial | None = None


class ResponseTimeHistogram:
    """Decayed histogram of response times, with bins of equal width on a logarithmic scale."""

    def __init__(self):
        self._bins = [0.0] * BIN_COUNT
        self._total = 0.0
        # Later response times count more, instead of decaying all earlier ones each time.
        self._weight = 1.0

    def record(self, seconds: float) -> None:
        """Count a response time."""
        position = floor(log(max(seconds, MINIMUM_BIN_SECONDS) / MINIMUM_BIN_SECONDS) / _LOG_WIDTH)
        self._bins[min(position, BIN_COUNT - 1)] += self._weight
        self._total += self._weight
        self._weight *= 1 + 1 / MEMORY_COUNT
        if self._weight > MAXIMUM_WEIGHT:
            self._bins = [count / self._weight for count in self._bins]
            self._total /= self._weight
            self._weight = 1.0

    def estimate(self, quantile: float) -> float | None:
        """Return a quantile in seconds, or None while too few response times are counted."""
        above = (1 - quantile) * self._total
        if above < MINIMUM_COUNT_ABOVE * self._weight:
            return None
        for position in range(BIN_COUNT - 1, -1, -1):
            count = self._bins[position]
            if count >= above:
                return MINIMUM_BIN_SECONDS * exp(_LOG_WIDTH * (position + 1 - above / count))
            above -= count
        return None


class HedgingPolicy:
    """Decides which slow requests of one entry are hedged early.

    Parameters
    ----------
    settings : HedgingSettings
        The operator's limit.
    targets : TargetRegistry
        Targets that announced themselves.
    avoidance : GrayFailureDetector
        Standing of each target.
    limits : DeclaredLimits
        Limits of the targets that declare one.
    pauses : RequestedPauses
        Pauses that targets requested.
    count_outstanding : callable
        Returns the known outstanding requests of all entries at a target.

    Notes
    -----
    Each repeatable request earns ``share`` of a hedge for its service, and a new service has none.
    So in any window an entry hedges at most ``share`` of the requests in it, and
    ``MAXIMUM_TOKENS`` that were saved up before. The retry budget applies as well.
    """

    def __init__(
        self,
        settings: HedgingSettings,
        *,
        targets: TargetRegistry,
        avoidance: GrayFailureDetector,
        limits: DeclaredLimits,
        pauses: RequestedPauses,
        count_outstanding: Callable[[str], int],
    ):
        self.settings = settings
        self.targets = targets
        self.avoidance = avoidance
        self.limits = limits
        self.pauses = pauses
        self.count_outstanding = count_outstanding
        self._tokens = TokenBuckets()
        self._response_times: dict[str, ResponseTimeHistogram] = {}

    def record_request(self, now: float, service: str) -> None:
        """Record the first attempt of a repeatable request."""
        self._tokens.refill(
            now,
            service,
            rate=0.0,
            capacity=MAXIMUM_TOKENS,
            initial=0.0,
            extra=self.settings.share,
        )

    def record_response(self, route: str, seconds: float) -> None:
        """Record how long the first attempt of a request took at a working target.

        If its hedge was answered first, ``seconds`` is how long the first attempt had taken until
        then. Without these the quantile would fall with each hedge that wins.
        """
        self._response_times.setdefault(route, ResponseTimeHistogram()).record(seconds)

    def get_delay(self, route: str) -> float | None:
        """Return after how many seconds a request is hedged, or None while that is unknown."""
        histogram = self._response_times.get(route)
        return None if histogram is None else histogram.estimate(self.settings.quantile)

    def find_denial(self, now: float, service: str) -> HedgeDenial | None:
        """Return why no request of a service may be hedged now, or None if one may."""
        if not self._has_room(now, service):
            return HedgeDenial.NO_ROOM
        if self._tokens.list_tokens().get(service, 0.0) < 1.0:
            return HedgeDenial.LIMIT
        return None

    def spend(self, service: str) -> None:
        """Count a hedge that is sent; only call this if there is no denial."""
        self._tokens.take(service)

    def list_unsuitable(self, now: float, service: str) -> frozenset[str]:
        """Return the targets of a service that must not get an early hedge."""
        return frozenset(
            item.identity
            for item in self.targets.list_usable(service)
            if not self._is_suitable(now, item)
        )

    def _has_room(self, now: float, service: str) -> bool:
        slots = free = 0
        for item in self.targets.list_usable(service):
            if self.avoidance.was_full(now, item.identity, seconds=REFUSAL_SECONDS):
                return False
            if self._is_accepting(now, item):
                slots += item.slots
                free += max(0, item.slots - self.count_outstanding(item.identity))
        return free > 0 and free >= MINIMUM_FREE_SHARE * slots

    def _is_accepting(self, now: float, target: TargetEntry) -> bool:
        is_trusted = self.avoidance.get_standing(now, target.identity) == Standing.TRUSTED
        return is_trusted and not self.pauses.is_paused(now, target.identity)

    def _is_suitable(self, now: float, target: TargetEntry) -> bool:
        return (
            self._is_accepting(now, target)
            and self.limits.get_rate(target.identity) is None
            and self.count_outstanding(target.identity) < target.slots
        )
