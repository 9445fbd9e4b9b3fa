"""Floor, leaving targets and configuration over several entries."""

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
WARM_SECONDS = 6.0


def create_fleet(count: int = 4, **options) -> FakeEntries:
    fleet = FakeEntries(count, **options)
    fleet.apply(create_content(floor=FLOOR))
    fleet.advance(WARM_SECONDS)
    return fleet


def fail(fleet, targets, entries, count: int = 3) -> None:
    """Let entries see targets fail and the others answer."""
    for vm in entries:
        for address in fleet.targets:
            is_bad = address in targets
            fleet.record(vm, address, Outcome.HUNG if is_bad else Outcome.ANSWERED, count)


class TestDetection:
    def test_failing_target_is_ejected_everywhere(self):
        fleet = create_fleet()
        for _ in range(8):
            fail(fleet, {"t0"}, fleet.entries)
            fleet.advance(0.25)
        fleet.advance(1)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_failures_seen_by_one_entry_eject_nobody(self):
        fleet = create_fleet()
        for _ in range(20):
            fail(fleet, {"t0", "t1"}, ["e0"])
            fail(fleet, set(), ["e1", "e2", "e3"])
            fleet.advance(0.25)
        assert fleet.machine.grants.list_ejections() == ()

    def test_service_that_fails_as_a_whole_ejects_nobody(self):
        fleet = create_fleet()
        for _ in range(20):
            fail(fleet, set(fleet.targets), fleet.entries, count=1)
            fleet.advance(0.25)
        assert fleet.machine.grants.list_ejections() == ()

    def test_ejected_target_returns_after_probation(self):
        fleet = create_fleet()
        for _ in range(8):
            fail(fleet, {"t0"}, fleet.entries)
            fleet.advance(0.25)
        fleet.advance(12)
        assert all("t0" in fleet.list_ready(vm) for vm in fleet.entries)


class TestFloor:
    def test_many_failing_targets_leave_the_floor(self):
        fleet = create_fleet()
        bad = {"t0", "t1", "t2", "t3", "t4"}
        for _ in range(12):
            fail(fleet, bad, fleet.entries)
            fleet.advance(0.25)
        assert len(fleet.machine.grants.list_ejections()) <= 6 - FLOOR
        assert all(len(fleet.list_ready(vm)) >= FLOOR for vm in fleet.entries)

    def test_ejected_targets_return_when_others_leave(self):
        fleet = create_fleet()
        for _ in range(12):
            fail(fleet, {"t0", "t1", "t2"}, fleet.entries)
            fleet.advance(0.25)
        assert fleet.machine.grants.list_ejections() != ()
        for address in ("t3", "t4", "t5"):
            fleet.targets[address].state = TargetState.DRAINING
        fleet.advance(4)
        assert all(len(fleet.list_ready(vm)) == FLOOR for vm in fleet.entries)

    def test_entries_cut_from_control_keep_the_floor_alone(self):
        fleet = create_fleet()
        for _ in range(12):
            fail(fleet, {"t0", "t1", "t2"}, fleet.entries)
            fleet.advance(0.25)
        fleet.cuts |= {("e0", CONTROL), (CONTROL, "e0")}
        for address in ("t3", "t4"):
            fleet.targets[address].state = TargetState.LEAVING
        fleet.advance(4)
        assert len(fleet.list_ready("e0")) == FLOOR


class FloorMachine(RuleBasedStateMachine):
    """Targets fail, leave and come, entries are cut; no ejection goes below the floor."""

    create_grants = EjectionGrants
    create_balancer = Balancer

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = FakeEntries(3, seed=seed)
        self.fleet.machine.grants.__class__ = self.create_grants
        for node in self.fleet.entries.values():
            node.balancer.__class__ = self.create_balancer
        self.fleet.apply(create_content(floor=FLOOR))
        self.fleet.advance(WARM_SECONDS)

    @rule(
        bad=st.sets(st.sampled_from(["t0", "t1", "t2", "t3", "t4", "t5"]), max_size=5),
        entries=st.sets(st.sampled_from(["e0", "e1", "e2"]), min_size=1),
    )
    def fail(self, bad, entries):
        for _ in range(6):
            known = [vm for vm in entries if self.knows_all(vm)]
            fail(self.fleet, bad, known)
            self.fleet.advance(0.25, self.check)

    @rule(address=st.sampled_from(["t0", "t1", "t2"]), seconds=st.sampled_from([0.5, 4.0]))
    def leave(self, address, seconds):
        self.fleet.targets[address].state = TargetState.DRAINING
        self.fleet.advance(seconds, self.check)

    @rule(address=st.sampled_from(["t0", "t1", "t2"]))
    def come_back(self, address):
        target = self.fleet.targets[address]
        target.incarnation += 1
        target.state = TargetState.READY
        self.fleet.advance(1.0, self.check)

    @rule(vm=st.sampled_from(["e0", "e1", "e2"]), side=st.booleans())
    def cut_control(self, vm, side):
        self.fleet.cuts.add((vm, CONTROL) if side else (CONTROL, vm))

    @rule(one=st.sampled_from(["e0", "e1", "e2"]), other=st.sampled_from(["e0", "e1", "e2"]))
    def cut_entries(self, one, other):
        self.fleet.cuts.add((one, other))

    @rule()
    def heal(self):
        self.fleet.cuts.clear()
        self.fleet.advance(2.0, self.check)

    @invariant()
    def floor_holds(self):
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

    def knows_all(self, vm):
        targets = self.fleet.entries[vm].gossip.targets
        return all(targets.get_record(address) for address in self.fleet.targets)


