"""Crowds of callers against the budget, without a network."""

from random import Random

import pytest

from .. import (
    FRAMED_CONNECTION_BYTES,
    MAXIMUM_FRAMED_CONNECTIONS,
    BufferBudget,
    BufferLimits,
    HoldingState,
    compute_limits,
    record_progress,
    set_state,
)
from .._budget import CONNECTION_BYTES, SMALL_BYTES, STALL_PROGRESS_BYTES, STALL_SECONDS

MEBIBYTE = 1 << 20
LIMITS = BufferLimits(64 * MEBIBYTE, 100)


def open_receiving(budget: BufferBudget, now: float, size: int):
    """Return the holding of a connection that receives a body, or None if it was refused."""
    holding, _ = budget.open(now)
    set_state(now, holding, HoldingState.RECEIVING)
    return holding if budget.reserve(now, holding, size).is_granted else None


class TestLimits:
    def test_an_entry_of_200_mb_holds_the_largest_legal_body(self):
        limits = compute_limits(200_000_000, 60_000_000, 4100)
        budget = BufferBudget(limits)
        assert open_receiving(budget, 0.0, 64 * MEBIBYTE)
        assert limits.maximum_bytes + 60_000_000 <= 200_000_000

    def test_callers_leave_descriptors_for_targets_and_hubs(self):
        limits = compute_limits(1 << 40, 0, 4100)
        assert 2 * limits.maximum_connections < 4100
        assert limits.maximum_connections > 2000

    def test_without_settings_nothing_is_refused(self):
        budget = BufferBudget(compute_limits(None, 50_000_000, None))
        assert all(open_receiving(budget, 0.0, 1 << 40) for _ in range(1000))


class TestBodies:
    def test_large_bodies_are_refused_before_the_memory_is_full(self):
        """Guards against a dozen bodies of 60 MiB that are all taken."""
        budget = BufferBudget(LIMITS)
        taken = [open_receiving(budget, 0.0, 20 * MEBIBYTE) for _ in range(12)]
        assert sum(item is not None for item in taken) == 2
        assert budget.held_bytes <= LIMITS.maximum_bytes

    def test_small_requests_are_served_beside_large_bodies(self):
        budget = BufferBudget(LIMITS)
        assert open_receiving(budget, 0.0, 27 * MEBIBYTE)
        assert open_receiving(budget, 0.0, 27 * MEBIBYTE)
        assert not open_receiving(budget, 0.0, 4 * MEBIBYTE)
        assert open_receiving(budget, 0.0, SMALL_BYTES)

    def test_bodies_that_stall_lose_their_place_while_memory_is_short(self):
        """Guards against a crowd that stops just short of the end and keeps others out."""
        budget = BufferBudget(LIMITS)
        stalled = [open_receiving(budget, 0.0, 25 * MEBIBYTE) for _ in range(2)]
        holding, _ = budget.open(STALL_SECONDS)
        reservation = budget.reserve(STALL_SECONDS, holding, 20 * MEBIBYTE)
        assert reservation.is_granted
        assert len(reservation.evicted) == 1
        assert reservation.evicted[0] in stalled
        assert budget.held_bytes == 45 * MEBIBYTE + 2 * CONNECTION_BYTES

    def test_bodies_that_stall_keep_their_place_while_memory_suffices(self):
        budget = BufferBudget(LIMITS)
        open_receiving(budget, 0.0, 25 * MEBIBYTE)
        holding, _ = budget.open(600.0)
        assert budget.reserve(600.0, holding, 25 * MEBIBYTE).evicted == ()

    def test_one_byte_at_a_time_is_no_progress(self):
        budget = BufferBudget(LIMITS)
        slow = open_receiving(budget, 0.0, 50 * MEBIBYTE)
        for number in range(20):
            record_progress(number * STALL_SECONDS / 20, slow, 1)
        holding, _ = budget.open(STALL_SECONDS)
        assert budget.reserve(STALL_SECONDS, holding, 50 * MEBIBYTE).evicted == (slow,)

    def test_a_body_at_32_kib_per_second_keeps_its_place(self):
        budget = BufferBudget(LIMITS)
        steady = open_receiving(budget, 0.0, 50 * MEBIBYTE)
        for number in range(1, 20):
            now = number * STALL_SECONDS * 0.9
            record_progress(now, steady, STALL_PROGRESS_BYTES)
            holding, _ = budget.open(now)
            assert not budget.reserve(now, holding, 50 * MEBIBYTE).is_granted
            budget.close(holding)

    def test_a_running_request_keeps_its_place(self):
        """Guards against a 503 for a request that may have run."""
        budget = BufferBudget(LIMITS)
        running = open_receiving(budget, 0.0, 50 * MEBIBYTE)
        set_state(0.0, running, HoldingState.RUNNING)
        assert not open_receiving(budget, 60.0, 50 * MEBIBYTE)
        assert running.size > 50 * MEBIBYTE

    def test_nobody_is_evicted_for_a_request_that_does_not_fit_anyway(self):
        budget = BufferBudget(LIMITS)
        open_receiving(budget, 0.0, 5 * MEBIBYTE)
        holding, _ = budget.open(60.0)
        reservation = budget.reserve(60.0, holding, 60 * MEBIBYTE)
        assert not reservation.is_granted
        assert reservation.evicted == ()

    def test_a_response_takes_the_place_of_a_caller_that_does_not_read(self):
        """A failure halfway: the request ran, and its response must still be received."""
        budget = BufferBudget(LIMITS)
        slow, _ = budget.open(0.0)
        budget.set_size(slow, 64 * MEBIBYTE)
        set_state(0.0, slow, HoldingState.WRITING)
        assert not budget.reserve_response(1.0, SMALL_BYTES).is_granted
        assert budget.reserve_response(STALL_SECONDS, SMALL_BYTES).evicted == (slow,)
        budget.release_response(SMALL_BYTES)
        assert budget.held_bytes == 0


