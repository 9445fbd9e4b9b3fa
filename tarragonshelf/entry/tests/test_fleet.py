"""Tests of several entries together: floor, departing targets, membership, configuration."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ...entry import EntryNode
from ...health import EjectionGrants, Outcome
from ...membership import EntryState, TargetState
from ...routing import Balancer
from .fakes import CONTROL, FakeEntries, create_content

FLOOR = 3
LEAVE_SECONDS = 5.0
IN_FORCE_SECONDS = 6.0
WARMUP_SECONDS = 6.0


def create_fleet(count: int = 4, **options) -> FakeEntries:
    fleet = FakeEntries(count, **options)
    fleet.apply(create_content(floor=FLOOR))
    fleet.advance(WARMUP_SECONDS)
    return fleet


def record_failures(fleet, targets, entries, count: int = 3) -> None:
    """Record at these entries that these targets fail and the others answer."""
    for vm in entries:
        for address in fleet.targets:
            is_failing = address in targets
            fleet.record(vm, address, Outcome.HUNG if is_failing else Outcome.ANSWERED, count)


class TestAnnouncements:
    def test_unknown_targets_are_refused_beyond_the_limit(self):
        """Guards against announcements of targets that do not exist, without end."""
        fleet = create_fleet()
        entry = fleet.entries["e0"]
        assert entry.has_room_for("unknown")
        entry.maximum_targets = len(fleet.targets)
        assert not entry.has_room_for("unknown")
        assert all(entry.has_room_for(address) for address in fleet.targets)


class TestDetection:
    def test_failing_target_is_ejected_everywhere(self):
        fleet = create_fleet()
        for _ in range(8):
            record_failures(fleet, {"t0"}, fleet.entries)
            fleet.advance(0.25)
        fleet.advance(1)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_failures_seen_by_one_entry_eject_no_target(self):
        fleet = create_fleet()
        for _ in range(20):
            record_failures(fleet, {"t0", "t1"}, ["e0"])
            record_failures(fleet, set(), ["e1", "e2", "e3"])
            fleet.advance(0.25)
        assert fleet.machine.grants.list_ejections() == ()

    def test_failure_of_a_whole_service_ejects_no_target(self):
        fleet = create_fleet()
        for _ in range(20):
            record_failures(fleet, set(fleet.targets), fleet.entries, count=1)
            fleet.advance(0.25)
        assert fleet.machine.grants.list_ejections() == ()

    def test_ejected_target_returns_after_probation(self):
        fleet = create_fleet()
        for _ in range(8):
            record_failures(fleet, {"t0"}, fleet.entries)
            fleet.advance(0.25)
        fleet.advance(12)
        assert all("t0" in fleet.list_ready(vm) for vm in fleet.entries)


class TestFloor:
    def test_ejections_of_many_failing_targets_leave_the_floor(self):
        fleet = create_fleet()
        bad = {"t0", "t1", "t2", "t3", "t4"}
        for _ in range(12):
            record_failures(fleet, bad, fleet.entries)
            fleet.advance(0.25)
        assert len(fleet.machine.grants.list_ejections()) <= 6 - FLOOR
        assert all(len(fleet.list_ready(vm)) >= FLOOR for vm in fleet.entries)

    def test_ejections_end_when_other_targets_drain(self):
        fleet = create_fleet()
        for _ in range(12):
            record_failures(fleet, {"t0", "t1", "t2"}, fleet.entries)
            fleet.advance(0.25)
        assert fleet.machine.grants.list_ejections() != ()
        for address in ("t3", "t4", "t5"):
            fleet.targets[address].state = TargetState.DRAINING
        fleet.advance(4)
        assert all(len(fleet.list_ready(vm)) == FLOOR for vm in fleet.entries)

    def test_entry_without_control_keeps_the_floor(self):
        fleet = create_fleet()
        for _ in range(12):
            record_failures(fleet, {"t0", "t1", "t2"}, fleet.entries)
            fleet.advance(0.25)
        fleet.broken_links |= {("e0", CONTROL), (CONTROL, "e0")}
        for address in ("t3", "t4"):
            fleet.targets[address].state = TargetState.LEAVING
        fleet.advance(4)
        assert len(fleet.list_ready("e0")) == FLOOR


class FloorMachine(RuleBasedStateMachine):
    """Targets fail, drain and restart, links break; ejections never go below the floor."""

    create_grants = EjectionGrants
    create_balancer = Balancer

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = FakeEntries(3, seed=seed)
        self.fleet.machine.grants.__class__ = self.create_grants
        for node in self.fleet.entries.values():
            node.balancer.__class__ = self.create_balancer
        self.fleet.apply(create_content(floor=FLOOR))
        self.fleet.advance(WARMUP_SECONDS)

    @rule(
        bad=st.sets(st.sampled_from(["t0", "t1", "t2", "t3", "t4", "t5"]), max_size=5),
        entries=st.sets(st.sampled_from(["e0", "e1", "e2"]), min_size=1),
    )
    def record_failures(self, bad, entries):
        for _ in range(6):
            known = [vm for vm in entries if self.knows_all_targets(vm)]
            record_failures(self.fleet, bad, known)
            self.fleet.advance(0.25, self.check)

    @rule(address=st.sampled_from(["t0", "t1", "t2"]), seconds=st.sampled_from([0.5, 4.0]))
    def leave(self, address, seconds):
        self.fleet.targets[address].state = TargetState.DRAINING
        self.fleet.advance(seconds, self.check)

    @rule(address=st.sampled_from(["t0", "t1", "t2"]))
    def restart_target(self, address):
        target = self.fleet.targets[address]
        target.incarnation += 1
        target.state = TargetState.READY
        self.fleet.advance(1.0, self.check)

    @rule(vm=st.sampled_from(["e0", "e1", "e2"]), side=st.booleans())
    def break_control_link(self, vm, side):
        self.fleet.broken_links.add((vm, CONTROL) if side else (CONTROL, vm))

    @rule(one=st.sampled_from(["e0", "e1", "e2"]), other=st.sampled_from(["e0", "e1", "e2"]))
    def break_entry_link(self, one, other):
        self.fleet.broken_links.add((one, other))

    @rule()
    def restore_links(self):
        self.fleet.broken_links.clear()
        self.fleet.advance(2.0, self.check)

    @invariant()
    def check_floor(self):
        if hasattr(self, "fleet"):
            self.check()

    def check(self):
        for vm, node in self.fleet.entries.items():
            ready = node.gossip.targets.list_ready("rondas")
            usable = node.balancer.list_usable("rondas")
            assert len(usable) >= min(FLOOR, len(ready)), f"{vm} uses {len(usable)}"
        grants = self.fleet.machine.grants
        ejected = {item.target for item in grants.list_ejections("rondas")}
        for view in grants._list_views("rondas", self.fleet.machine.time):
            healthy = sum(1 for item in view if item.address not in ejected)
            assert healthy >= min(FLOOR, len(view)), f"{healthy} healthy of {len(view)}"

    def knows_all_targets(self, vm):
        targets = self.fleet.entries[vm].gossip.targets
        return all(targets.get_record(address) for address in self.fleet.targets)


class TestFloorMachine(FloorMachine.TestCase):
    settings = settings(stateful_step_count=12, max_examples=settings.default.max_examples // 4)


class GrantsIgnoringFloor(EjectionGrants):
    """Grants that ignore the floor, which the test must detect."""

    def count_healthy(self, service, time):
        return 1000


class BalancerIgnoringFloor(Balancer):
    """A balancer that applies all ejections despite the floor, which the test must detect."""

    def list_usable(self, service):
        return [item for item in self.targets.list_ready(service) if not self.is_ejected(item)]


class TestFloorFailsWithoutMechanism:
    def prepare(self, grants=EjectionGrants, balancer=Balancer) -> FloorMachine:
        """Eject as many targets as the floor allows, and break one entry's control links."""
        machine = FloorMachine()
        machine.create_grants, machine.create_balancer = grants, balancer
        machine.start(1)
        machine.record_failures({"t0", "t1", "t2"}, ["e0", "e1", "e2"])
        assert len(machine.fleet.machine.grants.list_ejections()) == 3
        machine.break_control_link("e0", True)
        machine.break_control_link("e0", False)
        return machine

    def drain_others(self, machine: FloorMachine) -> None:
        for address in ("t3", "t4", "t5"):
            machine.fleet.targets[address].state = TargetState.DRAINING
        machine.fleet.advance(2, machine.check)

    def test_floor_holds_with_both_mechanisms(self):
        self.drain_others(self.prepare())

    def test_fails_without_the_floor_in_grants(self):
        machine = self.prepare(GrantsIgnoringFloor)
        with pytest.raises(AssertionError, match="healthy of"):
            self.drain_others(machine)

    def test_fails_without_the_floor_in_entries(self):
        machine = self.prepare(balancer=BalancerIgnoringFloor)
        with pytest.raises(AssertionError, match="uses"):
            self.drain_others(machine)


