"""Response time and size statistics of services and routes."""

from dataclasses import dataclass
from math import exp, log

# Weight of a new value in the exponentially weighted averages.
SMOOTHING = 0.05
# Estimates before the first response is measured.
INITIAL_WORK_SECONDS = 0.25
INITIAL_SIZE_BYTES = 3000.0
INITIAL_SPREAD = 0.6
# A route's thresholds follow its response times once this many were measured. Until then an
# attempt counts as slow after this share of the route's objective and as hung after all of it.
MINIMUM_SAMPLE_COUNT = 2
INITIAL_SLOW_SHARE = 0.5
# The initial spread counts as much as this many measured response times.
INITIAL_SPREAD_WEIGHT = 3
# Response times of successful requests are log-normal. An attempt counts as slow, and then as
# hung, at this many standard deviations above the mean of their logarithms, which one successful
# request in fifteen and one in a thousand exceed.
SLOW_DEVIATIONS = 1.5
HUNG_DEVIATIONS = 3.0
MINIMUM_SLOW_SECONDS = 0.15
MINIMUM_HUNG_SECONDS = 0.3
# Rare requests take several times as long as others. Deviations are clipped at this many standard
# deviations, so that one such request hardly raises the thresholds.
MAXIMUM_DEVIATION = 3.0
MINIMUM_SPREAD = 0.2
# Assumed share of slow attempts that fail until the first one has ended. Slowness is reported as
# evidence while the average share is at least PREDICTIVE_FAILED_SHARE; the smoothing factor is the
# weight of one ended attempt in that average.
INITIAL_FAILED_SHARE = 0.5
PREDICTIVE_FAILED_SHARE = 0.2
SLOW_OUTCOME_SMOOTHING = 0.15
# Shorter response times count as this, so that their logarithm stays bounded.
MINIMUM_RESPONSE_SECONDS = 0.001


class ServiceProfile:
    """Exponentially weighted averages over the successful requests of one service."""

    def __init__(self):
        self.work_seconds = INITIAL_WORK_SECONDS
        self.size_bytes = INITIAL_SIZE_BYTES

    def record(self, seconds: float, size: int) -> None:
        """Record a successful request that took ``seconds`` and moved ``size`` bytes."""
        # Queueing at a busy target is not work, so times far above the average are capped.
        capped = min(seconds, 3 * self.work_seconds)
        self.work_seconds += SMOOTHING * (capped - self.work_seconds)
        self.size_bytes += SMOOTHING * (size - self.size_bytes)


@dataclass(frozen=True, slots=True)
class LatencyThresholds:
    """Seconds without a response after which an attempt counts as slow, and as hung."""

    slow: float
    hung: float

    @property
    def hedge(self) -> float:
        """Seconds after which a hedged request is likely to be answered before the first one."""
        return (self.slow * self.hung) ** 0.5


class SlowAttemptOutcomes:
    """Share of the slow attempts that end without a good response.

    Most of them do where failing targets hang. Where failing targets reset connections instead,
    slowness predicts little, and reporting it would only move work away from working targets.
    """

    def __init__(self):
        self._failed_share = INITIAL_FAILED_SHARE

    @property
    def is_predictive(self) -> bool:
        """Whether slowness predicts failure well enough to be reported as evidence."""
        return self._failed_share >= PREDICTIVE_FAILED_SHARE

    def record(self, *, is_answered: bool) -> None:
        """Record the end of a slow attempt."""
        self._failed_share += SLOW_OUTCOME_SMOOTHING * ((not is_answered) - self._failed_share)


class ResponseTimeModel:
    """Log-normal model of the response times of one route's successful requests.

    Parameters
    ----------
    objective : float
        The operator's target for the response time in seconds, used until enough response times
        are measured.
    """

    def __init__(self, objective: float):
        self.objective = objective
        self._count = 0
        self._log_mean = log(INITIAL_WORK_SECONDS)
        self._log_variance = INITIAL_SPREAD**2

    @property
    def thresholds(self) -> LatencyThresholds:
        """Latency thresholds of a request at a healthy, idle target."""
        if self._count < MINIMUM_SAMPLE_COUNT:
            return LatencyThresholds(INITIAL_SLOW_SHARE * self.objective, self.objective)
        spread = max(MINIMUM_SPREAD, self._log_variance**0.5)
        slow = exp(self._log_mean + SLOW_DEVIATIONS * spread)
        hung = exp(self._log_mean + HUNG_DEVIATIONS * spread)
        return LatencyThresholds(max(MINIMUM_SLOW_SECONDS, slow), max(MINIMUM_HUNG_SECONDS, hung))

    def record(self, seconds: float) -> None:
        """Record the response time of a successful request."""
        value = log(max(seconds, MINIMUM_RESPONSE_SECONDS))
        self._count += 1
        if self._count == 1:
            # One measurement is a better estimate of the mean than the initial value.
            self._log_mean = value
            return
        bound = MAXIMUM_DEVIATION * max(MINIMUM_SPREAD, self._log_variance**0.5)
        deviation = max(-bound, min(bound, value - self._log_mean))
        self._log_mean += max(SMOOTHING, 1 / self._count) * deviation
        weight = max(SMOOTHING, 1 / (self._count + INITIAL_SPREAD_WEIGHT))
        self._log_variance += weight * (deviation**2 - self._log_variance)