class TestFloorMachine(FloorMachine.TestCase):
    settings = settings(stateful_step_count=12, max_examples=settings.default.max_examples // 4)


class BoundlessGrants(EjectionGrants):
    """Grants that never look at the floor: the test must notice."""

    def count_healthy(self, service, time):
        return 1000


class ObedientBalancer(Balancer):
    """A balancer that obeys every ejection: the test must notice."""

    def list_usable(self, service):
        return [item for item in self.targets.list_ready(service) if not self.is_ejected(item)]


class TestFloorFailsWithoutMechanism:
    def prepare(self, grants=EjectionGrants, balancer=Balancer) -> FloorMachine:
        """Eject as many targets as the floor allows, and cut one entry from control."""
        machine = FloorMachine()
        machine.create_grants, machine.create_balancer = grants, balancer
        machine.start(1)
        machine.fail({"t0", "t1", "t2"}, ["e0", "e1", "e2"])
        assert len(machine.fleet.machine.grants.list_ejections()) == 3
        machine.cut_control("e0", True)
        machine.cut_control("e0", False)
        return machine

    def lose_others(self, machine: FloorMachine) -> None:
        for address in ("t3", "t4", "t5"):
            machine.fleet.targets[address].state = TargetState.DRAINING
        machine.fleet.advance(2, machine.check)

    def test_holds_with_both(self):
        self.lose_others(self.prepare())

    def test_fails_without_the_floor_in_grants(self):
        machine = self.prepare(BoundlessGrants)
        with pytest.raises(AssertionError, match="healthy of"):
            self.lose_others(machine)

    def test_fails_without_the_floor_in_entries(self):
        machine = self.prepare(balancer=ObedientBalancer)
        with pytest.raises(AssertionError, match="uses"):
            self.lose_others(machine)


class TestLeaving:
    @pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.LEAVING])
    def test_target_that_says_so_gets_no_work(self, state):
        fleet = create_fleet(8)
        fleet.targets["t0"].state = state
        fleet.advance(LEAVE_SECONDS)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_silent_target_gets_no_work(self):
        fleet = create_fleet(8)
        fleet.targets["t0"].is_alive = False
        fleet.advance(LEAVE_SECONDS)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_silent_target_whose_registrar_is_killed_gets_no_work(self):
        fleet = create_fleet(8)
        fleet.targets["t0"].is_alive = False
        fleet.stopped.add(fleet.targets["t0"].registrars[0])
        fleet.advance(LEAVE_SECONDS)
        left = [vm for vm in fleet.entries if vm not in fleet.stopped]
        assert all("t0" not in fleet.list_ready(vm) for vm in left)

    def test_target_cut_from_one_registrar_keeps_its_work(self):
        fleet = create_fleet(8)
        registrar = fleet.targets["t0"].registrars[0]
        fleet.cuts.add(("t0", registrar))

        def check():
            assert all("t0" in fleet.list_ready(vm) for vm in fleet.entries)

        fleet.advance(15, check)

    def test_old_announcement_does_not_bring_a_target_back(self):
        fleet = create_fleet(8)
        old = fleet.targets["t0"].create_announcement()
        fleet.targets["t0"].state = TargetState.DRAINING
        fleet.advance(2)
        for vm in fleet.entries:
            fleet._carry_out(vm, fleet.entries[vm].handle(fleet.now, old))
        fleet.advance(3)
        assert all("t0" not in fleet.list_ready(vm) for vm in fleet.entries)

    def test_news_goes_round_a_one_way_cut(self):
        fleet = create_fleet(8)
        registrars = fleet.targets["t0"].registrars
        fleet.cuts |= {(vm, "e7") for vm in registrars}
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
        killed=st.sampled_from([None, 0, 1]),
        phase=st.floats(0, 1),
    )
    def test_bound_holds(self, seed, count, delay, duplicate, state, killed, phase):
        fleet = create_fleet(count, seed=seed)
        fleet.delay, fleet.duplicate = delay, duplicate
        fleet.advance(phase)
        target = fleet.targets["t0"]
        if state == TargetState.SILENT:
            target.is_alive = False
        target.state = state
        if killed is not None:
            fleet.advance(0 if state == TargetState.SILENT else 1.0)
            fleet.stopped.add(target.registrars[killed])
        fleet.advance(LEAVE_SECONDS)
        left = [vm for vm in fleet.entries if vm not in fleet.stopped]
        assert all("t0" not in fleet.list_ready(vm) for vm in left)


