"""Search for the leader while its address is unknown or wrong."""

from ...control import LeaderFinder, Refused, RefusedReason


class TestLeaderFinder:
    def test_calls_that_fail_together_advance_by_one_control(self):
        # If each of three concurrent calls advanced the position, all would return to the dead
        # leader forever.
        finder = LeaderFinder(["a:1", "b:1", "c:1"])
        tried = set()
        for _ in range(3):
            address = finder.address
            tried.add(address)
            for _ in range(3):
                finder.handle_unreachable(address)
        assert tried == {"a:1", "b:1", "c:1"}

    def test_late_failure_of_another_control_keeps_the_leader(self):
        finder = LeaderFinder(["a:1", "b:1", "c:1"])
        finder.handle_refusal("a:1", Refused(RefusedReason.NOT_LEADER, "c:1"))
        finder.handle_unreachable("a:1")
        assert finder.address == "c:1"

    def test_refusal_that_names_its_sender_advances_to_the_next_control(self):
        finder = LeaderFinder(["a:1", "b:1"])
        assert finder.handle_refusal("a:1", Refused(RefusedReason.BUSY, "a:1"))
        assert finder.address == "b:1"

    def test_call_with_an_unknown_name_is_not_retried(self):
        finder = LeaderFinder(["a:1", "b:1"])
        assert not finder.handle_refusal("a:1", Refused(RefusedReason.UNKNOWN_NAME))
