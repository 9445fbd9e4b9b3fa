"""A node that replaces another one after its replica was restored from disk."""

from ...hub import AnnounceReply, AnnounceTarget
from ...registry import TargetEntry, TargetNewsReceived, TargetState
from ...replication import PeerMessageReceived
from .fakes import FakeSite


def create_target(name: str, state: TargetState, sequence: int) -> TargetEntry:
    return TargetEntry(name, 1, sequence, state, f"{name}:80", "s", "z0", 3)


def replace_node(site: FakeSite, vm: str) -> None:
    """Restore the replica of a hub from its disk, as its process does after a failed write."""
    previous = site.hubs[vm].node
    site.start(vm)
    site.hubs[vm].node.adopt_volatile_state(previous)


class TestPendingDrains:
    def create_site(self) -> FakeSite:
        """Return a site in which vm0, cut off, was told that ``i-1`` leaves."""
        site = FakeSite(3)
        for name in ("i-1", "i-2"):
            site.call("vm0", AnnounceTarget(create_target(name, TargetState.READY, 1)))
        site.advance(2.0)
        site.isolate("vm0")
        site.call("vm0", AnnounceTarget(create_target("i-1", TargetState.LEFT, 2)))
        return site

    # Guards against a leave that is acknowledged although no other hub knows it: the numbers
    # began anew, so that a late confirmation of an earlier update counted.
    def test_late_confirmation_does_not_count_for_another_update(self):
        site = self.create_site()
        replace_node(site, "vm0")
        call = site.call("vm0", AnnounceTarget(create_target("i-2", TargetState.LEFT, 2)))
        for vm in ("vm1", "vm2"):
            site.receive("vm0", PeerMessageReceived(TargetNewsReceived(1, vm)))
        site.advance(0.6)
        assert not isinstance(site.replies.get(call), AnnounceReply)

    def test_update_is_sent_again_by_the_new_node(self):
        site = self.create_site()
        replace_node(site, "vm0")
        site.blocked_links.clear()
        # Sooner than checksums of the targets show the difference.
        site.advance(0.6)
        for vm in ("vm1", "vm2"):
            assert site.hubs[vm].node.targets.get("i-1").state == TargetState.LEFT
