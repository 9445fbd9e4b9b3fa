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
        assert limits.is_changed_by("t", LimitStatement(2.0), sent_at=1.0)
        assert limits.get_rate("t") is None
        assert limits.record(1.2, "t", 2.0) == LimitChange.DECLARED

    def test_repeated_limit_is_no_change(self):
        limits = create_limits(2.0)
        assert not limits.is_changed_by("t", LimitStatement(2.0), sent_at=11.0)
        assert limits.record(12.0, "t", 2.0) is None
        assert limits.get_age(13.0, "t") == 3.0

    def test_other_rate_replaces_the_limit(self):
        limits = create_limits(2.0)
        assert limits.is_changed_by("t", LimitStatement(0.5), sent_at=9.0)
        assert limits.record(11.0, "t", 0.5) == LimitChange.CHANGED
        assert limits.list_rates() == {"t": 0.5}

    def test_response_without_limit_lifts_it(self):
        limits = create_limits(2.0)
        assert limits.is_changed_by("t", NO_LIMIT, sent_at=10.0)
        assert limits.record(11.0, "t", None) == LimitChange.LIFTED
        assert limits.get_rate("t") is None
        assert limits.get_age(12.0, "t") == 0.0

    def test_response_to_a_request_sent_before_the_limit_was_known_does_not_lift_it(self):
        """A response that another one overtook may be older than the limit."""
        assert not create_limits(2.0).is_changed_by("t", NO_LIMIT, sent_at=9.9)

    def test_response_of_a_target_without_limit_is_no_change(self):
        limits = DeclaredLimits()
        assert not limits.is_changed_by("t", NO_LIMIT, sent_at=1.0)
        assert limits.record(1.0, "t", None) is None

    def test_target_is_asked_for_again_once_its_limit_changed(self):
        """A raised limit must not wait for the next permit of the low one."""
        limits = create_limits(0.1)
        limits.close("t", 20.0)
        limits.record(11.0, "t", 5.0)
        assert not limits.is_closed(11.0, "t")

    def test_target_without_a_free_permit_is_closed_until_the_next_one(self):
        limits = create_limits(2.0)
        limits.close("t", 10.4)
        limits.close("unlimited", 10.4)
        assert limits.is_closed(10.3, "t")
        assert not limits.is_closed(10.4, "t")
        assert not limits.is_closed(10.3, "unlimited")
