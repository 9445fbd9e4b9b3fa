"""Target selection prefers near, free and working targets; retry budget of the fleet."""

from random import Random

from ...avoidance import EvidenceItem, EvidenceKind, GrayFailureDetector
from ...forwarding import (
    Balancer,
    ForwardRequest,
    PermitNeeded,
    RefusalReason,
    RetryBudgets,
    ServiceProfile,
    Topology,
)
from ...registry import TargetRegistry
from ...throttling import DeclaredLimits
from .._balancer import MAXIMUM_PERMIT_TARGETS
from .fakes import create_route, create_target

TOPOLOGY = Topology("z", {"z": "r1", "y": "r1", "x": "r2"})
NO_TARGETS = frozenset()


class Fixture:
    """A balancer over some targets."""

    def __init__(self, *targets):
        self.registry = TargetRegistry()
        for target in targets:
            self.registry.merge(0.0, target)
        self.avoidance = GrayFailureDetector()
        self.limits = DeclaredLimits()
        self.balancer = Balancer(
            topology=TOPOLOGY,
            targets=self.registry,
            avoidance=self.avoidance,
            limits=self.limits,
            random=Random(2),
        )
        self.profile = ServiceProfile()

    def choose(self, *, is_repeatable=True, now=0.0, tried=NO_TARGETS):
        request = ForwardRequest("q", create_route(is_repeatable=is_repeatable), "s", now, now + 2)
        return self.balancer.choose(now, request, self.profile, tried)


class TestBalancer:
    def test_near_target_is_chosen_while_it_has_free_slots(self):
        fixture = Fixture(create_target("near"), create_target("far", data_centre="x"))
        assert fixture.choose().identity == "near"

    def test_busy_near_target_overflows_to_its_region(self):
        fixture = Fixture(create_target("near"), create_target("next", data_centre="y"))
        for _ in range(9):
            fixture.balancer.acquire("near")
        assert fixture.choose().identity == "next"

    def test_outstanding_requests_of_other_entries_count(self):
        fixture = Fixture(create_target("near"), create_target("next", data_centre="y"))
        fixture.balancer.update_peer_load({"near": 9}, is_whole=True)
        assert fixture.choose().identity == "next"

    def test_failing_target_loses_requests_to_another_region(self):
        fixture = Fixture(create_target("near"), create_target("far", data_centre="x"))
        fixture.avoidance.record(0.0, EvidenceItem("near", EvidenceKind.BROKEN))
        assert fixture.choose().identity == "far"

    def test_lookup_tries_a_target_that_may_have_recovered(self):
        fixture = Fixture(create_target("near"), create_target("next", data_centre="y"))
        fixture.avoidance.record(0.0, EvidenceItem("near", EvidenceKind.BROKEN))
        assert fixture.choose(now=20.0, is_repeatable=True).identity == "near"

    def test_requests_are_distributed_if_all_targets_are_avoided(self):
        fixture = Fixture(create_target("a"), create_target("b"))
        for name in "ab":
            fixture.avoidance.record(0.0, EvidenceItem(name, EvidenceKind.BROKEN))
        first = fixture.choose().identity
        for _ in range(9):
            fixture.balancer.acquire(first)
        assert fixture.choose().identity != first

    def test_share_of_avoided_targets_is_limited(self):
        """Metastable overload: busy targets reset connections.

        Avoiding all of them would overload the remaining targets, too.
        """
        names = [f"t{index}" for index in range(10)]
        fixture = Fixture(*(create_target(name) for name in names))
        for name in names[:8]:
            fixture.avoidance.record(0.0, EvidenceItem(name, EvidenceKind.BROKEN))
        chosen = set()
        for _ in range(24):
            target = fixture.choose(is_repeatable=False).identity
            fixture.balancer.acquire(target)
            chosen.add(target)
        assert len(chosen) >= 6
        assert max(fixture.balancer.count_outstanding(name) for name in names) <= 7

    def test_orders_use_only_working_targets_while_those_have_room(self):
        """Most targets fail: the few working ones have room for all the orders."""
        bad = [f"bad{index}" for index in range(7)]
        good = [create_target(f"good{index}", data_centre="x") for index in range(3)]
        fixture = Fixture(*(create_target(name) for name in bad), *good)
        for name in bad:
            fixture.avoidance.record(0.0, EvidenceItem(name, EvidenceKind.BROKEN))
        for _ in range(8):
            target = fixture.choose(is_repeatable=False).identity
            assert target not in bad
            fixture.balancer.acquire(target)

    def test_weak_evidence_does_not_send_orders_to_another_region(self):
        """Working targets return occasional errors, and avoiding many of them costs more."""
        near = [create_target(f"near{index}") for index in range(7)]
        far = [create_target(f"far{index}", data_centre="x") for index in range(3)]
        fixture = Fixture(*near, *far)
        for target in near:
            fixture.avoidance.record(0.0, EvidenceItem(target.identity, EvidenceKind.ERROR))
        assert fixture.choose(is_repeatable=False).identity.startswith("near")

    def test_avoided_target_is_preferred_to_full_targets(self):
        fixture = Fixture(create_target("near"), create_target("bad"), create_target("c"))
        fixture.avoidance.record(0.0, EvidenceItem("bad", EvidenceKind.BROKEN))
        for name in ("near", "c"):
            for _ in range(9):
                fixture.balancer.acquire(name)
        assert fixture.choose(is_repeatable=False).identity == "bad"

    def test_warming_target_receives_fewer_requests_until_it_is_warm(self):
        fixture = Fixture(create_target("cold", warm_seconds=3.0), create_target("warm"))
        for name in ("cold", "warm"):
            for _ in range(3):
                fixture.balancer.acquire(name)
        assert {fixture.choose(now=1.0).identity for _ in range(20)} == {"warm"}
        assert {fixture.choose(now=5.0).identity for _ in range(40)} == {"warm", "cold"}

    def test_request_is_refused_if_all_queues_are_full(self):
        fixture = Fixture(create_target("near"))
        for _ in range(12):
            fixture.balancer.acquire("near")
        assert fixture.choose() == RefusalReason.ALL_FULL

    def test_tried_target_is_not_chosen_again(self):
        fixture = Fixture(create_target("near"))
        assert fixture.choose(tried=frozenset({"near"})) == RefusalReason.NO_TARGET


