"""A target that asks an entry for a pause gets nothing from this entry until it ends."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...avoidance import Standing
from ...forwarding import RefusalReason
from ...hub.tests.fakes import FakeReader
from ...registry import TargetNews
from ...replication import EmitEvent
from ...throttling import PauseStatement
from ...throttling._pauses import MAXIMUM_SPREAD_SECONDS, MEMORY_SECONDS
from .. import EdgeNode, HubReceived
from .fakes import FakeFleet, FakeTarget, PathFault
from .test_edge import SETTINGS, TARGET

SIZES = [6, 100]


def create_fleet(entries: int, **options) -> FakeFleet:
    fleet = FakeFleet(entries=entries, targets=6, rate=60.0, **options)
    fleet.advance(2.0)
    return fleet


def map_resumes(fleet: FakeFleet, name: str) -> dict[str, float]:
    """Return when each entry that pauses a target sends requests there again."""
    return {
        item.name: fleet.now + item.node.pauses.compute_wait(fleet.now, name)
        for item in fleet.entries.values()
        if item.node.pauses.is_paused(fleet.now, name)
    }


def assert_gets_share(fleet: FakeFleet, target: FakeTarget) -> None:
    """Assert that a target gets its share of the requests in some 2 of the next 10 seconds.

    Slow responses make entries avoid any target for some seconds now and then.
    """
    shares = []
    for _ in range(5):
        since = fleet.now
        fleet.advance(2.0)
        others = [
            item.count_arrivals(since, fleet.now)
            for item in fleet.targets
            if item is not target and not item.is_replaced
        ]
        shares.append(target.count_arrivals(since, fleet.now) * len(others) / sum(others))
    assert max(shares) >= 0.5


def create_node() -> EdgeNode:
    node = EdgeNode(settings=SETTINGS, reader=FakeReader(), random=Random(1))
    node.handle(0.0, HubReceived("", TargetNews((TARGET,))))
    node.pop_pending_effects()
    return node


def pop_events(node: EdgeNode) -> list[EmitEvent]:
    return [item for item in node.pop_pending_effects() if isinstance(item, EmitEvent)]


@pytest.mark.parametrize("entries", SIZES)
class TestPausedTarget:
    # Guards against entries that go on with a target that turned them away for some time.
    @pytest.mark.parametrize("seconds", [0.7, 3.0])
    def test_target_gets_nothing_from_an_entry_that_it_turned_away(self, seconds, entries):
        fleet = create_fleet(entries)
        fleet.targets[0].pause = seconds
        fleet.advance(10.0)
        turned_away = fleet.targets[0].pauses
        # Entries of the two other data centres use nearer targets.
        assert len(turned_away) >= 0.25 * entries
        assert fleet.find_pause_breaches(is_strict=True) == []
        # The others serve the rest, at the cost of a retry for each pause.
        assert len(fleet.list_refusals(0.0)) <= 0.02 * len(fleet.outcomes)

    # Guards against a pause without an end.
    def test_target_gets_its_share_again_after_the_last_pause(self, entries):
        fleet = create_fleet(entries)
        target = fleet.targets[0]
        target.pause = 2.0
        fleet.advance(1.0)
        target.pause = None
        fleet.advance(4.0)
        assert_gets_share(fleet, target)

    # Guards against entries that all return at the moment at which the pauses end.
    def test_entries_return_spread_out(self, entries):
        fleet = create_fleet(entries)
        for target in fleet.targets:
            target.pause = 2.0
        fleet.advance(1.9)
        delays = [
            at - target.pauses[name][-1][1]
            for target in fleet.targets
            for name, at in map_resumes(fleet, target.entry.identity).items()
        ]
        assert len(delays) >= entries
        # The spread of a first pause of 2 s is 0.5 s.
        assert min(delays) >= 0.0
        for start in range(5):
            share = sum(0.1 * start <= item < 0.1 * (start + 1) for item in delays) / len(delays)
            assert share <= 0.5

    # Guards against a pause of an earlier process of the target that outlasts its restart.
    def test_new_incarnation_gets_requests(self, entries):
        fleet = create_fleet(entries)
        target = fleet.targets[0]
        target.pause = 60.0
        fleet.advance(4.0)
        target.pause = None
        fleet.restart_target(target)
        fleet.advance(3.0)
        assert map_resumes(fleet, target.entry.identity) == {}
        assert_gets_share(fleet, target)

    # Guards against a pause that sticks to the address of its target.
    def test_another_target_at_the_address_gets_requests(self, entries):
        fleet = create_fleet(entries)
        fleet.targets[0].pause = 60.0
        fleet.advance(4.0)
        successor = fleet.replace_target(fleet.targets[0])
        fleet.advance(3.0)
        assert_gets_share(fleet, successor)

    # Guards against requests of other entries that reach the target past the pause.
    def test_relayed_requests_respect_the_pause_of_the_entry_that_relays(self, entries):
        fleet = create_fleet(entries)
        # The last target alone is too small for all requests.
        for target in fleet.targets[:5]:
            target.pause = 3.0
        fleet.advance(1.0)
        names = list(fleet.entries)[::3]
        fleet.cut_paths(names, PathFault.RESET)
        fleet.advance(8.0)
        assert fleet.find_pause_breaches(is_strict=True) == []
        assert sum(item.most_relayed for item in fleet.entries.values()) > 0

    # Guards against a limit, or a permit for it, that overrides the pause.
    def test_pause_goes_before_the_limit_of_the_same_target(self, entries):
        fleet = create_fleet(entries)
        for target in fleet.targets:
            target.limit = 4.0
        fleet.advance(4.0)
        for target in fleet.targets[:3]:
            target.pause = 2.0
        since = fleet.now
        fleet.advance(10.0)
        assert fleet.find_pause_breaches(is_strict=True) == []
        for target in fleet.targets[:3]:
            assert fleet.find_excess(target, since, is_strict=True) == []
        # The others get what their limits allow.
        for target in fleet.targets[3:]:
            assert target.count_arrivals(since, fleet.now) >= 0.8 * 4.0 * 10.0


@pytest.mark.parametrize("entries", SIZES)
class TestRefusedRequests:
    # Guards against callers that wait for targets that want nothing, or that all return at once.
    def test_requests_are_refused_at_once_if_all_targets_are_paused(self, entries):
        fleet = create_fleet(entries)
        for target in fleet.targets:
            target.pause = 30.0
        # Each entry has to be turned away by each target first.
        fleet.advance(3.0 if entries == 6 else 25.0)
        since = fleet.now
        fleet.advance(3.0)
        refusals = [
            item
            for item in fleet.list_refusals(since)
            if item.refusal.reason == RefusalReason.PAUSED and item.request.arrived_at >= since
        ]
        assert len(refusals) >= 0.8 * 3.0 * 60.0
        assert not any(item.refusal.has_run for item in refusals)
        assert not fleet.ran & {item.request.identity for item in refusals}
        assert max(item.ended_at - item.request.arrived_at for item in refusals) <= 0.25
        for item in refusals:
            paused = (target.pauses.get(item.entry, []) for target in fleet.targets)
            ends = [pauses[-1][1] for pauses in paused if pauses]
            assert len(ends) < 6 or item.ended_at + item.refusal.retry_after >= min(ends)
        returns = Counter(int(item.ended_at + item.refusal.retry_after) for item in refusals)
        assert max(returns.values()) <= 2 * 60
        assert fleet.find_pause_breaches(is_strict=True) == []

    # Guards against a fleet that refuses requests although a target has room.
    def test_target_without_a_pause_takes_what_the_others_do_not_want(self, entries):
        fleet = create_fleet(entries)
        for target in fleet.targets[:3]:
            target.pause = 3.0
        since = fleet.now
        fleet.advance(10.0)
        refused = [
            item
            for item in fleet.list_refusals(since)
            if item.refusal.reason == RefusalReason.PAUSED
        ]
        assert refused == []
        assert len(fleet.list_refusals(since)) <= 0.02 * len(fleet.outcomes)


class TestPauseRecords:
    """Only the target's own present incarnation may ask for a pause; logs show what it wants."""

    def test_events_of_a_pause(self):
        node = create_node()
        node.record_pause(10.0, TARGET, PauseStatement(2.0), sent_at=9.9)
        node.record_pause(10.1, TARGET, PauseStatement(2.0), sent_at=9.9)
        events = pop_events(node)
        assert node.is_paused(12.0, TARGET)
        assert not node.is_paused(13.0, TARGET)
        assert [item.event for item in events] == ["pause_requested"]
        fields = dict(events[0].fields)
        assert 2.0 <= fields.pop("seconds") <= 2.5
        assert fields == {"target": "i-1", "service": "s", "asked": 2.0, "run": 1}

    def test_end_of_a_pause_is_an_event(self):
        node = create_node()
        node.record_pause(10.0, TARGET, PauseStatement(2.0), sent_at=9.9)
        effects = node.tick(13.0)
        ended = [item for item in effects if isinstance(item, EmitEvent)]
        assert ended[-1] == EmitEvent("pause_ended", {"target": "i-1", "cause": "elapsed"})

    def test_malformed_request_is_an_event_once_and_pauses_nothing(self):
        node = create_node()
        for now in (10.0, 10.1):
            node.record_pause(now, TARGET, PauseStatement(0.0, problem="x"), sent_at=9.9)
        assert [item.event for item in pop_events(node)] == ["pause_malformed"]
        assert not node.is_paused(10.1, TARGET)

    def test_new_incarnation_ends_the_pause(self):
        node = create_node()
        node.record_pause(10.0, TARGET, PauseStatement(60.0), sent_at=9.9)
        restarted = replace(TARGET, started=TARGET.started + 1)
        effects = node.handle(10.5, HubReceived("", TargetNews((restarted,))))
        assert EmitEvent("pause_ended", {"target": "i-1", "cause": "restarted"}) in effects
        assert not node.is_paused(10.5, restarted)

    def test_late_response_of_an_earlier_incarnation_pauses_nothing(self):
        node = create_node()
        restarted = replace(TARGET, started=TARGET.started + 1)
        node.handle(10.0, HubReceived("", TargetNews((restarted,))))
        node.record_pause(10.1, TARGET, PauseStatement(60.0), sent_at=9.9)
        assert not node.is_paused(10.1, restarted)

    def test_refused_caller_returns_after_the_pause(self):
        node = create_node()
        before = node.compute_retry_after(10.0, "s")
        node.record_pause(10.0, TARGET, PauseStatement(2.0), sent_at=9.9)
        assert before < 2.0 <= node.compute_retry_after(10.0, "s")

    def test_description_of_a_target_says_how_long_it_is_paused(self):
        node = create_node()
        assert node.describe_target(10.0, TARGET)["pause"] == 0.0
        node.record_pause(10.0, TARGET, PauseStatement(2.0), sent_at=9.9)
        assert node.describe_target(10.0, TARGET)["pause"] >= 2.0


