"""Tests of the shutdown plan: requests accepted during a stop have time to finish."""

import pytest

from .._shutdown import plan_stop


class TestPlanStop:
    @pytest.mark.parametrize("grace", [2.0, 6.0, 30.0])
    def test_requests_may_run_for_at_least_five_sixths_of_the_grace_period(self, grace):
        plan = plan_stop(1.5, grace)
        assert plan.accept_seconds + plan.finish_seconds >= 5 / 6 * grace

    @pytest.mark.parametrize("grace", [2.0, 6.0, 30.0])
    def test_a_tenth_of_the_grace_period_remains_for_the_exit(self, grace):
        """In an incident six processes had 0.24 s left for their exit and were killed."""
        plan = plan_stop(1.5, grace)
        assert plan.accept_seconds + plan.finish_seconds <= 0.9 * grace + 1e-9

    def test_no_request_is_accepted_later_than_three_seconds_after_the_stop(self):
        """Each accepted request has to finish within the 6 s of grace, even at slow targets."""
        assert plan_stop(1.5, 6.0).accept_seconds <= 3.0

    def test_short_address_lifetime_shortens_the_stop(self):
        assert plan_stop(0.5, 6.0).accept_seconds == pytest.approx(0.9)
        assert plan_stop(0.1, 6.0).accept_seconds == 0.0