class TestRetryBudgets:
    def test_all_entries_together_stay_within_the_budget(self):
        ratio, slack, window, entries = 0.2, 58.0, 10.0, 36
        budgets = [RetryBudgets(ratio=ratio, slack=slack, window=window) for _ in range(entries)]
        spent = requests = 0
        for budget in budgets:
            budget.entries = entries
        for step in range(200):
            now = step * window / 200
            budget = budgets[step % entries]
            for _ in range(5):
                budget.record_request(now, "s")
                requests += 1
            while budget.spend(now, "s"):
                spent += 1
        assert spent <= ratio * requests + slack

    def test_entry_without_requests_may_retry_occasionally(self):
        budget = RetryBudgets(ratio=0.2, slack=58.0, window=10.0)
        budget.entries = 36
        assert budget.spend(0.0, "s")
        assert not budget.spend(0.0, "s")
        assert budget.spend(30.0, "s")


class TestLimitedTargets:
    def test_limited_target_is_chosen_with_a_permit_if_it_is_the_best_one(self):
        near, far = create_target("near"), create_target("far", data_centre="x")
        fixture = Fixture(near, far)
        fixture.limits.record(0.0, "near", 2.0)
        assert fixture.choose() == PermitNeeded("s", (near,), 2.0, True)

    def test_limited_target_that_is_no_better_needs_no_permit(self):
        fixture = Fixture(create_target("near"), create_target("far", data_centre="x"))
        fixture.limits.record(0.0, "far", 2.0)
        assert fixture.choose().identity == "near"

    def test_target_without_a_free_permit_is_not_asked_for(self):
        fixture = Fixture(create_target("near"), create_target("far", data_centre="x"))
        fixture.limits.record(0.0, "near", 2.0)
        fixture.limits.close("near", 0.5)
        assert fixture.choose(now=0.4).identity == "far"
        assert isinstance(fixture.choose(now=0.5), PermitNeeded)

    def test_all_limited_targets_with_room_are_asked_for_if_there_is_no_other(self):
        """Without another target the leader decides, and schedules the return of the caller."""
        fixture = Fixture(
            create_target("near"), create_target("far", data_centre="x"), create_target("full")
        )
        for name in ("near", "far", "full"):
            fixture.limits.record(0.0, name, 2.0)
        fixture.limits.close("near", 9.0)
        for _ in range(9):
            fixture.balancer.acquire("full")
        needed = fixture.choose(now=1.0)
        assert [item.identity for item in needed.targets] == ["near", "far"]
        assert (needed.service_rate, needed.has_alternative) == (4.0, False)

    def test_trial_at_a_limited_target_needs_a_permit(self):
        fixture = Fixture(*(create_target(name) for name in "abcd"))
        fixture.balancer.floor.share = 1.0
        for number in range(20):
            fixture.balancer.floor.failures.record_request(number / 10, "s")
            fixture.balancer.floor.failures.record_failure(number / 10, "s")
        fixture.avoidance.record(0.0, EvidenceItem("a", EvidenceKind.BROKEN))
        fixture.limits.record(0.0, "a", 2.0)
        chosen = [fixture.choose(now=5.0) for _ in range(20)]
        trials = [item for item in chosen if isinstance(item, PermitNeeded)]
        assert trials
        assert {item.targets[0].identity for item in trials} == {"a"}

    def test_targets_that_one_request_may_not_name_are_asked_for_next(self):
        """A refusal is true only if every target was asked for."""
        names = [f"t{number}" for number in range(MAXIMUM_PERMIT_TARGETS + 5)]
        fixture = Fixture(*(create_target(name) for name in names))
        for name in names:
            fixture.limits.record(0.0, name, 2.0)
        first = fixture.choose()
        assert (len(first.targets), first.has_alternative) == (MAXIMUM_PERMIT_TARGETS, True)
        asked = frozenset(item.identity for item in first.targets)
        second = fixture.choose(tried=asked)
        assert {item.identity for item in second.targets} == set(names) - asked
        assert not second.has_alternative


