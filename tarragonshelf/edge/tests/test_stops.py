"""A stop cuts nothing off that was taken while it went on."""

import pytest

from .._stops import plan_stop


class TestPlanStop:
    @pytest.mark.parametrize("grace", [2.0, 6.0, 30.0])
    def test_what_is_under_way_has_until_the_last_sixth_of_the_grace_at_least(self, grace):
        plan = plan_stop(1.5, grace)
        assert plan.accept_seconds + plan.finish_seconds >= 5 / 6 * grace

    @pytest.mark.parametrize("grace", [2.0, 6.0, 30.0])
    def test_the_process_has_a_tenth_of_the_grace_to_end(self, grace):
        """It was killed in an incident: six processes had 0.24 s left."""
        plan = plan_stop(1.5, grace)
        assert plan.accept_seconds + plan.finish_seconds <= 0.9 * grace + 1e-9

    def test_none_is_taken_later_than_three_seconds_into_the_usual_grace(self):
        """Requests sent later must all be finished, however slow their targets are."""
        assert plan_stop(1.5, 6.0).accept_seconds <= 3.0

    def test_callers_who_know_the_address_for_a_short_time_are_not_waited_for_longer(self):
        assert plan_stop(0.5, 6.0).accept_seconds == pytest.approx(0.9)
        assert plan_stop(0.1, 6.0).accept_seconds == 0.0
