"""Estimated share of a service's requests that fail, over all entries."""

from math import exp

# Failures are reported by all entries and arrive often; requests are counted only at this entry,
# so their rate needs a longer average.
FAILURE_TIME_CONSTANT_SECONDS = 2.0
REQUEST_TIME_CONSTANT_SECONDS = 20.0
# Refusals by this entry itself are counted only here, too. With 5 s, entries that get 5 requests
# per second took shares of 0.05 to 0.1 for more than 0.1, and sent orders to failing targets.
REFUSAL_TIME_CONSTANT_SECONDS = 20.0


class _DecayingRate:
    """Exponentially decaying average of events per second."""

    def __init__(self, now: float, seconds: float):
        self.seconds = seconds
        self._started_at = now
        self._value = 0.0
        self._at = now

    def add(self, now: float) -> None:
        self._value = self._decay(now) + 1 / self.seconds
        self._at = now

    def get(self, now: float) -> float:
        # Corrects the bias of an average that has not yet run for several time constants.
        observed = max(1.0, now - self._started_at)
        return self._decay(now) / (1 - exp(-observed / self.seconds))

    def _decay(self, now: float) -> float:
        return self._value * exp(-max(0.0, now - self._at) / self.seconds)


def _add(rates: dict[str, _DecayingRate], now: float, service: str, seconds: float) -> None:
    rates.setdefault(service, _DecayingRate(now, seconds)).add(now)


class FailureMeter:
    """Compares failures reported by all entries with the requests of this entry.

    Requests that this entry refuses by itself, for lack of room or of an allowance, are not
    served either: operators count them in the share of failed requests.
    """

    def __init__(self):
        self.entries = 1
        self._failures: dict[str, _DecayingRate] = {}
        self._requests: dict[str, _DecayingRate] = {}
        self._refusals: dict[str, _DecayingRate] = {}
        self._failed_trials: dict[str, _DecayingRate] = {}

    def record_request(self, now: float, service: str) -> None:
        """Record the start of a request at this entry."""
        _add(self._requests, now, service, REQUEST_TIME_CONSTANT_SECONDS)

    def record_failure(self, now: float, service: str, *, is_trial: bool = False) -> None:
        """Record a failed request at any entry; ``is_trial`` if its target was not trusted."""
        _add(self._failures, now, service, FAILURE_TIME_CONSTANT_SECONDS)
        if is_trial:
            _add(self._failed_trials, now, service, FAILURE_TIME_CONSTANT_SECONDS)

    def record_refusal(self, now: float, service: str) -> None:
        """Record a request that this entry refused without sending it to a target."""
        _add(self._refusals, now, service, REFUSAL_TIME_CONSTANT_SECONDS)

    def estimate_failure_share(self, now: float, service: str) -> float:
        """Return the share of a service's requests that fail, from 0 to 1.

        The rates of requests and refusals of the fleet are extrapolated: every entry is assumed
        to have as many as this one.
        """
        requests = self._requests.get(service)
        if requests is None:
            return 0.0
        failed = self._failures[service].get(now) if service in self._failures else 0.0
        if service in self._refusals:
            failed += self._refusals[service].get(now) * self.entries
            # Refusals bring the share close to where trials begin. If failed trials counted then,
            # they would cause further ones.
            if service in self._failed_trials:
                failed -= self._failed_trials[service].get(now)
        return min(1.0, failed / max(requests.get(now) * self.entries, 1e-9))
