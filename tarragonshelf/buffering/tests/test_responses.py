"""Memory for responses, places beyond the framing allowance, and turns between targets."""

from random import Random

import pytest

from .. import BufferBudget, BufferLimits, FairQueue, FramingPlaces, ResponseBudget

READ_BYTES = 64 << 10
LIMIT_BYTES = 16 << 20
NOW = 1.0


class TestResponseBudget:
    def test_source_that_holds_most_gives_way_to_others(self):
        budget = ResponseBudget(maximum_bytes=10 * READ_BYTES)
        faulty = [budget.open("faulty") for _ in range(3)]
        for size, holding in zip((5, 3, 2), faulty, strict=True):
            assert budget.reserve(NOW, holding, size * READ_BYTES).is_granted
        sound = budget.open("sound")
        reservation = budget.reserve(NOW, sound, READ_BYTES)
        assert (reservation.is_granted, reservation.given_up) == (True, (faulty[1],))
        assert budget.held_bytes == 8 * READ_BYTES

    def test_nothing_is_given_up_for_a_source_that_would_hold_most(self):
        budget = ResponseBudget(maximum_bytes=2 * READ_BYTES)
        first, second = budget.open("a"), budget.open("b")
        assert budget.reserve(NOW, first, READ_BYTES).is_granted
        assert budget.reserve(NOW, second, READ_BYTES).is_granted
        reservation = budget.reserve(NOW, second, READ_BYTES)
        assert (reservation.is_granted, reservation.given_up) == (False, ())

    @pytest.mark.parametrize("responses", [5, 12, 40])
    def test_one_of_many_endless_responses_reaches_its_limit(self, responses):
        """Guards against a faulty target whose responses are all given up, so none counts."""
        budget, random = ResponseBudget(), Random(1)
        holdings = [budget.open("faulty") for _ in range(responses)]
        for _ in range(20_000):
            number = random.randrange(responses)
            holding = holdings[number]
            reservation = budget.reserve(NOW, holding, READ_BYTES)
            lost = reservation.given_up if reservation.is_granted else (holding,)
            for item in lost:
                budget.close(item)
                holdings[holdings.index(item)] = budget.open("faulty")
            if holding.size > LIMIT_BYTES:
                return
        raise AssertionError("no response reached its limit")

    def test_released_bytes_return_to_the_shared_budget(self):
        shared = BufferBudget(BufferLimits(1 << 20, 10))
        budget = ResponseBudget(shared)
        holding = budget.open("a")
        assert budget.reserve(NOW, holding, READ_BYTES).is_granted
        budget.shrink(holding, 100)
        assert (shared.held_bytes, budget.held_bytes) == (100, 100)
        budget.close(holding)
        assert (shared.held_bytes, budget.held_bytes) == (0, 0)


class TestFramingPlaces:
    def test_one_response_of_each_target_has_a_place(self):
        places = FramingPlaces()
        assert places.take(NOW, "a", "first")
        assert places.take(NOW, "a", "first")
        assert not places.take(NOW, "a", "second")
        assert places.take(NOW, "b", "third")
        places.release(NOW, "a", "first", is_complete=True)
        assert places.take(NOW, "a", "second")

    def test_target_whose_response_did_not_end_gets_no_place_for_a_while(self):
        places = FramingPlaces()
        assert places.take(NOW, "a", "first")
        places.release(NOW, "a", "first", is_complete=False)
        assert not places.take(NOW + 59.0, "a", "second")
        assert places.take(NOW + 61.0, "a", "second")


class TestFairQueue:
    def test_sources_take_turns_whatever_the_number_of_their_items(self):
        queue = FairQueue()
        for item in ("a1", "a2", "a3", "b1", "c1", "c2"):
            queue.push(item[0], item)
        queue.remove("c", "c1")
        assert [queue.pop() for _ in range(5)] == ["a1", "b1", "c2", "a2", "a3"]
        assert not queue
