"""The request rate limit of a target holds over all entries of a site together."""

from collections import Counter

import pytest

from ...forwarding import RefusalReason
from .fakes import LIMIT_SETTLE_SECONDS, FakeFleet

SIZES = [6, 100]
# About a tenth and a third of the usual share of a target, which is 10 requests per second.
LIMITS = [0.5, 1.0, 3.2]


def create_fleet(entries: int, **options) -> FakeFleet:
    fleet = FakeFleet(entries=entries, targets=6, rate=60.0, **options)
    fleet.advance(2.0)
    return fleet


def name_limit(fleet: FakeFleet, limit: float) -> tuple:
    """Let the first target name a limit; return it and the time."""
    fleet.targets[0].limit = limit
    return fleet.targets[0], fleet.now


@pytest.mark.parametrize("entries", SIZES)
class TestSharedLimit:
    # Guards against a target that names a limit and still gets its usual share of the requests.
    @pytest.mark.parametrize("limit", LIMITS)
    def test_target_gets_no_more_than_its_limit_from_all_entries_together(self, limit, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, limit)
        fleet.advance(12.0)
        assert fleet.find_excess(target, named_at, is_strict=False) == []
        assert fleet.find_excess(target, named_at, is_strict=True) == []

    # Guards against a target in need that gets less than it can take.
    @pytest.mark.parametrize("limit", LIMITS)
    def test_target_gets_as_much_as_it_names(self, limit, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, limit)
        fleet.advance(LIMIT_SETTLE_SECONDS + 20.0)
        got = target.count_arrivals(named_at + LIMIT_SETTLE_SECONDS, fleet.now)
        assert got >= 0.9 * limit * 20.0 - 1

    # Guards against a target that stays limited after it stopped naming a limit.
    @pytest.mark.parametrize("limit", LIMITS)
    def test_target_gets_its_share_again_once_it_names_no_limit(self, limit, entries):
        fleet = create_fleet(entries)
        target, _ = name_limit(fleet, limit)
        fleet.advance(8.0)
        target.limit = None
        # The next response without a limit shows that it has ended.
        fleet.advance(1.0 / limit + 1.0)
        since = fleet.now
        fleet.advance(6.0)
        counts = [item.count_arrivals(since, fleet.now) for item in fleet.targets]
        assert counts[0] >= 0.5 * sum(counts[1:]) / 5
        assert all(item.node.limits.list_rates() == {} for item in fleet.entries.values())

    # Guards against entries that keep to the first limit of a target when it names another one.
    @pytest.mark.parametrize(("before", "after"), [(0.1, 3.2), (1.0, 3.2), (3.2, 0.5)])
    def test_target_changes_its_limit(self, before, after, entries):
        fleet = create_fleet(entries)
        target, _ = name_limit(fleet, before)
        fleet.advance(8.0)
        target, named_at = name_limit(fleet, after)
        fleet.advance(LIMIT_SETTLE_SECONDS + 15.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []
        got = target.count_arrivals(named_at + LIMIT_SETTLE_SECONDS, fleet.now)
        assert got >= 0.9 * after * 15.0 - 1

    # Guards against a limit of an earlier process of the target that outlasts its restart.
    def test_new_incarnation_of_a_target_gets_its_share(self, entries):
        fleet = create_fleet(entries)
        target, _ = name_limit(fleet, 0.5)
        fleet.advance(6.0)
        target.limit = None
        fleet.restart_target(target)
        fleet.advance(3.0)
        since = fleet.now
        fleet.advance(6.0)
        counts = [item.count_arrivals(since, fleet.now) for item in fleet.targets]
        assert counts[0] >= 0.5 * sum(counts[1:]) / 5


@pytest.mark.parametrize("entries", SIZES)
class TestDisturbedEntries:
    # Guards against entries that each use a whole limit while they cannot ask a leader.
    def test_entries_cut_off_from_all_hubs(self, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, 3.2)
        fleet.advance(4.0)
        names = list(fleet.entries)[::2]
        for name in names:
            fleet.cut_entry(name, is_cut=True)
        fleet.advance(8.0)
        for name in names:
            fleet.cut_entry(name, is_cut=False)
        fleet.advance(8.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []

    # Guards against permits that a suspended entry uses long after they were granted.
    def test_frozen_entries(self, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, 3.2)
        fleet.advance(4.0)
        names = list(fleet.entries)[::2]
        for name in names:
            fleet.freeze_entry(name, is_frozen=True)
        fleet.advance(5.0)
        for name in names:
            fleet.freeze_entry(name, is_frozen=False)
        fleet.advance(6.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []

    # Guards against a restarted entry that does not know the limit and uses the target freely.
    def test_restarted_entries(self, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, 1.0)
        fleet.advance(6.0)
        for name in list(fleet.entries)[::2]:
            fleet.start_entry(name)
        fleet.advance(10.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []
        assert all(item.node.limits.list_rates() for item in fleet.entries.values())


@pytest.mark.parametrize("entries", SIZES)
class TestDisturbedHubs:
    # Guards against a new leader that grants again what the previous one has granted.
    def test_leader_is_killed(self, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, 1.0)
        fleet.advance(6.0)
        leader = fleet.site.leader
        fleet.stop_hubs(leader)
        fleet.advance(6.0)
        assert fleet.site.leader not in (None, leader)
        fleet.start_hubs(leader)
        since = fleet.now
        fleet.advance(10.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []
        assert target.count_arrivals(since, fleet.now) >= 0.9 * 1.0 * 10.0 - 1

    # Guards against a leader cut off from its followers that grants permits beside its successor.
    def test_leader_is_cut_off_from_the_other_hubs(self, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, 3.2)
        fleet.advance(6.0)
        fleet.site.isolate(fleet.site.leader)
        fleet.advance(10.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []

    # Guards against a leader that wakes up and answers old requests for permits.
    def test_leader_is_suspended(self, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, 3.2)
        fleet.advance(6.0)
        leader = fleet.site.leader
        fleet.site.suspend(leader)
        fleet.advance(5.0)
        fleet.site.resume(leader)
        fleet.advance(8.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []

    # Guards against entries that, without any hub, each use a whole limit or none of it.
    def test_all_hubs_are_killed(self, entries):
        fleet = create_fleet(entries)
        target, named_at = name_limit(fleet, 3.2)
        fleet.advance(6.0)
        hubs = tuple(fleet.site.hubs)
        fleet.stop_hubs(*hubs)
        since = fleet.now
        fleet.advance(15.0)
        assert target.count_arrivals(since, fleet.now) > 0
        fleet.start_hubs(*hubs)
        fleet.advance(8.0)
        assert fleet.find_excess(target, named_at, is_strict=True) == []


@pytest.mark.parametrize("entries", SIZES)
class TestRefusals:
    # Guards against callers that wait although no target may take them, or all return at once.
    def test_requests_beyond_all_limits_are_refused_at_once_and_return_spread(self, entries):
        fleet = create_fleet(entries)
        for target in fleet.targets:
            target.limit = 2.0
        fleet.advance(LIMIT_SETTLE_SECONDS)
        since = fleet.now
        fleet.advance(15.0)
        refusals = [
            item for item in fleet.list_refusals(since) if item.request.arrived_at >= since
        ]
        assert refusals
        assert {item.refusal.reason for item in refusals} == {RefusalReason.LIMITED}
        assert not any(item.refusal.has_run for item in refusals)
        assert not fleet.ran & {item.request.identity for item in refusals}
        assert max(item.ended_at - item.request.arrived_at for item in refusals) <= 0.25
        assert min(item.refusal.retry_after for item in refusals) > 0.0
        returns = Counter(int(item.ended_at + item.refusal.retry_after) for item in refusals)
        # Callers are refused at 48 requests per second; no second brings twice as many back.
        assert max(returns.values()) <= 2 * 48
        served = sum(item.count_arrivals(since, fleet.now) for item in fleet.targets)
        assert served >= 0.9 * 6 * 2.0 * 15.0

    # Guards against a fleet that refuses requests although a target without a limit has room.
    def test_target_without_a_limit_takes_what_the_others_may_not(self, entries):
        fleet = create_fleet(entries)
        for target in fleet.targets[:3]:
            target.limit = 1.0
        since = fleet.now
        fleet.advance(10.0)
        reasons = Counter(str(item.refusal.reason) for item in fleet.list_refusals(since))
        assert reasons["limited"] <= 0.02 * len(fleet.outcomes)
