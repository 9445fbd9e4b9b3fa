"""Where commands go while the leader is not known."""

from ...control import LeaderFinder, Refused, RefusedReason


class TestLeaderFinder:
    def test_calls_that_fail_together_move_on_by_one(self):
        # Three calls in lock-step once came back to the dead leader for ever.
        finder = LeaderFinder(["a:1", "b:1", "c:1"])
        tried = set()
        for _ in range(3):
            address = finder.address
            tried.add(address)
            for _ in range(3):
                finder.handle_unreachable(address)
        assert tried == {"a:1", "b:1", "c:1"}

    def test_late_failure_does_not_forget_the_leader(self):
        finder = LeaderFinder(["a:1", "b:1", "c:1"])
        finder.handle_refusal("a:1", Refused(RefusedReason.NOT_LEADER, "c:1"))
        finder.handle_unreachable("a:1")
        assert finder.address == "c:1"

    def test_refusal_that_names_itself_moves_on(self):
        finder = LeaderFinder(["a:1", "b:1"])
        assert finder.handle_refusal("a:1", Refused(RefusedReason.BUSY, "a:1"))
        assert finder.address == "b:1"

    def test_unknown_name_is_final(self):
        finder = LeaderFinder(["a:1", "b:1"])
        assert not finder.handle_refusal("a:1", Refused(RefusedReason.UNKNOWN_NAME))
