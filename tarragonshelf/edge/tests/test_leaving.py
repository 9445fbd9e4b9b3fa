"""Targets that say in their responses that they leave get no more requests."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...catalogue import CatalogueCopy, compress_content
from ...edge import EdgeNode, EdgeSettings, HubReceived, SendToHub
from ...forwarding import RefusalReason, RetryBudgetSettings
from ...hub.tests.fakes import FakeReader
from ...registry import TargetEntry, TargetNews, TargetState
from ...relaying import CloseIdleConnections
from ...replication import EmitEvent
from .._departures import RETENTION_SECONDS
from .fakes import DRAIN_SECONDS, FakeFleet, FakeTarget, PathFault

SIZES = [6, 100]
# The other entries hear of a target that leaves within this time after one entry has.
NEWS_SECONDS = 0.3
# Requests that were chosen before are answered within their time-out.
OPEN_SECONDS = 2.0
TARGET = TargetEntry("i-1", 1000, 5, TargetState.READY, "10.0.0.1:80", "s", "z0", 3)


def create_fleet(entries: int, *, targets: int = 6, **options) -> FakeFleet:
    fleet = FakeFleet(entries=entries, targets=targets, rate=60.0, **options)
    fleet.advance(2.0)
    return fleet


def leave(fleet: FakeFleet) -> FakeTarget:
    """Let the first target leave and say so in its responses only."""
    fleet.targets[0].is_leaving = True
    return fleet.targets[0]


def list_users(fleet: FakeFleet, target: FakeTarget) -> list[str]:
    """Return the entries that would still choose a target."""
    return [
        entry.name
        for entry in fleet.entries.values()
        if entry.node.targets.is_usable(target.entry)
    ]


@pytest.mark.parametrize("entries", SIZES)
class TestFleet:
    # Guards against a target that gets requests until its announcement says what it said before.
    def test_all_entries_stop_soon_after_the_first_response(self, entries):
        fleet = create_fleet(entries)
        target = leave(fleet)
        while not target.departure_told_at:
            fleet.advance(0.05)
        fleet.advance(NEWS_SECONDS)
        since = fleet.now
        assert list_users(fleet, target) == []
        fleet.advance(6.0)
        assert target.count_arrivals(since, fleet.now) == 0
        assert fleet.list_late_arrivals() == []
        assert fleet.list_refusals(since) == []

    # Guards against a choice that depends on what hubs say.
    def test_entries_cut_off_from_all_hubs_stop_after_their_own_first_response(self, entries):
        fleet = create_fleet(entries)
        for name in fleet.entries:
            fleet.cut_entry(name, is_cut=True)
        fleet.advance(1.0)
        target = leave(fleet)
        fleet.advance(10.0)
        assert target.departure_told_at
        assert fleet.list_late_arrivals() == []
        for entry in target.departure_told_at:
            late = [item for item in target.arrivals if item.entry == entry]
            assert late[-1].at <= target.departure_told_at[entry] + OPEN_SECONDS

    # Guards against a hub that does not know it and sends the target as ready once more.
    def test_entries_that_are_connected_again_tell_the_hubs(self, entries):
        fleet = create_fleet(entries)
        names = list(fleet.entries)
        for name in names[: len(names) // 2]:
            fleet.cut_entry(name, is_cut=True)
        fleet.advance(4.0)
        target = leave(fleet)
        hubs = tuple(fleet.site.hubs)
        fleet.stop_hubs(*hubs)
        fleet.advance(4.0)
        fleet.start_hubs(*hubs)
        for name in names:
            fleet.cut_entry(name, is_cut=False)
        fleet.advance(8.0)
        assert target.departure_told_at
        assert list_users(fleet, target) == []
        assert fleet.list_late_arrivals() == []

    # Guards against a statement that outlasts the process that made it.
    def test_new_incarnation_gets_its_share(self, entries):
        fleet = create_fleet(entries)
        target = leave(fleet)
        fleet.advance(4.0)
        assert list_users(fleet, target) == []
        fleet.restart_target(target)
        fleet.advance(3.0)
        since = fleet.now
        fleet.advance(6.0)
        assert len(list_users(fleet, target)) == entries
        counts = [item.count_arrivals(since, fleet.now) for item in fleet.targets]
        assert counts[0] >= 0.5 * sum(counts[1:]) / 5

    # Guards against a statement that takes out whichever target has the address.
    def test_next_target_at_the_address_gets_its_share(self, entries):
        fleet = create_fleet(entries)
        target = leave(fleet)
        fleet.advance(4.0)
        successor = fleet.replace_target(target)
        fleet.advance(3.0)
        since = fleet.now
        fleet.advance(6.0)
        assert list_users(fleet, target) == []
        counts = [item.count_arrivals(since, fleet.now) for item in fleet.targets[1:]]
        assert successor.count_arrivals(since, fleet.now) >= 0.5 * sum(counts[:-1]) / 5

    # Guards against callers that wait, or hear that a request may have run, as nobody is left.
    def test_requests_are_refused_at_once_if_all_targets_leave(self, entries):
        fleet = create_fleet(entries)
        for target in fleet.targets:
            target.is_leaving = True
        fleet.advance(DRAIN_SECONDS)
        since = fleet.now
        fleet.advance(5.0)
        arrived = [item for item in fleet.outcomes if item.request.arrived_at >= since]
        assert len(arrived) > 200
        assert {item.refusal and item.refusal.reason for item in arrived} == {
            RefusalReason.NO_TARGET
        }
        assert not any(item.refusal.has_run for item in arrived)
        assert not fleet.ran & {item.request.identity for item in arrived}
        assert max(item.ended_at - item.request.arrived_at for item in arrived) == 0.0
        assert min(item.refusal.retry_after for item in arrived) > 0.0
        assert fleet.list_late_arrivals() == []

    # Guards against an entry without a path that forgets what it heard through another entry.
    def test_response_to_a_relayed_request_counts_for_the_entry_that_passes_it_on(self, entries):
        fleet = create_fleet(entries)
        names = list(fleet.entries)[: entries // 3]
        fleet.cut_paths(names, PathFault.RESET)
        fleet.advance(3.0)
        target = leave(fleet)
        fleet.advance(2.0)
        fleet.heal_paths(names)
        fleet.advance(6.0)
        assert list_users(fleet, target) == []
        assert fleet.list_late_arrivals() == []

    def test_entry_hears_it_through_another_entry_alone(self, entries):
        fleet = create_fleet(entries)
        names = list(fleet.entries)[: entries // 3]
        fleet.cut_paths(names, PathFault.RESET)
        fleet.advance(2.0)
        for name in set(fleet.entries) - set(names):
            fleet.cut_entry(name, is_cut=True)
        # Another target may be avoided by chance, and then nobody hears of its departure.
        target = max(
            fleet.targets, key=lambda item: item.count_arrivals(fleet.now - 1.0, fleet.now)
        )
        target.is_leaving = True
        fleet.advance(2.0)
        for name in names:
            fleet.cut_entry(name, is_cut=True)
        told = set(names) & set(target.departure_told_at)
        assert told
        assert told.isdisjoint(list_users(fleet, target))
        fleet.heal_paths(names)
        fleet.advance(6.0)
        assert fleet.list_late_arrivals() == []

    # Guards against targets that leave and still count as working ones that must get requests.
    def test_leaving_target_gets_no_trial_while_requests_fail(self, entries):
        fleet = create_fleet(entries)
        target = leave(fleet)
        for failing in fleet.targets[1:3]:
            failing.is_dead = True
        fleet.advance(10.0)
        assert fleet.list_late_arrivals() == []
        assert list_users(fleet, target) == []


class TestUnknownIncarnation:
    # Guards against a statement that ends with the announcement of the process that made it.
    def test_new_process_leaves_before_entries_heard_of_it(self):
        fleet = create_fleet(6)
        fleet.counts_unknown_incarnations = True
        hubs = tuple(fleet.site.hubs)
        fleet.stop_hubs(*hubs)
        fleet.restart_target(fleet.targets[0])
        target = leave(fleet)
        fleet.advance(4.0)
        assert target.departure_told_at
        fleet.start_hubs(*hubs)
        fleet.advance(8.0)
        assert fleet.list_late_arrivals() == []


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["leave", "restart", "replace", "cut", "freeze", "restart-entry", "hubs", "path"]
        ),
        st.integers(0, 5),
    ),
    min_size=3,
    max_size=7,
)


class TestAnyOrder:
    """Targets leave, restart and are replaced while entries, hubs and paths fail."""

    @given(actions=ACTIONS, seed=st.integers(0, 1000))
    @settings(max_examples=settings.default.max_examples // 5)
    def test_no_request_reaches_a_target_long_after_it_said_that_it_leaves(self, actions, seed):
        fleet = create_fleet(6, seed=seed)
        for action, number in actions:
            self._act(fleet, action, number)
            # A target that restarts announces itself before it may leave again.
            fleet.advance(2.3)
        for name in fleet.entries:
            self._heal(fleet, name)
        fleet.start_hubs(*(vm for vm, hub in fleet.site.hubs.items() if hub.node is None))
        fleet.advance(8.0)
        assert fleet.list_late_arrivals() == []
        for target in fleet.targets:
            if target.departure_told_at:
                assert list_users(fleet, target) == []

    def _act(self, fleet: FakeFleet, action: str, number: int) -> None:
        target, name = fleet.targets[number], f"e{number}"
        entry = fleet.entries[name]
        if action == "leave":
            target.is_leaving = True
        elif action == "restart" and not target.is_replaced:
            fleet.restart_target(target)
        elif action == "replace" and not target.is_replaced:
            fleet.replace_target(target)
        elif action == "cut":
            fleet.cut_entry(name, is_cut=not entry.is_cut)
        elif action == "freeze":
            fleet.freeze_entry(name, is_frozen=not entry.is_frozen)
        elif action == "restart-entry":
            fleet.start_entry(name)
        elif action == "path" and entry.path_fault is None:
            fleet.cut_paths([name], list(PathFault)[number % 3])
        elif action == "path":
            fleet.heal_paths([name])
        elif action == "hubs":
            stopped = [vm for vm, hub in fleet.site.hubs.items() if hub.node is None]
            if stopped:
                fleet.start_hubs(*stopped)
            else:
                fleet.stop_hubs(*fleet.site.hubs)

    def _heal(self, fleet: FakeFleet, name: str) -> None:
        entry = fleet.entries[name]
        if entry.is_frozen:
            fleet.freeze_entry(name, is_frozen=False)
        if entry.is_cut:
            fleet.cut_entry(name, is_cut=False)
        fleet.heal_paths([name])


def create_node(*targets: TargetEntry) -> EdgeNode:
    node_settings = EdgeSettings(
        vm="e0",
        address="e0:80",
        data_centre="z0",
        regions={"z0": "r0"},
        hubs=(),
        budget=RetryBudgetSettings(ratio=0.2, slack=50.0, window=10.0),
        address_lifetime_seconds=1.5,
    )
    node = EdgeNode(settings=node_settings, reader=FakeReader(), random=Random(1))
    receive(node, 0.0, CatalogueCopy(3, compress_content(b"3")), TargetNews(targets))
    node.pop_pending_effects()
    return node


def receive(node: EdgeNode, now: float, *messages) -> list:
    effects = []
    for message in messages:
        effects += node.handle(now, HubReceived("", message))
    return effects


def create_record(**fields) -> TargetEntry:
    values = {name: getattr(TARGET, name) for name in TARGET.__dataclass_fields__}
    return TargetEntry(**{**values, **fields})


class TestEntry:
    def test_departure_closes_idle_connections_and_is_told_to_the_hub(self):
        node = create_node(TARGET)
        node.record_departure(1.0, TARGET)
        effects = node.pop_pending_effects()
        draining = create_record(state=TargetState.DRAINING)
        assert CloseIdleConnections(TARGET) in effects
        assert SendToHub(TargetNews((draining,))) in effects
        events = [item.event for item in effects if isinstance(item, EmitEvent)]
        assert events == ["target_leaving", "target_changed"]
        assert node.get_idle_limit(TARGET) == 0
        assert not node.is_usable(TARGET)
        assert node.departures.count == 1

    def test_further_responses_are_not_told_again(self):
        node = create_node(TARGET)
        for now in (1.0, 1.1, 5.0):
            node.record_departure(now, TARGET)
        sent = [item for item in node.pop_pending_effects() if isinstance(item, SendToHub)]
        assert len(sent) == 1

    def test_later_announcement_of_the_incarnation_does_not_undo_it(self):
        node = create_node(TARGET)
        node.record_departure(1.0, TARGET)
        node.pop_pending_effects()
        effects = receive(node, 2.0, TargetNews((create_record(sequence=9),)))
        assert node.targets.list_usable("s") == ()
        # The hub has not heard of it and is told again.
        told = create_record(sequence=9, state=TargetState.DRAINING)
        assert effects == [SendToHub(TargetNews((told,)))]

    def test_announcement_after_the_record_was_removed_does_not_undo_it(self):
        node = create_node(TARGET)
        node.record_departure(1.0, TARGET)
        receive(node, 2.0, TargetNews((create_record(sequence=9, state=TargetState.LEFT),)))
        node.tick(200.0)
        assert node.targets.get("i-1") is None
        receive(node, 201.0, TargetNews((create_record(sequence=10),)))
        assert node.targets.list_usable("s") == ()

    def test_new_incarnation_ends_it(self):
        node = create_node(TARGET)
        node.record_departure(1.0, TARGET)
        restarted = create_record(started=2000, sequence=1)
        receive(node, 2.0, TargetNews((restarted,)))
        assert node.targets.list_usable("s") == (restarted,)

    def test_response_of_an_earlier_incarnation_does_not_count(self):
        restarted = create_record(started=2000, sequence=1)
        node = create_node(restarted)
        node.record_departure(1.0, TARGET)
        assert node.targets.list_usable("s") == (restarted,)
        assert node.pop_pending_effects() == []

    def test_relayed_response_counts_if_the_incarnation_was_known_when_it_was_sent(self):
        node = create_node(TARGET)
        receive(node, 2.0, TargetNews((create_record(started=2000),)))
        node.record_relayed_departure(3.0, "i-1", sent_at=1.0)
        assert len(node.targets.list_usable("s")) == 1
        node.record_relayed_departure(3.0, "i-1", sent_at=2.5)
        node.record_relayed_departure(3.0, "i-9", sent_at=2.5)
        assert node.targets.list_usable("s") == ()

    def test_announced_drain_closes_idle_connections(self):
        node = create_node(TARGET)
        draining = create_record(sequence=6, state=TargetState.DRAINING)
        assert CloseIdleConnections(TARGET) in receive(node, 1.0, TargetNews((draining,)))

    def test_departures_are_removed_in_the_end(self):
        node = create_node(TARGET)
        node.record_departure(1.0, TARGET)
        node.tick(2.0 + RETENTION_SECONDS)
        assert node.departures.count == 0