class TestConnections:
    def test_a_new_connection_replaces_the_one_idle_for_longest(self):
        budget = BufferBudget(BufferLimits(1 << 40, 3))
        first, second, _third = (budget.open(float(number))[0] for number in range(3))
        set_state(3.0, first, HoldingState.RUNNING)
        holding, reservation = budget.open(4.0)
        assert holding is not None
        assert reservation.evicted == (second,)
        assert budget.connection_count == 3

    def test_running_requests_keep_their_connections(self):
        budget = BufferBudget(BufferLimits(1 << 40, 2))
        for _ in range(2):
            set_state(0.0, budget.open(0.0)[0], HoldingState.RUNNING)
        assert budget.open(60.0)[0] is None


@pytest.mark.parametrize("seed", range(20))
def test_bytes_held_are_the_sum_of_all_holdings(seed):
    """Guards against bytes that are released twice or never, which grow with each failure."""
    random, budget, holdings, responses = Random(seed), BufferBudget(LIMITS), [], 0
    states = list(HoldingState)
    for step in range(400):
        now = step * 0.3
        match random.randrange(5):
            case 0:
                holding, _ = budget.open(now)
                holdings += [holding] if holding else []
            case 1 if holdings:
                budget.reserve(now, random.choice(holdings), random.randrange(9 * MEBIBYTE))
            case 2 if holdings:
                set_state(now, random.choice(holdings), random.choice(states))
            case 3 if holdings:
                budget.close(holdings.pop(random.randrange(len(holdings))))
            case 4:
                size = random.randrange(MEBIBYTE)
                responses += size * budget.reserve_response(now, size).is_granted
        assert budget.held_bytes == sum(item.size for item in holdings) + responses
        assert budget.held_bytes <= LIMITS.maximum_bytes


class TestFramingPlaces:
    def take_all(self, budget: BufferBudget, now: float) -> list:
        holdings = [
            open_receiving(budget, now, 100_000) for _ in range(MAXIMUM_FRAMED_CONNECTIONS)
        ]
        for holding in holdings:
            assert budget.take_framing_place(now, holding).is_granted
        return holdings

    def test_places_are_few_and_count_in_the_budget(self):
        budget = BufferBudget(LIMITS)
        holdings = self.take_all(budget, 0.0)
        sizes = CONNECTION_BYTES + 100_000 + FRAMED_CONNECTION_BYTES
        assert budget.held_bytes == len(holdings) * sizes
        other = open_receiving(budget, 0.0, 100_000)
        assert not budget.take_framing_place(0.0, other).is_granted
        assert not budget.has_framing_place(other)
        assert all(budget.has_framing_place(item) for item in holdings)

    def test_place_is_taken_once_by_a_connection(self):
        budget = BufferBudget(LIMITS)
        holding = open_receiving(budget, 0.0, 100_000)
        for _ in range(3):
            assert budget.take_framing_place(0.0, holding).is_granted
        assert holding.size == CONNECTION_BYTES + 100_000 + FRAMED_CONNECTION_BYTES

    def test_end_of_a_request_or_of_its_connection_frees_the_place(self):
        budget = BufferBudget(LIMITS)
        first, second = self.take_all(budget, 0.0)[:2]
        budget.release_framing_place(first)
        budget.close(second)
        for _ in range(2):
            other = open_receiving(budget, 0.0, 100_000)
            assert budget.take_framing_place(0.0, other).is_granted
        assert not budget.has_framing_place(first)

    def test_stalled_connection_loses_its_place(self):
        """Guards against slow callers that keep all places for hours."""
        budget = BufferBudget(LIMITS)
        holdings = self.take_all(budget, 0.0)
        for holding in holdings[1:]:
            record_progress(1.0, holding, STALL_PROGRESS_BYTES)
        other = open_receiving(budget, STALL_SECONDS, 100_000)
        reservation = budget.take_framing_place(STALL_SECONDS, other)
        assert (reservation.is_granted, reservation.evicted) == (True, (holdings[0],))
        assert holdings[0].size == 0

    def test_no_place_is_given_without_memory(self):
        budget = BufferBudget(BufferLimits(FRAMED_CONNECTION_BYTES, 10))
        holding = open_receiving(budget, 0.0, 100_000)
        assert not budget.take_framing_place(0.0, holding).is_granted
        assert not budget.has_framing_place(holding)
        assert budget.held_bytes == holding.size == CONNECTION_BYTES + 100_000
