"""Memory for responses, places beyond the framing allowance, and turns between targets."""

from .. import BufferBudget, BufferLimits, FairQueue, FramingPlaces, ResponseBudget

READ_BYTES = 64 << 10
NOW = 1.0


class TestResponseBudget:
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
