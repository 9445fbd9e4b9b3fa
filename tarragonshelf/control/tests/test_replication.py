"""Replication and claims under message loss, partitions, crashes, freezes and lost disks."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ...configuration import ApplyState, Chunk
from ...consensus import Member, Membership, Replica, SaveSnapshot, Snapshot
from ...control import (
    ControlNode,
    ControlSnapshot,
    Follow,
    Followed,
    Refused,
    RefusedReason,
    StopRequested,
    UnresolvedRequest,
)
from ...ledger import ClaimId, ClaimKey, ClaimState, OrderKey
from ...storage import ReplicaStore
from ...utils import compute_digest
from .fakes import FakeEntry, FakeFleet, create_change

NAMES = ["a", "b", "c"]
vms = st.sampled_from(NAMES)
keys = st.sampled_from(["k1", "k2", "k3"])


class FleetMachine(RuleBasedStateMachine):
    """Random operations; the fake fleet checks its invariants after each step."""

    create_node = ControlNode
    create_store = ReplicaStore

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.fleet = FakeFleet(
            NAMES, seed=seed, create_node=self.create_node, create_store=self.create_store
        )
        self.entries = [FakeEntry(self.fleet, "e1"), FakeEntry(self.fleet, "e2")]
        self.fleet.start_all()
        self.fleet.advance(3)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.fleet.advance(0.1)
            for entry in self.entries:
                entry.process_claims()

    @rule(vm=vms, key=keys, entry=st.integers(0, 1))
    def claim(self, vm, key, entry):
        self.entries[entry].claim(vm, key)

    @rule(vm=vms)
    def crash(self, vm):
        self.fleet.crash(vm)

    @rule(vm=vms)
    def start_again(self, vm):
        if self.fleet.controls[vm].node is None:
            self.fleet.start(vm)

    @rule(vm=vms)
    def lose_disk(self, vm):
        self.fleet.lose_disk(vm)
        self.fleet.start(vm)

    @rule(vm=vms)
    def freeze(self, vm):
        self.fleet.freeze(vm)

    @rule(vm=vms)
    def thaw(self, vm):
        self.fleet.thaw(vm)

    @rule(source=vms, destination=vms)
    def cut(self, source, destination):
        self.fleet.blocked_links.add((source, destination))

    @rule(
        drop=st.sampled_from([0, 0.2]),
        duplicate=st.sampled_from([0, 0.3]),
        delay=st.floats(0, 0.4),
    )
    def disturb(self, drop, duplicate, delay):
        self.fleet.drop, self.fleet.duplicate, self.fleet.delay = drop, duplicate, delay

    @rule()
    def heal(self):
        self.fleet.heal()
        self.advance(2.0)

    @invariant()
    def each_key_runs_at_most_once(self):
        for key in {key for entry in self.entries for key in entry.runs}:
            runs = sum(entry.runs[key] for entry in self.entries)
            assert runs <= 1, f"{key} ran {runs} times"


class TestFleetMachine(FleetMachine.TestCase):
    settings = settings(stateful_step_count=30)


def create_claim(number: int, key: str = "k", vm: str = "e1") -> ClaimKey:
    order = OrderKey("account", "POST /orders", key)
    return ClaimKey(ClaimId(vm, "1", number), order, "digest", "service", 20.0, 600.0)


def create_fleet(names=NAMES, **options) -> FakeFleet:
    fleet = FakeFleet(names, **options)
    fleet.start_all()
    fleet.wait_for_leader()
    return fleet


class UnsyncedStore(ReplicaStore):
    """Faulty store that acknowledges saves but writes nothing; the test must detect it."""

    def save(self, effects):
        pass


class SelfBootstrappingNode(ControlNode):
    """Faulty control that recreates the voter set from an empty data folder.

    It returns as the same voter without its log; the test must detect it.
    """

    def __init__(self, **options):
        options["incarnation"] = "1"
        if options["snapshot"] is None:
            members = tuple(Member(f"{vm}/1", vm, vm, voting=True) for vm in NAMES)
            data = options["codec"].encode(ControlSnapshot(cluster="cluster", index=1))
            snapshot = Snapshot(1, 0, Membership(members), data)
            super().__init__(**options | {"snapshot": snapshot})
            self._effects.append(SaveSnapshot(snapshot))
        else:
            super().__init__(**options)


class SwappingNode(ControlNode):
    """Faulty control that swaps two voters in one change; the test must detect it."""

    def _admit_learners(self, now):
        membership = self.replica.membership
        learners = [item for item in membership.members if not item.voting]
        if not learners or self.replica.membership_index > self.replica.commit:
            return
        kept = tuple(item for item in membership.members if item.vm != learners[0].vm)
        swapped = Membership((*kept, replace(learners[0], voting=True)))
        self.replica.propose_membership(now, swapped)


class TestLostDisk:
    def run_lost_disk(self, **options):
        """Claim a key on two of three controls, and restart without one of these two.

        The other one restarts with an empty disk, next to the third that never had the claim.
        """
        fleet = create_fleet(**options)
        leader = fleet.wait_for_leader()
        second, third = (vm for vm in NAMES if vm != leader)
        fleet.crash(third)
        assert fleet.submit(create_claim(1)).state == ClaimState.GRANTED
        fleet.lose_disk(second)
        fleet.crash(leader)
        fleet.start(second)
        fleet.start(third)
        fleet.advance(10)
        return fleet, leader

    def test_replica_with_an_emptied_folder_does_not_elect_a_leader_without_the_claim(self):
        fleet, leader = self.run_lost_disk()
        assert fleet.find_leader() is None
        fleet.start(leader)
        fleet.wait_for_leader()
        assert fleet.submit(create_claim(2, vm="e2")).state == ClaimState.PENDING

    def test_fails_if_an_emptied_folder_bootstraps_a_voter_set(self):
        with pytest.raises(AssertionError):
            fleet, _ = self.run_lost_disk(create_node=SelfBootstrappingNode)
            assert fleet.find_leader() is None

    def test_claim_survives_a_second_failure_right_after_a_repair(self):
        fleet = create_fleet(["a", "b", "c", "d", "e"])
        assert fleet.submit(create_claim(1)).state == ClaimState.GRANTED
        leader = fleet.wait_for_leader()
        first, second = [vm for vm in fleet.controls if vm != leader][:2]
        fleet.lose_disk(first)
        fleet.start(first)
        fleet.advance(5)
        fleet.crash(second)
        fleet.crash(leader)
        fleet.wait_for_leader()
        assert fleet.submit(create_claim(2, vm="e2")).state == ClaimState.PENDING

    def test_learner_replaces_its_old_incarnation(self):
        fleet = create_fleet()
        leader = fleet.wait_for_leader()
        lost = next(vm for vm in NAMES if vm != leader)
        before = fleet.controls[lost].node.identity
        fleet.lose_disk(lost)
        fleet.start(lost)
        fleet.advance(5)
        voters = fleet.controls[fleet.wait_for_leader()].node.replica.membership.voters
        assert before not in voters
        assert fleet.controls[lost].node.identity in voters
        assert len(voters) == 3

    def test_two_voters_are_never_swapped_in_one_change(self):
        fleet = create_fleet(create_node=SwappingNode)
        lost = next(vm for vm in NAMES if vm != fleet.wait_for_leader())
        fleet.lose_disk(lost)
        fleet.start(lost)
        with pytest.raises(ValueError, match="one voter at a time"):
            fleet.advance(5)


class TestDurability:
    def run_power_loss(self, **options):
        fleet = create_fleet(**options)
        assert fleet.submit(create_claim(1)).state == ClaimState.GRANTED
        for vm in NAMES:
            fleet.crash(vm)
        for vm in NAMES:
            fleet.start(vm)
        fleet.wait_for_leader()
        assert fleet.submit(create_claim(2, vm="e2")).state == ClaimState.PENDING

    def test_claim_survives_a_power_loss_everywhere(self):
        self.run_power_loss()

    def test_fails_if_nothing_is_saved(self):
        with pytest.raises(AssertionError):
            self.run_power_loss(create_store=UnsyncedStore)


class NoCheckQuorumReplica(Replica):
    """Faulty replica that leads without contact with a quorum; the test must detect it."""

    def _has_quorum_contact(self, now):
        return True


class NoCheckQuorumNode(ControlNode):
    """Control with a ``NoCheckQuorumReplica``."""

    def __init__(self, **options):
        super().__init__(**options)
        self.replica.__class__ = NoCheckQuorumReplica


class TestOneWayPartition:
    def run_leader_without_inbound_links(self, **options):
        """Block all links to the leader, but none from it."""
        fleet = create_fleet(**options)
        leader = fleet.wait_for_leader()
        fleet.blocked_links = {(vm, leader) for vm in NAMES if vm != leader}
        fleet.advance(10)
        assert fleet.find_leader() not in (None, leader)
        return fleet, leader

    def test_leader_that_receives_nothing_steps_down(self):
        fleet, _ = self.run_leader_without_inbound_links()
        assert fleet.submit(create_claim(1)).state == ClaimState.GRANTED

    def test_fails_without_check_quorum(self):
        with pytest.raises(AssertionError):
            self.run_leader_without_inbound_links(create_node=NoCheckQuorumNode)

    def test_follower_without_heartbeats_does_not_depose_the_leader(self):
        fleet = create_fleet()
        leader = fleet.wait_for_leader()
        follower = next(vm for vm in NAMES if vm != leader)
        term = fleet.controls[leader].node.replica.term
        fleet.blocked_links = {(leader, follower)}
        fleet.advance(20)
        fleet.heal()
        fleet.advance(5)
        assert fleet.find_leader() == leader
        assert fleet.controls[leader].node.replica.term == term

    def test_isolated_control_reports_that_it_is_stale(self):
        fleet = create_fleet()
        leader = fleet.wait_for_leader()
        links = {(vm, leader) for vm in NAMES} | {(leader, vm) for vm in NAMES}
        fleet.blocked_links = links
        fleet.advance(5)
        call = fleet.call(leader, Follow("e1", "1", -1, 0, "", "", ""))
        assert isinstance(fleet.replies[call], Followed)
        assert fleet.replies[call].is_stale
        call = fleet.call(leader, UnresolvedRequest())
        assert isinstance(fleet.replies[call], Refused)
        status = fleet.controls[leader].node.describe(fleet.now)
        assert not status.is_current


class TestFrozenLeader:
    def test_resumed_leader_serves_neither_reads_nor_claims_of_its_old_term(self):
        fleet = create_fleet()
        old = fleet.wait_for_leader()
        fleet.freeze(old)
        fleet.advance(5)
        assert fleet.submit(create_claim(1)).state == ClaimState.GRANTED
        late_read = fleet.call(old, UnresolvedRequest())
        late_claim = fleet.call(old, create_claim(2, vm="e2"))
        fleet.thaw(old)
        fleet.advance(3)
        assert isinstance(fleet.replies[late_read], Refused)
        assert getattr(fleet.replies[late_claim], "state", None) != ClaimState.GRANTED


class TestPlannedStop:
    def test_leadership_is_transferred_at_once(self):
        fleet = create_fleet()
        leader = fleet.wait_for_leader()
        fleet._deliver(leader, StopRequested())
        fleet.advance(0.3)
        assert fleet.find_leader() not in (None, leader)


class TestConfiguration:
    def test_second_of_two_racing_changes_conflicts_and_gets_the_first_author(self):
        fleet = create_fleet()
        first = fleet.submit(create_change("ana", 0, "a"))
        second = fleet.submit(create_change("ben", 0, "b"))
        assert first.state == ApplyState.ACCEPTED
        assert (second.state, second.author) == (ApplyState.CONFLICT, "ana")

    def test_resend_after_many_changes_and_a_restart_gets_the_first_result(self):
        fleet = create_fleet()
        fleet.snapshot_entries = 200
        first = fleet.submit(create_change("change-0", 0, "n0"))
        for n in range(1, 1001):
            leader = fleet.wait_for_leader()
            change = create_change(f"change-{n}", n, f"n{n}")
            fleet.call(leader, change)
            if n % 50 == 0:
                fleet.advance(0.5)
        fleet.advance(2)
        for vm in NAMES:
            fleet.crash(vm)
            fleet.start(vm)
        fleet.wait_for_leader()
        again = fleet.submit(create_change("change-0", 0, "n0"))
        assert again == first
        machine = fleet.controls[fleet.wait_for_leader()].node.machine
        assert machine.register.current.version == 1001

    def test_same_id_with_other_content_is_refused(self):
        fleet = create_fleet()
        fleet.submit(create_change("ana", 0, "a"))
        again = fleet.submit(create_change("ana", 1, "a2"))
        assert again.state == ApplyState.REUSED

    def test_invalid_document_never_reaches_the_log(self):
        fleet = create_fleet()
        valid = create_change("ana", 0, "a")
        broken = b'{"services":[{"name":"rondas"}]}'
        for content in (broken, b"not json", b"[]"):
            chunk = Chunk(compute_digest(content), content)
            invalid = replace(valid, manifest=(chunk.digest,), chunks=(chunk,))
            call = fleet.call(fleet.wait_for_leader(), invalid)
            fleet.advance(1)
            assert fleet.replies[call].reason == RefusedReason.INVALID
            assert fleet.replies[call].detail
        assert fleet.submit(valid).version == 1

    def test_lagging_control_installs_a_snapshot(self):
        fleet = create_fleet()
        leader = fleet.wait_for_leader()
        lagging = next(vm for vm in NAMES if vm != leader)
        fleet.crash(lagging)
        for n in range(150):
            fleet.call(fleet.wait_for_leader(), create_claim(n + 1, key=f"k{n}"))
        fleet.advance(3)
        assert fleet.controls[leader].node.replica.log.base_index > 1
        fleet.start(lagging)
        fleet.advance(5)
        assert fleet.controls[lagging].node.machine.ledger.size == 150
