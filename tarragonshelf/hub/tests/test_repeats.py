"""Repeats stay below what a site allows, and are there where failures come in bursts."""

from random import Random

import pytest

from ...forwarding import RetryBudgetSettings
from .._repeats import RepeatPool

TERMS = RetryBudgetSettings(ratio=0.2, slack=58.0, window=10.0)
HUBS = (12, 9, 6, 5, 4)


def create_pools(terms: RetryBudgetSettings = TERMS) -> list[RepeatPool]:
    pools = [RepeatPool(terms) for _ in HUBS]
    for pool, followers in zip(pools, HUBS, strict=True):
        pool.set_share(followers, sum(HUBS))
    return pools


class TestRepeatPool:
    @pytest.mark.parametrize("rate", [5, 47, 400])
    def test_a_storm_in_which_all_wants_repeats_stays_below_the_budget_in_every_window(self, rate):
        """Sheds or resets of most of a service: every request asks again and again."""
        pools, random = create_pools(), Random(1)
        requests, repeats = [], []
        for step in range(int(40 * rate)):
            now = step / rate
            number = random.choices(range(len(HUBS)), HUBS)[0]
            requests.append(now)
            pools[number].record_requests(now, "s", 1)
            if now > 12.0:
                repeats += [now] * sum(pools[number].spend(now, "s") for _ in range(3))
        for begin in [tenth / 10 for tenth in range(0, 300)]:
            end = begin + TERMS.window
            asked = sum(begin <= at < end for at in requests)
            spent = sum(begin <= at < end for at in repeats)
            assert spent <= TERMS.ratio * asked + TERMS.slack

    def test_hubs_that_start_again_in_a_storm_add_little(self):
        rate, spent = 47, 0
        pools = create_pools()
        for step in range(int(TERMS.window * rate)):
            now = step / rate
            if step == 100:
                pools = create_pools()
            pool = pools[step % len(pools)]
            pool.record_requests(now, "s", 1)
            spent += sum(pool.spend(now, "s") for _ in range(3))
        assert spent <= TERMS.ratio * rate * TERMS.window + TERMS.slack

    def test_a_burst_of_failures_at_one_entry_finds_what_the_others_left(self):
        pool = RepeatPool(TERMS)
        pool.set_share(6, 36)
        for second in range(10):
            pool.record_requests(float(second), "s", 4)
        assert all(pool.spend(10.0, "s") for _ in range(5))

    def test_a_hub_without_entries_gives_out_nothing(self):
        pool = RepeatPool(TERMS)
        pool.set_share(0, 36)
        assert not pool.spend(5.0, "s")