class TestLeaving:
    @pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.LEAVING])
    def test_draining_or_leaving_target_gets_no_requests(self, state):
        fleet = create_fleet(8)
        fleet.targets["t0"].state = state
        fleet.advance(LEAVE_SECONDS)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_silent_target_gets_no_requests(self):
        fleet = create_fleet(8)
        fleet.targets["t0"].is_alive = False
        fleet.advance(LEAVE_SECONDS)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_silent_target_with_killed_registrar_gets_no_requests(self):
        fleet = create_fleet(8)
        fleet.targets["t0"].is_alive = False
        fleet.stopped.add(fleet.targets["t0"].registrars[0])
        fleet.advance(LEAVE_SECONDS)
        running = [vm for vm in fleet.entries if vm not in fleet.stopped]
        assert all("t0" not in fleet.list_ready(vm) for vm in running)

    def test_target_without_link_to_one_registrar_stays_ready(self):
        fleet = create_fleet(8)
        registrar = fleet.targets["t0"].registrars[0]
        fleet.broken_links.add(("t0", registrar))

        def check():
            assert all("t0" in fleet.list_ready(vm) for vm in fleet.entries)

        fleet.advance(15, check)

    def test_old_announcement_does_not_undo_a_drain(self):
        fleet = create_fleet(8)
        old = fleet.targets["t0"].create_announcement()
        fleet.targets["t0"].state = TargetState.DRAINING
        fleet.advance(2)
        for vm in fleet.entries:
            fleet._execute(vm, fleet.entries[vm].handle(fleet.now, old))
        fleet.advance(3)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_gossip_routes_around_a_one_way_link_failure(self):
        fleet = create_fleet(8)
        registrars = fleet.targets["t0"].registrars
        fleet.broken_links |= {(vm, "e7") for vm in registrars}
        fleet.delay, fleet.duplicate = 0.4, 0.3
        fleet.targets["t0"].state = TargetState.LEAVING
        fleet.advance(LEAVE_SECONDS)
        assert "t0" not in fleet.list_ready("e7")

    @settings(max_examples=settings.default.max_examples // 2)
    @given(
        seed=st.integers(0, 10_000),
        count=st.integers(3, 12),
        delay=st.floats(0, 0.3),
        duplicate=st.sampled_from([0.0, 0.5]),
        state=st.sampled_from([TargetState.DRAINING, TargetState.LEAVING, TargetState.SILENT]),
        killed_registrar=st.sampled_from([None, 0, 1]),
        initial_seconds=st.floats(0, 1),
    )
    def test_departed_target_gets_no_requests_after_leave_seconds(
        self, seed, count, delay, duplicate, state, killed_registrar, initial_seconds
    ):
        fleet = create_fleet(count, seed=seed)
        fleet.delay, fleet.duplicate = delay, duplicate
        fleet.advance(initial_seconds)
        target = fleet.targets["t0"]
        if state == TargetState.SILENT:
            target.is_alive = False
        target.state = state
        if killed_registrar is not None:
            fleet.advance(0 if state == TargetState.SILENT else 1.0)
            fleet.stopped.add(target.registrars[killed_registrar])
        fleet.advance(LEAVE_SECONDS)
        running = [vm for vm in fleet.entries if vm not in fleet.stopped]
        assert all("t0" not in fleet.list_ready(vm) for vm in running)


class TestEntries:
    def test_killed_entry_is_no_longer_listed(self):
        fleet = create_fleet(6)
        fleet.stopped.add("e5")
        fleet.advance(12)
        for vm in ("e0", "e1", "e2"):
            record = fleet.entries[vm].gossip.entries.get_record("e5")
            assert record.state == EntryState.FAILED
            assert "http e5" not in fleet.entries[vm].list_addresses("caller", "n1")

    def test_one_way_link_failure_between_two_entries_fails_neither(self):
        fleet = create_fleet(6)
        fleet.broken_links.add(("e0", "e1"))
        fleet.advance(20)
        for vm in ("e2", "e3"):
            states = [fleet.entries[vm].gossip.entries.get_record(n).state for n in ("e0", "e1")]
            assert EntryState.FAILED not in states

    def test_restarted_entry_is_alive_again(self):
        fleet = create_fleet(4)
        fleet.stopped.add("e3")
        fleet.advance(12)
        fleet.restart("e3")
        fleet.advance(4)
        assert fleet.entries["e0"].gossip.entries.get_record("e3").state == EntryState.ALIVE
        assert len(fleet.list_ready("e3")) == 6

    def test_drained_entry_is_not_listed(self):
        fleet = create_fleet(4)
        fleet.drain("e1")
        fleet.advance(3)
        assert "http e1" not in fleet.entries["e0"].list_addresses("caller", "n1")

    def test_entry_that_receives_nothing_withdraws_until_links_recover(self):
        fleet = create_fleet(6)
        fleet.broken_links = {(vm, "e5") for vm in fleet.entries if vm != "e5"}
        fleet.broken_links |= {(CONTROL, "e5")}
        fleet.advance(8)
        for vm in ("e0", "e5"):
            assert "http e5" not in fleet.entries[vm].list_addresses("caller", "n1")
        fleet.broken_links = set()
        fleet.advance(4)
        assert fleet.entries["e0"].gossip.entries.get_record("e5").state == EntryState.ALIVE

    def test_addresses_are_never_empty(self):
        fleet = create_fleet(2)
        fleet.drain("e0")
        fleet.drain("e1")
        fleet.advance(3)
        assert fleet.entries["e0"].list_addresses("caller", "n1")


class TestConfiguration:
    def test_change_is_in_force_everywhere(self):
        fleet = create_fleet(8)
        fleet.apply(create_content(floor=2))
        fleet.advance(IN_FORCE_SECONDS)
        assert {node.follower.version for node in fleet.entries.values()} == {2}

    def test_entry_without_control_gets_it_from_peers(self):
        fleet = create_fleet(8)
        fleet.broken_links |= {("e5", CONTROL), (CONTROL, "e5")}
        fleet.apply(create_content(floor=2))
        fleet.advance(IN_FORCE_SECONDS)
        assert fleet.entries["e5"].follower.version == 2

    def test_restarted_entry_without_control_gets_the_highest_version(self):
        fleet = create_fleet(4)
        fleet.apply(create_content(floor=2))
        fleet.advance(2)
        fleet.broken_links |= {
            pair for vm in fleet.entries for pair in ((vm, CONTROL), (CONTROL, vm))
        }
        fleet.advance(3600 / 60)
        fleet.restart("e2")
        fleet.advance(IN_FORCE_SECONDS)
        assert fleet.entries["e2"].follower.version == 2

    @pytest.mark.parametrize("has_guard", [True, False])
    def test_older_state_is_never_followed(self, has_guard):
        fleet = create_fleet(2)
        node: EntryNode = fleet.entries["e0"]
        old = node.get_followed_state()
        fleet.apply(create_content(floor=2))
        fleet.advance(2)
        if not has_guard:
            # Resetting the version in force disables the guard, which shows that it has effect.
            node.follower.in_force = old.configuration.__class__()
        effects = node.follow(fleet.now, CONTROL, old)
        fleet._execute("e0", effects)
        assert (effects == []) == has_guard

    def test_damaged_chunk_is_not_put_in_force(self):
        fleet = create_fleet(2)
        fetch_intact = fleet._fetch

        def fetch(source, request):
            chunks = fetch_intact(source, request).items
            damaged = [type(item)(item.digest, item.content + b" ") for item in chunks]
            return type(fetch_intact(source, request))(tuple(damaged))

        fleet._fetch = fetch
        fleet.apply(create_content(floor=1))
        fleet.advance(2)
        assert fleet.entries["e0"].follower.version == 1
        fleet._fetch = fetch_intact
        fleet.advance(2)
        assert fleet.entries["e0"].follower.version == 2


class TestPoison:
    def count_quarantined(self, seconds: float, entries: int = 48) -> int:
        fleet = create_fleet(entries)
        fleet.delay = 0.02
        for n in range(2):
            node = fleet.entries["e0"]
            node.record_crash(fleet.now, "digest", node.gossip.targets.get_record(f"t{n}"))
            fleet._execute("e0", node.pop_pending_effects())
        fleet.advance(seconds)
        return sum(node.is_quarantined(fleet.now, "digest") for node in fleet.entries.values())

    def test_crash_is_gossiped_without_waiting_for_the_next_round(self):
        assert self.count_quarantined(0.4) == 48
