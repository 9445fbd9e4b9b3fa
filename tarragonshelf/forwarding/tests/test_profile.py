"""Latency thresholds that detect targets that hang instead of returning errors."""

from math import exp
from random import Random

import pytest

from ...forwarding import ResponseTimeModel, SlowAttemptOutcomes
from .._profile import MINIMUM_HUNG_SECONDS, MINIMUM_SLOW_SECONDS

SAMPLES = 120


def fit_model(
    median: float, spread: float, *, tail: float = 0.0, seed: int = 1
) -> ResponseTimeModel:
    """Return a model of log-normal times, of which a share ``tail`` takes five times as long."""
    random = Random(seed)
    model = ResponseTimeModel(objective=2.0)
    for _ in range(SAMPLES):
        factor = 5.0 if random.random() < tail else 1.0
        model.record(factor * median * exp(random.gauss(0.0, spread)))
    return model


class TestResponseTimeModel:
    @pytest.mark.parametrize("seed", range(5))
    def test_narrow_distribution_gives_tight_thresholds(self, seed):
        thresholds = fit_model(0.46, 0.3, tail=0.01, seed=seed).thresholds
        assert 1.2 * 0.46 < thresholds.slow < 2.2 * 0.46
        assert 1.6 * 0.46 < thresholds.hung < 5 * 0.46

    @pytest.mark.parametrize("seed", range(5))
    def test_wide_distribution_gives_loose_thresholds(self, seed):
        wide, narrow = fit_model(0.3, 0.8, seed=seed), fit_model(0.3, 0.3, seed=seed)
        assert wide.thresholds.slow > 1.5 * narrow.thresholds.slow

    @pytest.mark.parametrize(("median", "spread"), [(0.16, 0.5), (0.46, 0.3), (1.3, 0.8)])
    def test_few_successful_requests_exceed_the_thresholds(self, median, spread):
        random = Random(9)
        thresholds = fit_model(median, spread).thresholds
        times = [median * exp(random.gauss(0.0, spread)) for _ in range(2000)]
        assert sum(item > thresholds.slow for item in times) < 0.15 * len(times)
        assert sum(item > thresholds.hung for item in times) < 0.02 * len(times)

    def test_thresholds_follow_the_objective_before_the_first_measurement(self):
        thresholds = ResponseTimeModel(objective=2.0).thresholds
        assert (thresholds.slow, thresholds.hung) == (1.0, 2.0)

    def test_fast_routes_have_minimum_thresholds(self):
        thresholds = fit_model(0.005, 0.1).thresholds
        assert (thresholds.slow, thresholds.hung) == (MINIMUM_SLOW_SECONDS, MINIMUM_HUNG_SECONDS)


class TestSlowAttemptOutcomes:
    def test_slowness_is_predictive_until_slow_attempts_succeed(self):
        outcomes = SlowAttemptOutcomes()
        assert outcomes.is_predictive
        for _ in range(10):
            outcomes.record(is_answered=True)
        assert not outcomes.is_predictive

    def test_slowness_stays_predictive_while_half_of_the_attempts_fail(self):
        outcomes = SlowAttemptOutcomes()
        for number in range(40):
            outcomes.record(is_answered=number % 2 == 0)
            assert outcomes.is_predictive

    def test_slowness_becomes_predictive_again_once_targets_hang(self):
        outcomes = SlowAttemptOutcomes()
        for _ in range(50):
            outcomes.record(is_answered=True)
        for _ in range(3):
            outcomes.record(is_answered=False)
        assert outcomes.is_predictive