FAULTS = st.tuples(
    st.sampled_from(["pause", "accept", "restart-target", "reuse", "restart", "freeze", "cut"]),
    st.integers(0, 5),
    st.floats(0.1, 5.0),
)


class FaultRun:
    """Mixes pauses with limits and faults of entries and targets."""

    def __init__(self, *, entries: int, seed: int):
        self.fleet = FakeFleet(entries=entries, targets=6, rate=60.0, seed=seed)
        # This target names one limit all the time.
        self.fleet.targets[5].limit = 2.0
        self.named_at = self.fleet.now
        self.fleet.advance(2.0)

    def apply(self, kind: str, number: int, seconds: float) -> None:
        """Cause one fault and let one second pass."""
        fleet = self.fleet
        target = fleet.targets[number]
        names = list(fleet.entries)[number :: max(6, len(fleet.entries) // 6)]
        if kind == "pause":
            target.pause = round(seconds, 2)
        elif kind == "accept":
            target.pause = None
        elif kind == "restart-target" and number != 5:
            fleet.restart_target(target)
            target.pause = None
        elif kind == "reuse" and number != 5 and not target.is_replaced:
            fleet.replace_target(target)
        elif kind == "restart":
            fleet.start_entry(names[0])
        elif kind in ("freeze", "cut"):
            self._disturb(kind, names)
        fleet.advance(1.0)

    def check(self) -> None:
        """Check all promises after the last fault."""
        fleet = self.fleet
        for target in fleet.targets:
            target.pause = None
        # The longest pause, its spread, and the time in which a slow start ends.
        fleet.advance(5.0 + MAXIMUM_SPREAD_SECONDS + MEMORY_SECONDS + 1.0)
        assert fleet.find_pause_breaches() == []
        assert fleet.find_excess(fleet.targets[5], self.named_at, is_strict=False) == []
        refused = {
            item.request.identity
            for item in fleet.outcomes
            if item.refusal and not item.refusal.has_run
        }
        assert not fleet.ran & refused
        assert all(fleet.deliveries[identity] <= 1 for identity in fleet.orders)
        # No pause outlasts its time, and all targets that are left are in use again, but for
        # those whose slow responses made entries avoid them.
        assert all(map_resumes(fleet, item.entry.identity) == {} for item in fleet.targets)
        since = fleet.now
        fleet.advance(12.0)
        late = [item for item in fleet.outcomes if item.ended_at >= since]
        refusals = fleet.list_refusals(since)
        assert RefusalReason.PAUSED not in {item.refusal.reason for item in refusals}
        # The target with a limit and avoided ones leave less room than usual.
        assert len(refusals) <= 0.1 * len(late)
        for target in fleet.targets:
            standings = {
                item.node.avoidance.get_standing(fleet.now, target.entry.identity)
                for item in fleet.entries.values()
            }
            is_used = target.count_arrivals(since, fleet.now) > 0
            assert target.is_replaced or is_used or standings != {Standing.TRUSTED}

    def _disturb(self, kind: str, names: list[str]) -> None:
        fleet = self.fleet
        change = fleet.freeze_entry if kind == "freeze" else fleet.cut_entry
        flag = "is_frozen" if kind == "freeze" else "is_cut"
        for name in names:
            change(name, **{flag: True})
        fleet.advance(1.0)
        for name in names:
            change(name, **{flag: False})


class TestMixes:
    @settings(max_examples=12, deadline=None)
    @given(st.lists(FAULTS, min_size=4, max_size=12), st.integers(0, 1000))
    def test_pauses_limits_and_faults_at_6_entries(self, faults, seed):
        run = FaultRun(entries=6, seed=seed)
        for fault in faults:
            run.apply(*fault)
        run.check()

    @settings(max_examples=2, deadline=None)
    @given(st.lists(FAULTS, min_size=6, max_size=10), st.integers(0, 1000))
    def test_pauses_limits_and_faults_at_100_entries(self, faults, seed):
        run = FaultRun(entries=100, seed=seed)
        for fault in faults:
            run.apply(*fault)
        run.check()