class TestPausedTargets:
    """A target that asked for a pause is not chosen for any kind of request."""

    def pause(self, fixture: Fixture, *names: str, seconds: float = 5.0) -> None:
        for name in names:
            fixture.balancer.pauses.record(0.0, name, seconds, sent_at=0.0)

    def test_paused_target_is_not_chosen(self):
        fixture = Fixture(create_target("near"), create_target("far", data_centre="x"))
        self.pause(fixture, "near")
        assert {fixture.choose(now=1.0).identity for _ in range(20)} == {"far"}
        assert fixture.choose(now=7.0).identity == "near"

    def test_paused_target_is_not_chosen_even_if_the_others_fail(self):
        fixture = Fixture(*(create_target(name) for name in "abc"))
        self.pause(fixture, "a")
        for name in "bc":
            fixture.avoidance.record(0.0, EvidenceItem(name, EvidenceKind.BROKEN))
        for is_repeatable in (True, False):
            chosen = {
                fixture.choose(now=0.1, is_repeatable=is_repeatable).identity for _ in range(20)
            }
            assert chosen <= {"b", "c"}

    def test_request_is_refused_if_only_paused_targets_are_left(self):
        fixture = Fixture(create_target("a"), create_target("b"))
        self.pause(fixture, "a")
        assert fixture.choose(now=1.0, tried=frozenset("b")) == RefusalReason.PAUSED
        self.pause(fixture, "b")
        assert fixture.choose(now=1.0) == RefusalReason.PAUSED

    def test_no_permit_is_asked_for_a_paused_target(self):
        fixture = Fixture(create_target("a"), create_target("b"))
        for name in "ab":
            fixture.limits.record(0.0, name, 2.0)
        self.pause(fixture, "a")
        needed = fixture.choose(now=1.0)
        assert [item.identity for item in needed.targets] == ["b"]
        assert (needed.service_rate, needed.has_alternative) == (2.0, False)

    def test_paused_target_gets_no_trial(self):
        fixture = Fixture(*(create_target(name) for name in "abcd"))
        fixture.balancer.floor.share = 1.0
        for number in range(20):
            fixture.balancer.floor.failures.record_request(number / 10, "s")
            fixture.balancer.floor.failures.record_failure(number / 10, "s")
        for name in "ab":
            fixture.avoidance.record(0.0, EvidenceItem(name, EvidenceKind.BROKEN))
        self.pause(fixture, "a", seconds=20.0)
        chosen = {fixture.choose(now=5.0).identity for _ in range(40)}
        assert "a" not in chosen
        assert "b" in chosen

    def test_floor_is_kept_with_the_targets_that_are_not_paused(self):
        fixture = Fixture(*(create_target(name) for name in "abcd"))
        fixture.balancer.floor.share = 0.7
        for number in range(20):
            fixture.balancer.floor.failures.record_request(number / 10, "s")
            fixture.balancer.floor.failures.record_failure(number / 10, "s")
        fixture.avoidance.record(0.0, EvidenceItem("d", EvidenceKind.BROKEN))
        # Three of four are in use, so the one that failed may stay idle.
        assert "d" not in {fixture.choose(now=3.5).identity for _ in range(40)}
        self.pause(fixture, "a", seconds=20.0)
        assert "d" in {fixture.choose(now=3.5).identity for _ in range(40)}
