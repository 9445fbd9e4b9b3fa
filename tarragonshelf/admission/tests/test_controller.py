"""Single decisions of admission at a service with two or three ranks."""

from dataclasses import replace
from random import Random

import pytest

from ...admission import AdmissionController, ServiceLoad

FULL = ServiceLoad(slots=60, free=0, outstanding=170, queue=120, work_seconds=0.15)


def create_controller(*ranks: int) -> AdmissionController:
    controller = AdmissionController(Random(1))
    controller.update_ranks({"s": ranks})
    return controller


class TestRanks:
    def test_ranks_return_in_order_and_not_at_once(self):
        """Load: three ranks refused in turn; guards against callers that return together."""
        controller = create_controller(0, 1, 2)
        returns: dict[int, list[float]] = {0: [], 1: [], 2: []}
        for step in range(60):
            rank = step % 3
            overload = controller.refuse_full(0.01 * step, "s", rank, FULL)
            returns[rank].append(0.01 * step + overload.retry_after)
        # The last of each rank were refused when the number of callers to return was known.
        latest = {rank: values[-10:] for rank, values in returns.items()}
        assert max(latest[0]) < min(latest[1]) < max(latest[1]) < min(latest[2])
        assert all(max(values) - min(values) > 0.2 for values in latest.values())
        assert max(latest[2]) < 10.0


class TestReserve:
    """Load: a service at 0.7 of its queue, nearly all of whose requests are of one rank."""

    @pytest.mark.parametrize(("urgent_count", "is_shed"), [(0, False), (50, True)])
    def test_room_is_left_free_only_for_ranks_in_use(self, urgent_count, is_shed):
        """Guards against refusals for the sake of more urgent requests that nobody sends."""
        controller = create_controller(0, 1)
        load = replace(FULL, outstanding=FULL.slots + 0.7 * FULL.queue)
        for _ in range(urgent_count):
            controller.decide(0.0, "s", 0, "", load)
        refusals = [controller.decide(0.0, "s", 1, "", load) for _ in range(100)]
        assert any(refusals[10:]) == is_shed


class TestAccounts:
    def test_one_request_more_than_others_is_no_evidence(self):
        """Load: 5 requests per second of many accounts; counts differ by chance."""
        controller = create_controller(0)
        for step in range(60):
            assert controller.decide(0.2 * step, "s", 0, f"a{step % 17}", FULL) is None
