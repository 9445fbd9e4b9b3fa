"""Failure share of a service, as estimated by one of many entries."""

from ...forwarding import FailureMeter

ENTRIES = 36


def create_meter(*, failures_per_second: float, requests_per_second: float) -> FailureMeter:
    """Return a meter after ten seconds at constant rates; both rates are those of the fleet."""
    meter = FailureMeter()
    meter.entries = ENTRIES
    for step in range(1000):
        now = step / 100
        if step % int(100 / failures_per_second) == 0:
            meter.record_failure(now, "s")
        if step % int(100 * ENTRIES / requests_per_second) == 0:
            meter.record_request(now, "s")
    return meter


class TestFailureMeter:
    def test_failure_share_covers_all_entries(self):
        meter = create_meter(failures_per_second=10, requests_per_second=72)
        assert 0.09 < meter.estimate_failure_share(10.0, "s") < 0.21

    def test_failure_share_falls_soon_after_failures_end(self):
        meter = create_meter(failures_per_second=10, requests_per_second=72)
        assert meter.estimate_failure_share(14.0, "s") < 0.05

    def test_own_refusals_count_for_all_entries(self):
        """Guards against idle targets while entries refuse a tenth of the requests themselves."""
        meter = create_meter(failures_per_second=1, requests_per_second=72)
        for step in range(20):
            meter.record_refusal(5.0 + step / 4, "s")
        assert meter.estimate_failure_share(10.0, "s") > 0.5

    def test_failure_share_is_zero_without_requests_and_failures(self):
        assert FailureMeter().estimate_failure_share(0.0, "s") == 0.0
