"""Tests of the retry budget: it holds for the whole site and covers bursts at one entry."""

from random import Random

import pytest

from ...forwarding import RetryBudgetSettings
from .._retries import RetryPool

BUDGET = RetryBudgetSettings(ratio=0.2, slack=58.0, window=10.0)
FOLLOWERS = (12, 9, 6, 5, 4)


def create_pools(budget: RetryBudgetSettings = BUDGET) -> list[RetryPool]:
    pools = [RetryPool(budget) for _ in FOLLOWERS]
    for pool, followers in zip(pools, FOLLOWERS, strict=True):
        pool.set_share(followers, sum(FOLLOWERS))
    return pools


class TestRetryPool:
    @pytest.mark.parametrize("rate", [5, 47, 400])
    def test_retry_storm_stays_within_budget_in_every_window(self, rate):
        """Most attempts are shed or reset, and each request asks for three retries."""
        pools, random = create_pools(), Random(1)
        requests, retries = [], []
        for step in range(int(40 * rate)):
            now = step / rate
            number = random.choices(range(len(FOLLOWERS)), FOLLOWERS)[0]
            requests.append(now)
            pools[number].record_requests(now, "s", 1)
            if now > 12.0:
                retries += [now] * sum(pools[number].spend(now, "s") for _ in range(3))
        for begin in [tenth / 10 for tenth in range(0, 300)]:
            end = begin + BUDGET.window
            asked = sum(begin <= at < end for at in requests)
            spent = sum(begin <= at < end for at in retries)
            assert spent <= BUDGET.ratio * asked + BUDGET.slack

    def test_hub_restart_during_retry_storm_stays_within_budget(self):
        rate, spent = 47, 0
        pools = create_pools()
        for step in range(int(BUDGET.window * rate)):
            now = step / rate
            if step == 100:
                pools = create_pools()
            pool = pools[step % len(pools)]
            pool.record_requests(now, "s", 1)
            spent += sum(pool.spend(now, "s") for _ in range(3))
        assert spent <= BUDGET.ratio * rate * BUDGET.window + BUDGET.slack

    def test_failure_burst_at_one_entry_uses_tokens_of_all_entries(self):
        pool = RetryPool(BUDGET)
        pool.set_share(6, 36)
        for second in range(10):
            pool.record_requests(float(second), "s", 4)
        assert all(pool.spend(10.0, "s") for _ in range(5))

    def test_hub_without_entries_grants_no_retry(self):
        pool = RetryPool(BUDGET)
        pool.set_share(0, 36)
        assert not pool.spend(5.0, "s")
