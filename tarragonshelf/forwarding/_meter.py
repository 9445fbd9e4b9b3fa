"""How much of a service fails at the moment, over all entries."""

from math import exp

# Evidence of all entries comes often; requests are counted here only, and seldom.
FAILURE_SECONDS = 2.0
REQUEST_SECONDS = 20.0


class _Rate:
    """Events in each second, older ones counting less."""

    def __init__(self, now: float, seconds: float):
        self.seconds = seconds
        self._began_at = now
        self._value = 0.0
        self._at = now

    def add(self, now: float) -> None:
        self._value = self._decay(now) + 1 / self.seconds
        self._at = now

    def get(self, now: float) -> float:
        # What was not watched yet is taken to be like the rest.
        watched = max(1.0, now - self._began_at)
        return self._decay(now) / (1 - exp(-watched / self.seconds))

    def _decay(self, now: float) -> float:
        return self._value * exp(-max(0.0, now - self._at) / self.seconds)


class FailureMeter:
    """Compares failures that all entries tell of with the requests that this entry takes."""

    def __init__(self):
        self.entries = 1
        self._failures: dict[str, _Rate] = {}
        self._requests: dict[str, _Rate] = {}

    def record_request(self, now: float, service: str) -> None:
        """Take in that a request of this entry begins."""
        self._requests.setdefault(service, _Rate(now, REQUEST_SECONDS)).add(now)

    def record_failure(self, now: float, service: str) -> None:
        """Take in that a request failed at some entry."""
        self._failures.setdefault(service, _Rate(now, FAILURE_SECONDS)).add(now)

    def estimate_share(self, now: float, service: str) -> float:
        """Return which share of a service's requests fails; other entries take as many as this."""
        failures = self._failures.get(service)
        requests = self._requests.get(service)
        if failures is None or requests is None:
            return 0.0
        return min(1.0, failures.get(now) / max(requests.get(now) * self.entries, 1e-9))
