"""Tokens are earned up to a bound and taken one by one."""

from .. import TokenBuckets


class TestTokenBuckets:
    def test_a_new_bucket_is_full_unless_told_otherwise(self):
        buckets = TokenBuckets()
        assert buckets.refill(0.0, "a", rate=1.0, capacity=3.0) == 3.0
        assert buckets.refill(0.0, "b", rate=1.0, capacity=3.0, initial=0.5) == 0.5

    def test_time_and_extras_fill_it_up_to_its_bound(self):
        buckets = TokenBuckets()
        buckets.refill(0.0, "a", rate=0.5, capacity=3.0, initial=0.0)
        assert buckets.refill(2.0, "a", rate=0.5, capacity=3.0, extra=0.25) == 1.25
        assert buckets.refill(60.0, "a", rate=0.5, capacity=3.0) == 3.0

    def test_less_than_one_token_is_not_given_out(self):
        buckets = TokenBuckets()
        buckets.refill(0.0, "a", rate=0.0, capacity=1.5)
        assert buckets.take("a")
        assert not buckets.take("a")
        assert buckets.list_tokens() == {"a": 0.5}

    def test_an_emptied_bucket_begins_anew(self):
        buckets = TokenBuckets()
        buckets.refill(0.0, "a", rate=1.0, capacity=5.0)
        buckets.reset()
        assert buckets.refill(0.0, "a", rate=1.0, capacity=5.0, initial=0.4) == 0.4
