"""Tests of targets that start, drain, leave and restart, merged in any order."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ...registry import TargetEntry, TargetRegistry, TargetState

READY = TargetEntry("i-1", 1000, 4, TargetState.READY, "10.0.0.1:80", "s", "z", 3)


def create_registry(*entries: TargetEntry) -> TargetRegistry:
    registry = TargetRegistry()
    for entry in entries:
        registry.merge(0.0, entry)
    return registry


def list_states(registry: TargetRegistry) -> set[tuple]:
    """Return what the records say of all targets, including departed ones."""
    return {
        (item.identity, item.started, item.state, item.address) for item in registry.list_all()
    }


class TestTargetRegistry:
    def test_late_heartbeat_does_not_end_a_drain(self):
        draining = replace(READY, state=TargetState.DRAINING, sequence=5)
        registry = create_registry(draining, replace(READY, sequence=9))
        assert registry.list_usable("s") == ()

    def test_restart_with_the_same_identity_is_usable_again(self):
        left = replace(READY, state=TargetState.LEFT)
        registry = create_registry(READY, left, replace(READY, started=2000, sequence=0))
        assert [item.started for item in registry.list_usable("s")] == [2000]

    def test_earlier_incarnation_never_wins(self):
        registry = create_registry(replace(READY, started=2000), replace(READY, sequence=99))
        assert registry.get("i-1").started == 2000

    def test_later_incarnation_owns_an_address(self):
        other = TargetEntry("i-2", 2000, 1, TargetState.READY, "10.0.0.1:80", "t", "z", 3)
        for order in ((READY, other), (other, READY)):
            registry = create_registry(*order)
            assert registry.list_usable("s") == ()
            assert [item.identity for item in registry.list_usable("t")] == ["i-2"]

    def test_record_of_another_service_does_not_move_a_target(self):
        registry = create_registry(READY, replace(READY, sequence=50, service="t"))
        assert [item.identity for item in registry.list_usable("s")] == ["i-1"]
        assert registry.list_usable("t") == ()

    def test_only_the_present_incarnation_is_usable_and_known_since_it_came(self):
        registry = create_registry(READY)
        registry.merge(2.0, replace(READY, sequence=9))
        assert registry.is_usable(READY)
        assert registry.get_known_at("i-1") == 0.0
        registry.merge(3.0, replace(READY, started=2000))
        assert not registry.is_usable(READY)
        assert registry.is_usable(replace(READY, started=2000))
        assert registry.get_known_at("i-1") == 3.0
        assert not registry.is_usable(replace(READY, identity="i-9"))
        assert registry.get_known_at("i-9") == float("inf")

    def test_target_is_warming_only_for_its_announced_seconds(self):
        registry = create_registry(replace(READY, warm_seconds=3.0))
        assert registry.is_warming(2.9, "i-1")
        assert not registry.is_warming(3.1, "i-1")
        assert not registry.is_warming(1.0, "i-unknown")

    def test_sequence_number_alone_is_no_change(self):
        registry = create_registry(READY)
        assert not registry.merge(1.0, replace(READY, sequence=5))
        assert registry.merge(1.0, replace(READY, sequence=6, state=TargetState.DRAINING))

    # Guards against a write to disk for each target that calls another hub.
    def test_registrar_alone_changes_the_digest_and_not_the_revision(self):
        registry = create_registry(READY)
        digest, revision = registry.digest, registry.revision
        assert registry.merge(1.0, replace(READY, sequence=5, registrar="vm1"))
        assert registry.digest != digest
        assert registry.revision == revision
        registry.merge(2.0, replace(READY, sequence=6, state=TargetState.LEFT))
        assert registry.revision > revision

    def test_departed_target_is_removed_after_retention(self):
        registry = create_registry(READY, replace(READY, state=TargetState.LEFT))
        registry.remove_departed(10.0)
        assert registry.get("i-1") is not None
        registry.remove_departed(500.0)
        assert registry.get("i-1") is None

    # Guards against a departure that is heard before any heartbeat, and lost with the next one.
    def test_departure_of_an_unknown_target_holds_for_its_incarnation_only(self):
        left = TargetEntry("i-1", 1000, 0, TargetState.LEFT)
        registry = create_registry(left, READY)
        assert registry.list_usable("s") == ()
        assert registry.get("i-1").address == READY.address
        restarted = replace(READY, started=2000, address="10.0.0.9:80")
        registry.merge(1.0, restarted)
        registry.merge(2.0, left)
        assert registry.list_usable("s") == (restarted,)

    # Guards against an address that stays with a target whose present address is not known.
    def test_departure_of_a_later_incarnation_frees_the_address_of_the_earlier_one(self):
        registry = create_registry(READY, TargetEntry("i-1", 2000, 0, TargetState.LEFT))
        assert registry.list_usable("s") == ()
        earlier = TargetEntry("i-2", 500, 1, TargetState.READY, READY.address, "s", "z", 3)
        registry.merge(1.0, earlier)
        assert registry.list_usable("s") == (earlier,)

    @given(st.permutations(range(8)))
    def test_registries_converge_for_any_order_of_updates(self, order):
        updates = [
            READY,
            replace(READY, sequence=7),
            replace(READY, sequence=6, state=TargetState.DRAINING),
            replace(READY, started=2000, sequence=1),
            TargetEntry("i-2", 1500, 1, TargetState.READY, "10.0.0.2:80", "s", "z", 3),
            TargetEntry("i-2", 1500, 2, TargetState.LEFT, "10.0.0.2:80", "s", "z", 3),
            TargetEntry("i-3", 1700, 1, TargetState.READY, "10.0.0.3:80", "s", "z", 3),
            TargetEntry("i-3", 1700, 0, TargetState.LEFT),
        ]
        registry = create_registry(*(updates[index] for index in order))
        assert [(item.identity, item.started) for item in registry.list_usable("s")] == [
            ("i-1", 2000)
        ]
        expected = create_registry(*updates)
        assert registry.digest == expected.digest
        # The digest leaves out departed targets.
        assert list_states(registry) == list_states(expected)
