"""Seats of hubs that end, one shortly after another: the others go on without them."""

import pytest

from ...replication import StopRequested
from .fakes import STOP_SECONDS, FakeSite


def list_running(site: FakeSite) -> list[str]:
    return [vm for vm, hub in site.hubs.items() if hub.node is not None]


def stop_together(site: FakeSite, vms: tuple[str, ...]) -> float:
    """Ask some hubs to stop at the same time; return for how many seconds nobody led."""
    for vm in vms:
        site.receive(vm, StopRequested())
    seconds_without_leader = 0.0
    deadline = site.now + STOP_SECONDS
    while site.now < deadline:
        site.advance(site.step)
        for vm in vms:
            node = site.hubs[vm].node
            if node is not None and node.can_stop:
                site.stop(vm)
        if site.leader is None:
            seconds_without_leader += site.step
    return seconds_without_leader


class TestStopTogether:
    # Of two hubs that stopped together each handed its leadership to the other: the first ended
    # while it led, and both kept their seats.
    @pytest.mark.parametrize("seed", range(12))
    def test_hubs_that_stop_together_leave_a_leader_and_no_empty_seat(self, seed):
        site = FakeSite(5, seed=seed)
        leader = site.leader
        other = [vm for vm in sorted(site.hubs) if vm != leader][seed % 4]
        assert stop_together(site, (leader, other)) < 1.0
        assert site.voters == set(list_running(site))

    # A leader that stopped handed over to a hub that was lost just before, although others lived.
    @pytest.mark.parametrize("seed", range(6))
    def test_leader_hands_over_to_a_hub_that_replies(self, seed):
        site = FakeSite(5, seed=seed)
        assert site.put(1)
        leader = site.leader
        site.stop(next(vm for vm in sorted(site.hubs) if vm != leader))
        # Longer than the interval of heartbeats.
        site.advance(0.6)
        assert stop_together(site, (leader,)) < 1.0
        assert leader not in site.voters
