"""Refilling and taking tokens of token buckets."""

from .. import TokenBuckets


class TestTokenBuckets:
    def test_a_new_bucket_is_full_unless_initial_tokens_are_given(self):
        buckets = TokenBuckets()
        assert buckets.refill(0.0, "a", rate=1.0, capacity=3.0) == 3.0
        assert buckets.refill(0.0, "b", rate=1.0, capacity=3.0, initial=0.5) == 0.5

    def test_time_and_extra_tokens_fill_a_bucket_up_to_its_capacity(self):
        buckets = TokenBuckets()
        buckets.refill(0.0, "a", rate=0.5, capacity=3.0, initial=0.0)
        assert buckets.refill(2.0, "a", rate=0.5, capacity=3.0, extra=0.25) == 1.25
        assert buckets.refill(60.0, "a", rate=0.5, capacity=3.0) == 3.0

    def test_a_fraction_of_a_token_cannot_be_taken(self):
        buckets = TokenBuckets()
        buckets.refill(0.0, "a", rate=0.0, capacity=1.5)
        assert buckets.take("a")
        assert not buckets.take("a")
        assert buckets.list_tokens() == {"a": 0.5}

    def test_a_bucket_starts_with_its_initial_tokens_after_a_reset(self):
        buckets = TokenBuckets()
        buckets.refill(0.0, "a", rate=1.0, capacity=5.0)
        buckets.reset()
        assert buckets.refill(0.0, "a", rate=1.0, capacity=5.0, initial=0.4) == 0.4

    def test_idle_buckets_are_removed(self):
        buckets = TokenBuckets()
        buckets.refill(0.0, "idle", rate=1.0, capacity=5.0)
        buckets.refill(50.0, "used", rate=1.0, capacity=5.0)
        buckets.remove_idle(61.0, 60.0)
        assert set(buckets.list_tokens()) == {"used"}
        assert buckets.refill(61.0, "idle", rate=1.0, capacity=5.0, initial=0.0) == 0.0
