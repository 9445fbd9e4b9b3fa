"""Loads beyond a service's capacity: who bears the refusals, with entries that know old counts."""

from collections import Counter
from statistics import mean

import pytest

from .fakes import FakeFleet

BURST, FLOOD = (5.0, 9.0), (15.0, 21.0)
ACCOUNTS = 80


def run_burst(seed: int, *, factor: float, has_admission: bool = True) -> FakeFleet:
    """Two kinds take 0.9 of the slots; the less urgent one comes ``factor`` times as usual."""
    fleet = FakeFleet(ranks=(0, 1) if has_admission else (), seed=seed)
    fleet.add_load(0.0, 14.0, 0.4 * fleet.capacity, 0, "")
    fleet.add_load(0.0, 14.0, 0.5 * fleet.capacity, 1, "")
    if factor > 1:
        fleet.add_load(*BURST, (factor - 1) * 0.5 * fleet.capacity, 1, "")
    fleet.run(20.0)
    return fleet


def run_flood(seed: int, flooder: int) -> FakeFleet:
    """80 accounts with Zipf rates that take 0.85 of the slots; one comes 7 times as often."""
    fleet = FakeFleet(ranks=(1,), seed=seed)
    weights = [1 / (number + 1) ** 1.2 for number in range(ACCOUNTS)]
    unit = 0.85 * fleet.capacity / sum(weights)
    for number, weight in enumerate(weights):
        fleet.add_load(0.0, 24.0, unit * weight, 1, f"a{number}")
    fleet.add_load(*FLOOD, 6 * unit * weights[flooder], 1, f"a{flooder}")
    fleet.run(30.0)
    return fleet


class TestBurstOfALessUrgentKind:
    """Load: 2.2 times the usual rate of one kind for 4 s, at a service that two kinds share."""

    @pytest.mark.parametrize("seed", range(4))
    def test_urgent_requests_are_served_as_without_the_burst(self, seed):
        """Guards against refusals while targets idle, too: all entries see the same old counts."""
        usual = run_burst(seed, factor=1.0).get_served_share(BURST[0], rank=0)
        fleet = run_burst(seed, factor=2.2)
        assert fleet.get_served_share(BURST[0], rank=0) >= usual - 0.01
        unprotected = run_burst(seed, factor=2.2, has_admission=False)
        assert unprotected.get_served_share(BURST[0], rank=0) < 0.9
        assert mean(idle for _, idle in fleet.refusals) < 0.1
        # A tenth of the slots is free after the burst, which works it off within 3 s.
        assert fleet.get_served_share(BURST[1] + 3.0, rank=1) > 0.98


class TestFloodOfOneAccount:
    """Load: one of 80 accounts at 7 times its usual rate, the largest one or a smaller one."""

    @pytest.mark.parametrize("flooder", [0, 1, 3])
    @pytest.mark.parametrize("seed", range(2))
    def test_it_bears_the_refusals_and_no_account_is_shut_out(self, seed, flooder):
        fleet = run_flood(seed, flooder)
        quarter = fleet.get_served_share(FLOOD[0]) / 4
        seen = Counter(item.account for item in fleet.callers if item.at >= FLOOD[0])
        for account in seen:
            if seen[account] >= 5:
                assert fleet.get_served_share(FLOOD[0], account=account) >= quarter, account
        refused = Counter(caller.account for caller, _ in fleet.refusals if caller.at >= FLOOD[0])
        # Accounts whose usual rate is higher may be above their fair share, too.
        others = sum(refused[f"a{number}"] for number in range(flooder + 1, ACCOUNTS))
        assert refused[f"a{flooder}"] > 3 * others


class TestLoadWithinCapacity:
    @pytest.mark.parametrize("seed", range(3))
    def test_service_with_free_slots_refuses_nobody(self, seed):
        """Load: 0.7 of the slots, most of it one account's and of the less urgent rank."""
        fleet = FakeFleet(ranks=(0, 1), seed=seed)
        fleet.add_load(0.0, 20.0, 0.1 * fleet.capacity, 0, "small")
        fleet.add_load(0.0, 20.0, 0.6 * fleet.capacity, 1, "large")
        fleet.run(25.0)
        assert fleet.refusals == []
        assert fleet.get_served_share() > 0.99


class TestFailureHalfway:
    def test_half_of_the_targets_vanish_while_requests_are_refused(self):
        """Load: 13 times a less urgent kind for 4 s; half of the targets vanish 1 s later.

        Guards against decisions from the former capacity, and against refusals that do not end.
        """
        fleet = FakeFleet(ranks=(0, 1), seed=3)
        fleet.add_load(0.0, 20.0, 0.25 * fleet.capacity, 0, "")
        fleet.add_load(0.0, 20.0, 0.1 * fleet.capacity, 1, "")
        fleet.add_load(*BURST, 1.2 * fleet.capacity, 1, "")
        fleet.remove_targets(BURST[0] + 1.0, 10)
        fleet.run(25.0)
        assert fleet.get_served_share(BURST[0] + 1.0, rank=0) > 0.95
        assert all(caller.at < BURST[1] + 2.0 for caller, _ in fleet.refusals)
        assert fleet.get_served_share(BURST[1] + 2.0) == 1.0
