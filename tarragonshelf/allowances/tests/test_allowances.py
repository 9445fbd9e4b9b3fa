"""Allocation, combination and local shares of allowances, each on its own."""

from random import Random

import pytest

from .. import (
    AllowanceAllocator,
    AllowanceReply,
    AllowanceRequest,
    AllowanceRequests,
    LocalAllowances,
)
from .._allocator import EXTRA_CAPACITY, LEADER_SHARE, EntryCounts


def ask(allocator, now, count, *, rate=10.0, burst=0.0, term=1):
    request = AllowanceRequest(1, "a", count)
    return allocator.allocate(now, request, rate=rate, burst=burst, term=term)


class TestAllocator:
    def test_refused_callers_return_one_after_the_other(self):
        """Guards against refused callers that all return at the same time."""
        allocator = AllowanceAllocator(Random(1))
        first, second = ask(allocator, 0.0, 11), ask(allocator, 0.0, 2)
        assert (first.granted, second.granted) == (9, 0)
        assert first.interval == 0.1
        assert second.retry_after == pytest.approx(first.retry_after + 2 * 0.1)

    def test_callers_beyond_the_schedule_are_spread_at_random(self):
        allocator = AllowanceAllocator(Random(1))
        ask(allocator, 0.0, 1000)
        times = [ask(allocator, 0.0, 1).retry_after for _ in range(20)]
        assert all(10.0 <= item <= 20.0 for item in times)
        assert len(set(times)) == 20

    def test_new_term_starts_with_few_tokens(self):
        """Guards against a full burst from each of several leaders in turn."""
        allocator = AllowanceAllocator(Random(1))
        ask(allocator, 0.0, 1, burst=50.0)
        assert ask(allocator, 100.0, 100, burst=50.0).granted == 50 + EXTRA_CAPACITY
        assert ask(allocator, 100.0, 100, burst=50.0, term=2).granted == 8 + 4 + 5

    def test_rate_is_reduced_while_entries_may_use_local_shares(self):
        allocator = AllowanceAllocator(Random(1))
        allocator.entry_counts.record(0.0, 4)
        allocator.entry_counts.record(1.0, 1)
        ask(allocator, 1.0, 100, rate=400.0)
        granted = sum(
            ask(allocator, 1.0 + step / 100, 100, rate=400.0).granted for step in range(101)
        )
        assert granted == pytest.approx(400.0 * LEADER_SHARE / 4, abs=2)

    def test_reduction_ends_after_the_window(self):
        """Guards against an allowance that stays reduced after entries were removed for good."""
        counts = EntryCounts()
        counts.record(0.0, 8)
        shares = []
        for second in range(1, 13):
            counts.record(float(second), 4)
            shares.append(counts.compute_share())
        assert shares == [0.5] * 10 + [1.0] * 2


class TestRequests:
    def test_demand_during_a_request_is_sent_as_one_request(self):
        """Load: an account at 7 times its rate; messages are bounded by round trips.

        The waiters are served in order, and the refused ones return in order.
        """
        requests = AllowanceRequests(Random(1), 0.3)
        first = requests.add(0.0, "a", 1, "w0")
        assert [requests.add(0.0, "a", 2, f"w{index}") for index in range(1, 50)] == [None] * 49
        shares, second = requests.complete(0.1, AllowanceReply(first.number, 1, is_decided=True))
        assert [item.waiter for item in shares] == ["w0"]
        assert second.count == 98
        reply = AllowanceReply(second.number, 3, 0.5, 0.1, True)
        shares, _ = requests.complete(0.2, reply)
        shares = [(item.granted, item.retry_after) for item in shares]
        assert shares[:3] == [(2, 0.5), (1, 0.5), (0, 0.6)]

    def test_late_reply_is_not_used(self):
        """Guards against permission that was meant for an earlier window."""
        requests = AllowanceRequests(Random(1), 0.3)
        first = requests.add(0.0, "a", 1, "w0")
        shares, _ = requests.complete(0.31, AllowanceReply(first.number, 1, is_decided=True))
        assert [(item.granted, item.is_decided) for item in shares] == [(0, False)]

    def test_suspended_process_uses_at_most_one_reply_of_an_account(self):
        """Guards against saved-up replies: the clock of a suspended machine stands still."""
        requests = AllowanceRequests(Random(1), 0.3)
        first = requests.add(0.0, "a", 1, "w0")
        for index in range(9):
            requests.add(0.0, "a", 1, f"v{index}")
        reply = AllowanceReply(first.number, 10, is_decided=True)
        assert [len(requests.complete(0.0, reply)[0]) for _ in range(3)] == [1, 0, 0]


class TestLocalAllowances:
    @pytest.mark.parametrize(
        ("rate", "age", "share"), [(200.0, 0.0, 0.45), (2.0, 0.0, 0.45), (200.0, 20.0, 0.05)]
    )
    def test_shares_of_all_entries_add_up(self, rate, age, share):
        """Load: 103 entries that lose the leader at once, with an account at 7 times its rate."""
        granted = 0
        for index in range(103):
            local = LocalAllowances(Random(index))
            local.entries = 103
            local.record_reply(-age)
            local.record_refusal(0.0, "a")
            granted += sum(local.take(step / 20, "a", rate) for step in range(50))
        assert granted == pytest.approx(share * rate * 2.45, abs=13)

    def test_tokens_of_long_silence_do_not_add_up(self):
        """Guards against a burst of one request an entry of an account with a small rate."""
        granted = 0
        for index in range(103):
            local = LocalAllowances(Random(index))
            local.entries = 103
            granted += sum(local.take(at, "a", 1.0) for at in (0.0, 1000.0, 2000.0))
        assert granted <= 2

    def test_entry_that_was_never_told_a_number_has_no_share(self):
        local = LocalAllowances(Random(1))
        assert not any(local.take(step / 10, "a", 1000.0) for step in range(100))

    @pytest.mark.parametrize(("rate", "burst"), [(1.0, 0.0), (10.0, 10.0), (100.0, 100.0)])
    def test_first_tokens_of_all_entries_are_bounded(self, rate, burst):
        """Guards against a token at each entry for an account with a small rate, and again."""
        bound = 16 + rate + 0.2 * burst
        granted = 0
        for index in range(1030):
            local = LocalAllowances(Random(index))
            local.entries = 103
            for step in range(5):
                local.record_reply(step / 10)
                granted += local.take(step / 10, "a", rate, burst)
        assert granted / 10 == pytest.approx(min(103, bound), rel=0.15)

    def test_account_that_the_leader_refused_gets_no_first_token(self):
        """Guards against a flood that goes on where the leader cannot be asked."""
        for index in range(103):
            local = LocalAllowances(Random(index))
            local.entries = 103
            local.record_refusal(-5.0, "a")
            assert not local.take(0.0, "a", 100.0, 100.0)
