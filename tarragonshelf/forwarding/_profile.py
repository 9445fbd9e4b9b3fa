"""What an entry has learnt about the requests of services and routes."""

from dataclasses import dataclass
from math import exp, log

# How fast the averages follow; one new value in so many counts.
SMOOTHING = 0.05
# Before anything was measured.
FIRST_WORK_SECONDS = 0.25
FIRST_SIZE_BYTES = 3000.0
FIRST_SPREAD = 0.6
# So many successes are needed before a route's times are trusted, and the guess of their spread
# counts like so many.
MEASURED_COUNT = 2
# Until then half of what the operator aims at is slow, and all of it a hang.
FIRST_SLOW_SHARE = 0.5
SPREAD_COUNT = 3
# Successes take log-normal times. An attempt counts as slow, and then as hung, at so many standard
# deviations above the mean of their logarithms: one in fifteen and one in a thousand get there.
SLOW_DEVIATIONS = 1.5
HUNG_DEVIATIONS = 3.0
MINIMUM_SLOW_SECONDS = 0.15
MINIMUM_HUNG_SECONDS = 0.3
# Rare long requests take several times as long as others; one alone hardly widens the bound.
MAXIMUM_DEVIATION = 3.0
MINIMUM_SPREAD = 0.2
# Of slow attempts so many fail before any was seen to end; from the second share on slowness is
# told. One end in so many counts.
FIRST_FAILED_SHARE = 0.5
OMINOUS_SHARE = 0.2
SLOW_SMOOTHING = 0.15
# The shortest time that is told from none, in seconds.
RESOLUTION_SECONDS = 0.001


class ServiceProfile:
    """Averages of successful requests."""

    def __init__(self):
        self.work_seconds = FIRST_WORK_SECONDS
        self.size_bytes = FIRST_SIZE_BYTES

    def record(self, seconds: float, size: int) -> None:
        """Take one success in."""
        # Waiting at a busy target is no work: what is far above the average counts less.
        capped = min(seconds, 3 * self.work_seconds)
        self.work_seconds += SMOOTHING * (capped - self.work_seconds)
        self.size_bytes += SMOOTHING * (size - self.size_bytes)


@dataclass(frozen=True, slots=True)
class LatencyThresholds:
    """After how many seconds without an answer an attempt counts as slow, and as hung."""

    slow: float
    hung: float

    @property
    def hedge(self) -> float:
        """After how many seconds a second attempt is likelier to be answered first."""
        return (self.slow * self.hung) ** 0.5


class SlowAttemptOutcomes:
    """Which share of the slow attempts gets no good answer in the end.

    Where targets hang in their spells it is most of them; where they reset connections slowness
    says little, and telling of it would only send work elsewhere.
    """

    def __init__(self):
        self._failed_share = FIRST_FAILED_SHARE

    @property
    def is_predictive(self) -> bool:
        """Whether slowness is worth telling."""
        return self._failed_share >= OMINOUS_SHARE

    def record(self, *, is_answered: bool) -> None:
        """Take the end of one slow attempt in."""
        self._failed_share += SLOW_SMOOTHING * ((not is_answered) - self._failed_share)


class ResponseTimeModel:
    """How long successful requests of one route take.

    Parameters
    ----------
    objective : float
        The time in seconds that the operator aims at, used until times are known.
    """

    def __init__(self, objective: float):
        self.objective = objective
        self._count = 0
        self._log_mean = log(FIRST_WORK_SECONDS)
        self._log_variance = FIRST_SPREAD**2

    @property
    def patience(self) -> LatencyThresholds:
        """How long a sound and idle target seldom takes to answer."""
        if self._count < MEASURED_COUNT:
            return LatencyThresholds(FIRST_SLOW_SHARE * self.objective, self.objective)
        spread = max(MINIMUM_SPREAD, self._log_variance**0.5)
        slow = exp(self._log_mean + SLOW_DEVIATIONS * spread)
        hung = exp(self._log_mean + HUNG_DEVIATIONS * spread)
        return LatencyThresholds(max(MINIMUM_SLOW_SECONDS, slow), max(MINIMUM_HUNG_SECONDS, hung))

    def record(self, seconds: float) -> None:
        """Take one success in."""
        value = log(max(seconds, RESOLUTION_SECONDS))
        self._count += 1
        if self._count == 1:
            # The first one says more of the scale than the guess before it.
            self._log_mean = value
            return
        most = MAXIMUM_DEVIATION * max(MINIMUM_SPREAD, self._log_variance**0.5)
        deviation = max(-most, min(most, value - self._log_mean))
        self._log_mean += max(SMOOTHING, 1 / self._count) * deviation
        weight = max(SMOOTHING, 1 / (self._count + SPREAD_COUNT))
        self._log_variance += weight * (deviation**2 - self._log_variance)
