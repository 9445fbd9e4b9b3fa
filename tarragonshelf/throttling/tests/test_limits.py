"""A target's limit is known from its responses, in whatever order they arrive."""

from .. import DeclaredLimits, LimitChange, LimitStatement

NO_LIMIT = LimitStatement(None)


def create_limits(rate: float, *, since: float = 10.0) -> DeclaredLimits:
    limits = DeclaredLimits()
    limits.record(since, "t", rate)
    return limits


class TestDeclaredLimits:
    def test_first_limit_is_declared(self):
        limits = DeclaredLimits()
        change = limits.find_change("t", LimitStatement(2.0), sent_at=1.0)
        assert change == LimitChange.DECLARED
        assert limits.get_rate("t") is None

    def test_repeated_limit_is_no_change(self):
        limits = create_limits(2.0)
        assert limits.find_change("t", LimitStatement(2.0), sent_at=11.0) is None
        assert limits.get_age(13.0, "t") == 3.0

    def test_other_rate_replaces_the_limit(self):
        limits = create_limits(2.0)
        statement = LimitStatement(0.5)
        assert limits.find_change("t", statement, sent_at=9.0) == LimitChange.CHANGED
        limits.record(11.0, "t", 0.5)
        assert limits.list_rates() == {"t": 0.5}

    def test_response_without_limit_lifts_it(self):
        limits = create_limits(2.0)
        assert limits.find_change("t", NO_LIMIT, sent_at=10.0) == LimitChange.LIFTED
        limits.record(11.0, "t", None)
        assert limits.get_rate("t") is None
        assert limits.get_age(12.0, "t") == 0.0

    def test_response_to_a_request_sent_before_the_limit_was_known_does_not_lift_it(self):
        """A response that another one overtook may be older than the limit."""
        assert create_limits(2.0).find_change("t", NO_LIMIT, sent_at=9.9) is None

    def test_response_of_a_target_without_limit_is_no_change(self):
        assert DeclaredLimits().find_change("t", NO_LIMIT, sent_at=1.0) is None
