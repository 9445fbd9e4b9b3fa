"""How much of a service fails, as one of many entries sees it."""

from ...forwarding import FailureMeter

ENTRIES = 36


def create_meter(*, failures_per_second: float, requests_per_second: float) -> FailureMeter:
    """Return a meter after ten steady seconds; the requests are those of all entries."""
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
    def test_the_share_is_that_of_all_entries(self):
        meter = create_meter(failures_per_second=10, requests_per_second=72)
        assert 0.09 < meter.estimate_share(10.0, "s") < 0.21

    def test_it_falls_soon_after_failures_end(self):
        meter = create_meter(failures_per_second=10, requests_per_second=72)
        assert meter.estimate_share(14.0, "s") < 0.05

    def test_a_service_without_requests_or_failures_has_none(self):
        assert FailureMeter().estimate_share(0.0, "s") == 0.0
