"""The path counts as lost only if no target that is checked accepts a connection."""

from hypothesis import given
from hypothesis import strategies as st

from ...registry import TargetEntry, TargetState
from .. import CheckTargets, PathDoubted, PathMonitor, PathState, TargetChecked, TargetConnected
from .._path import FIRST_CHECK_SECONDS, RECOVERY_INTERVAL_SECONDS

TARGETS = tuple(
    TargetEntry(f"t{number}", 1, 1, TargetState.READY, f"t{number}:80", "s", "z", 3)
    for number in range(6)
)


def create_monitor(count: int = 6) -> PathMonitor:
    """Return a monitor that checks the first of some targets that are not excluded."""

    def choose(now, wanted, excluded):
        usable = [item for item in TARGETS[:count] if item.identity not in excluded]
        return tuple(usable[:wanted])

    return PathMonitor(choose)


def list_checked(effects) -> list[str]:
    return [target.identity for effect in effects for target in effect.targets]


def lose(monitor: PathMonitor) -> None:
    monitor.handle(0.0, PathDoubted("t0"))
    for number in range(1, 5):
        monitor.handle(0.2, TargetChecked(f"t{number}", is_connected=False))
    assert monitor.state == PathState.LOST


class TestDoubt:
    def test_one_other_target_is_checked_first(self):
        monitor = create_monitor()
        assert list_checked(monitor.handle(0.0, PathDoubted("t0"))) == ["t1"]
        assert monitor.state == PathState.DOUBTED
        monitor.handle(0.01, TargetChecked("t1", is_connected=True))
        assert monitor.state == PathState.OPEN

    def test_further_targets_are_checked_at_once_if_the_first_fails(self):
        monitor = create_monitor()
        monitor.handle(0.0, PathDoubted("t0"))
        effects = monitor.handle(0.01, TargetChecked("t1", is_connected=False))
        assert list_checked(effects) == ["t2", "t3", "t4"]

    def test_further_targets_are_checked_if_the_first_does_not_respond(self):
        monitor = create_monitor()
        monitor.handle(0.0, PathDoubted("t0"))
        assert monitor.tick(FIRST_CHECK_SECONDS / 2) == []
        effects = monitor.tick(FIRST_CHECK_SECONDS)
        assert list_checked(effects) == ["t2", "t3", "t4"]
        assert monitor.tick(2 * FIRST_CHECK_SECONDS) == []

    def test_one_connection_ends_the_doubt(self):
        monitor = create_monitor()
        monitor.handle(0.0, PathDoubted("t0"))
        monitor.handle(0.01, TargetChecked("t1", is_connected=False))
        monitor.handle(0.02, TargetChecked("t2", is_connected=False))
        monitor.handle(0.03, TargetConnected("t5"))
        assert monitor.state == PathState.OPEN
        # Results of checks that ended meanwhile change nothing.
        for number in (3, 4):
            monitor.handle(0.1, TargetChecked(f"t{number}", is_connected=False))
        assert monitor.state == PathState.OPEN

    def test_a_single_target_cannot_be_told_from_the_path(self):
        monitor = create_monitor(1)
        assert monitor.handle(0.0, PathDoubted("t0")) == []
        assert monitor.state == PathState.OPEN

    def test_two_targets_suffice_for_a_verdict(self):
        monitor = create_monitor(2)
        monitor.handle(0.0, PathDoubted("t0"))
        assert monitor.handle(0.01, TargetChecked("t1", is_connected=False)) == []
        assert monitor.state == PathState.LOST

    @given(st.lists(st.sampled_from(["t1", "t2", "t3", "t4"]), unique=True, max_size=3))
    def test_path_is_not_lost_while_a_result_is_missing(self, failed):
        monitor = create_monitor()
        monitor.handle(0.0, PathDoubted("t0"))
        monitor.tick(FIRST_CHECK_SECONDS)
        for name in failed:
            monitor.handle(0.2, TargetChecked(name, is_connected=False))
        assert monitor.state == PathState.DOUBTED


class TestRecovery:
    def test_targets_are_checked_again_and_again(self):
        monitor = create_monitor()
        lose(monitor)
        assert monitor.tick(0.2 + RECOVERY_INTERVAL_SECONDS / 2) == []
        for round_number in (1, 2):
            effects = monitor.tick(0.21 + 2 * round_number * RECOVERY_INTERVAL_SECONDS)
            assert isinstance(effects[0], CheckTargets)

    def test_one_connection_opens_the_path(self):
        monitor = create_monitor()
        lose(monitor)
        monitor.tick(1.0)
        monitor.handle(1.01, TargetChecked("t0", is_connected=True))
        assert monitor.state == PathState.OPEN
        assert monitor.tick(2.0) == []

    def test_failures_change_nothing_while_the_path_is_lost(self):
        monitor = create_monitor()
        lose(monitor)
        assert monitor.handle(1.0, PathDoubted("t5")) == []
        assert monitor.state == PathState.LOST
