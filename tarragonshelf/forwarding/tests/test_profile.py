"""How long silence is usual: gray targets that hang instead of failing."""

from math import exp
from random import Random

import pytest

from ...forwarding import ResponseTimeModel, SlowAttemptOutcomes
from .._profile import MINIMUM_HUNG_SECONDS, MINIMUM_SLOW_SECONDS

SAMPLES = 120


def learn(median: float, spread: float, *, tail: float = 0.0, seed: int = 1) -> ResponseTimeModel:
    """Return what log-normal times teach; a share ``tail`` takes five times as long."""
    random = Random(seed)
    times = ResponseTimeModel(objective=2.0)
    for _ in range(SAMPLES):
        factor = 5.0 if random.random() < tail else 1.0
        times.record(factor * median * exp(random.gauss(0.0, spread)))
    return times


class TestAnswerTimes:
    @pytest.mark.parametrize("seed", range(5))
    def test_narrow_times_tell_soon_that_an_answer_is_late(self, seed):
        patience = learn(0.46, 0.3, tail=0.01, seed=seed).patience
        assert 1.2 * 0.46 < patience.slow < 2.2 * 0.46
        assert 1.6 * 0.46 < patience.hung < 5 * 0.46

    @pytest.mark.parametrize("seed", range(5))
    def test_wide_times_are_given_more_patience(self, seed):
        wide, narrow = learn(0.3, 0.8, seed=seed), learn(0.3, 0.3, seed=seed)
        assert wide.patience.slow > 1.5 * narrow.patience.slow

    @pytest.mark.parametrize(("median", "spread"), [(0.16, 0.5), (0.46, 0.3), (1.3, 0.8)])
    def test_few_sound_answers_take_longer(self, median, spread):
        random = Random(9)
        patience = learn(median, spread).patience
        times = [median * exp(random.gauss(0.0, spread)) for _ in range(2000)]
        assert sum(item > patience.slow for item in times) < 0.15 * len(times)
        assert sum(item > patience.hung for item in times) < 0.02 * len(times)

    def test_before_times_are_known_the_operators_aim_bounds_them(self):
        patience = ResponseTimeModel(objective=2.0).patience
        assert (patience.slow, patience.hung) == (1.0, 2.0)

    def test_quick_routes_are_given_a_least_time(self):
        patience = learn(0.005, 0.1).patience
        assert (patience.slow, patience.hung) == (MINIMUM_SLOW_SECONDS, MINIMUM_HUNG_SECONDS)


class TestSlowEnds:
    def test_slowness_is_told_until_it_proves_harmless(self):
        ends = SlowAttemptOutcomes()
        assert ends.is_predictive
        for _ in range(10):
            ends.record(is_answered=True)
        assert not ends.is_predictive

    def test_where_half_of_it_ends_badly_it_stays_ominous(self):
        ends = SlowAttemptOutcomes()
        for number in range(40):
            ends.record(is_answered=number % 2 == 0)
            assert ends.is_predictive

    def test_it_is_told_again_once_targets_begin_to_hang(self):
        ends = SlowAttemptOutcomes()
        for _ in range(50):
            ends.record(is_answered=True)
        for _ in range(3):
            ends.record(is_answered=False)
        assert ends.is_predictive