class TestEntries:
    def test_killed_entry_is_no_longer_named(self):
        fleet = create_fleet(6)
        fleet.stopped.add("e5")
        fleet.advance(12)
        for vm in ("e0", "e1", "e2"):
            record = fleet.entries[vm].gossip.entries.get_record("e5")
            assert record.state == EntryState.FAILED
            assert "http e5" not in fleet.entries[vm].list_addresses("caller", "n1")

    def test_one_way_cut_between_two_entries_fails_neither(self):
        fleet = create_fleet(6)
        fleet.cuts.add(("e0", "e1"))
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

    def test_drained_entry_is_not_named_but_itself_answers(self):
        fleet = create_fleet(4)
        fleet.drain("e1")
        fleet.advance(3)
        assert "http e1" not in fleet.entries["e0"].list_addresses("caller", "n1")

    def test_deaf_entry_withdraws_itself_and_comes_back(self):
        fleet = create_fleet(6)
        fleet.cuts = {(vm, "e5") for vm in fleet.entries if vm != "e5"}
        fleet.cuts |= {(CONTROL, "e5")}
        fleet.advance(8)
        for vm in ("e0", "e5"):
            assert "http e5" not in fleet.entries[vm].list_addresses("caller", "n1")
        fleet.cuts = set()
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

    def test_entry_cut_from_control_learns_it_from_peers(self):
        fleet = create_fleet(8)
        fleet.cuts |= {("e5", CONTROL), (CONTROL, "e5")}
        fleet.apply(create_content(floor=2))
        fleet.advance(IN_FORCE_SECONDS)
        assert fleet.entries["e5"].follower.version == 2

    def test_restarted_entry_without_control_takes_the_highest_version(self):
        fleet = create_fleet(4)
        fleet.apply(create_content(floor=2))
        fleet.advance(2)
        fleet.cuts |= {pair for vm in fleet.entries for pair in ((vm, CONTROL), (CONTROL, vm))}
        fleet.advance(3600 / 60)
        fleet.restart("e2")
        fleet.advance(IN_FORCE_SECONDS)
        assert fleet.entries["e2"].follower.version == 2

    @pytest.mark.parametrize("is_guarded", [True, False])
    def test_older_word_never_takes_an_entry_back(self, is_guarded):
        fleet = create_fleet(2)
        node: EntryNode = fleet.entries["e0"]
        old = node.get_followed_state()
        fleet.apply(create_content(floor=2))
        fleet.advance(2)
        if not is_guarded:
            # A double that forgets what is in force shows that the guard is what holds.
            node.follower.in_force = old.configuration.__class__()
        effects = node.follow(fleet.now, CONTROL, old)
        fleet._carry_out("e0", effects)
        assert (effects == []) == is_guarded

    def test_damaged_chunk_is_not_put_in_force(self):
        fleet = create_fleet(2)
        whole = fleet._fetch

        def fetch(source, request):
            chunks = whole(source, request).items
            damaged = [type(item)(item.digest, item.content + b" ") for item in chunks]
            return type(whole(source, request))(tuple(damaged))

        fleet._fetch = fetch
        fleet.apply(create_content(floor=1))
        fleet.advance(2)
        assert fleet.entries["e0"].follower.version == 1
        fleet._fetch = whole
        fleet.advance(2)
        assert fleet.entries["e0"].follower.version == 2


class TestPoison:
    def count_quarantined(self, seconds: float, entries: int = 48) -> int:
        fleet = create_fleet(entries)
        fleet.delay = 0.02
        for n in range(2):
            node = fleet.entries["e0"]
            node.record_crash(fleet.now, "digest", node.gossip.targets.get_record(f"t{n}"))
            fleet._carry_out("e0", node.pop_pending_effects())
        fleet.advance(seconds)
        return sum(node.is_quarantined(fleet.now, "digest") for node in fleet.entries.values())

    def test_news_of_a_crash_does_not_wait_for_a_round_of_gossip(self):
        assert self.count_quarantined(0.4) == 48
