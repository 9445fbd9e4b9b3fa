"""Permits of a target add up to its limit, and refused callers return as permits become free."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .. import LocalPermits, PermitAllocator, PermitRequest, RateLimit

WINDOW_SECONDS = 4.0


def create_request(*rates: float, has_alternative: bool = False) -> PermitRequest:
    limits = tuple(RateLimit(f"t{number}", rate) for number, rate in enumerate(rates))
    return PermitRequest(1, "s", limits, sum(rates), has_alternative)


def list_granted(allocator: PermitAllocator, rate: float, times: list[float]) -> list[float]:
    request = create_request(rate)
    return [now for now in times if allocator.allocate(now, request).target]


class TestPermitAllocator:
    @pytest.mark.parametrize("rate", [0.1, 0.5, 1.0, 2.5, 20.0])
    def test_permits_are_granted_at_the_rate_of_the_limit(self, rate):
        times = [step / 100 for step in range(6000)]
        granted = list_granted(PermitAllocator(Random(1)), rate, times)
        assert abs(len(granted) - 60.0 * rate) <= max(1.0, 0.5 * rate) + 1

    @given(
        st.floats(0.0, 50.0), st.lists(st.floats(0.0, 2.0), min_size=1, max_size=200), st.data()
    )
    def test_no_window_exceeds_the_users_bound_even_if_the_leader_changes(self, rate, gaps, data):
        """A new leader must not grant a second burst that breaks the bound."""
        change = data.draw(st.integers(0, len(gaps)))
        allocator, now, granted = PermitAllocator(Random(1)), 0.0, []
        for number, gap in enumerate(gaps):
            now += gap
            if number == change:
                allocator = PermitAllocator(Random(2))
            granted += list_granted(allocator, rate, [now] * 60)
        for start in granted:
            got = sum(start <= at < start + WINDOW_SECONDS for at in granted)
            assert got <= 1.5 * rate * WINDOW_SECONDS + 5

    def test_first_possible_target_is_granted(self):
        allocator = PermitAllocator(Random(1))
        request = create_request(1.0, 1.0)
        granted = [allocator.allocate(0.0, request).target for _ in range(3)]
        assert granted == ["t0", "t1", ""]

    def test_denial_tells_when_the_next_permit_is_free(self):
        allocator = PermitAllocator(Random(1))
        request = create_request(2.0, 4.0, has_alternative=True)
        while allocator.allocate(10.0, request).target:
            pass
        reply = allocator.allocate(10.0, request)
        assert (reply.wait, reply.retry_after) == pytest.approx((0.25, 0.25))
        assert allocator.allocate(10.26, request).target == "t1"

    def test_refused_callers_return_one_after_the_other(self):
        allocator = PermitAllocator(Random(1))
        request = create_request(2.0, 2.0)
        replies = [allocator.allocate(0.0, request) for _ in range(8)]
        delays = [reply.retry_after for reply in replies if not reply.target]
        assert delays == pytest.approx([0.5, 0.75, 1.0, 1.25, 1.5, 1.75])

    def test_return_of_very_many_callers_is_spread(self):
        allocator = PermitAllocator(Random(1))
        delays = [allocator.allocate(0.0, create_request(2.0)).retry_after for _ in range(1000)]
        assert max(delays) <= 10.0
        counts = [sum(second <= delay < second + 1 for delay in delays) for second in range(1, 10)]
        assert min(counts) > 60

    def test_limit_of_zero_is_probed_now_and_then(self):
        """Only a response can show that a limit of zero has ended."""
        granted = list_granted(PermitAllocator(Random(1)), 0.0, [step / 10 for step in range(600)])
        assert 2 <= len(granted) <= 7


class TestLocalPermits:
    @pytest.mark.parametrize("entries", [6, 100])
    def test_all_entries_together_take_half_of_the_limit(self, entries):
        parts = [LocalPermits(Random(number)) for number in range(entries)]
        limits = (RateLimit("t", 4.0),)
        taken = [
            now
            for now in (step / 20 for step in range(1200))
            for part in parts
            if part.take(now, limits, entries=entries)
        ]
        assert 0.8 * 120 <= len(taken) <= 1.2 * 120
        for start in taken:
            assert sum(start <= at < start + WINDOW_SECONDS for at in taken) <= 1.5 * 4 * 4 + 5

    def test_entry_that_does_not_know_the_others_takes_none(self):
        part = LocalPermits(Random(1))
        limits = (RateLimit("t", 4.0),)
        assert not any(part.take(now, limits, entries=0) for now in range(60))
