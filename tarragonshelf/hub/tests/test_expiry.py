"""Targets whose heartbeats stop, or go to another hub, while hubs fail."""

from dataclasses import replace

import pytest

from ...hub import AnnounceReply, AnnounceTarget
from ...registry import TargetEntry, TargetNews, TargetState
from ...registry._registry import DEPARTED_RETENTION_SECONDS
from ...replication import PeerMessageReceived
from .._registrar import HUB_RETENTION_SECONDS, TARGET_TIMEOUT_SECONDS
from .fakes import FakeSite

HEARTBEAT_SECONDS = 1.5
TARGETS = 6
# Targets and the hubs that they call first share this data centre with vm0 and vm2.
DATA_CENTRE = "z0"
SETTLE_SECONDS = 5.0


class FakeTargets:
    """Targets that send heartbeats to a hub, and to the next one after a failure."""

    def __init__(self, site: FakeSite, *hubs: str):
        self.site = site
        self.hubs = list(hubs)
        self.silent: set[str] = set()
        self.entries = {
            f"i-{n}": TargetEntry(
                f"i-{n}", 1000, 0, TargetState.READY, f"10.0.0.{n}:80", "s", DATA_CENTRE, 3
            )
            for n in range(TARGETS)
        }

    def advance(self, seconds: float) -> None:
        """Advance the clock of the site and send heartbeats."""
        end = self.site.now + seconds
        while self.site.now < end:
            for identity, entry in self.entries.items():
                if identity not in self.silent:
                    self.entries[identity] = replace(entry, sequence=entry.sequence + 1)
                    self._announce(self.entries[identity])
            self.site.advance(HEARTBEAT_SECONDS)

    def _announce(self, entry: TargetEntry) -> None:
        for vm in list(self.hubs):
            hub = self.site.hubs[vm]
            if hub.node is not None and hub.suspended_at is None:
                number = self.site.call(vm, AnnounceTarget(entry))
                assert isinstance(self.site.replies[number], AnnounceReply)
                return
            self.hubs.remove(vm)
            self.hubs.append(vm)


def count_usable(site: FakeSite) -> list[int]:
    """Return how many targets each hub holds as usable."""
    return [len(node.targets.list_usable("s")) for node in site.nodes.values()]


def create_site() -> tuple[FakeSite, FakeTargets]:
    site = FakeSite(4, data_centres=2)
    targets = FakeTargets(site, "vm0", "vm2")
    targets.advance(6.0)
    assert count_usable(site) == [TARGETS] * 4
    return site, targets


class TestHubThatWasAway:
    # Guards against a hub that acts on a claim to targets which another hub hears now (FLOOR).
    @pytest.mark.parametrize("absence", ["stop", "wipe", "suspend", "isolate"])
    def test_targets_that_moved_to_another_hub_stay(self, absence):
        site, targets = create_site()
        site.begin_absence("vm0", absence)
        if absence == "isolate":
            targets.hubs.reverse()
        targets.advance(3.5)
        site.end_absence("vm0", absence)
        for _ in range(20):
            targets.advance(4.0)
            assert count_usable(site) == [TARGETS] * 4

    # Guards against targets that crashed with their hub and are never given up.
    @pytest.mark.parametrize("loses_disk", [False, True])
    def test_target_that_crashed_meanwhile_is_given_up(self, loses_disk):
        site, targets = create_site()
        targets.silent = {"i-0"}
        site.stop("vm0", loses_disk=loses_disk)
        targets.advance(3.5)
        site.start("vm0")
        targets.advance(TARGET_TIMEOUT_SECONDS + SETTLE_SECONDS)
        assert count_usable(site) == [TARGETS - 1] * 4

    # Guards against a target that left and is back for good, from a hub that was away.
    @pytest.mark.parametrize("registrar", ["vm0", "vm1"])
    def test_departed_target_of_a_hub_that_was_away_for_long_does_not_stay(self, registrar):
        site, targets = create_site()
        leaving = targets.entries.pop("i-0")
        site.call(registrar, AnnounceTarget(replace(leaving, sequence=90)))
        targets.advance(3.0)
        site.stop("vm1")
        left = TargetEntry("i-0", 1000, 0, TargetState.LEFT)
        site.call("vm2", AnnounceTarget(left))
        targets.advance(DEPARTED_RETENTION_SECONDS + SETTLE_SECONDS)
        assert all(node.targets.get("i-0") is None for node in site.nodes.values())
        site.start("vm1")
        targets.advance(TARGET_TIMEOUT_SECONDS + 2 * SETTLE_SECONDS)
        assert count_usable(site) == [TARGETS - 1] * 4


class TestHubThatIsGone:
    # Guards against targets that nobody gives up, as the hub that heard them never comes back.
    def test_target_that_crashed_with_its_hub_is_given_up(self):
        site, targets = create_site()
        targets.silent = {"i-0"}
        site.remove("vm0")
        targets.advance(HUB_RETENTION_SECONDS + TARGET_TIMEOUT_SECONDS + 2 * SETTLE_SECONDS)
        assert count_usable(site) == [TARGETS - 1] * 3


class TestRefutation:
    # Guards against a target that is lost for good, although it only was not heard for a while.
    def test_target_that_is_heard_again_is_used_again(self):
        site, targets = create_site()
        targets.silent = {"i-0", "i-1"}
        targets.advance(TARGET_TIMEOUT_SECONDS + SETTLE_SECONDS)
        assert count_usable(site) == [TARGETS - 2] * 4
        targets.silent = {"i-1"}
        targets.advance(SETTLE_SECONDS)
        assert count_usable(site) == [TARGETS - 1] * 4

    # Guards against a suspicion that spreads although one hub still hears the target.
    def test_hub_that_hears_a_target_refutes_what_another_one_suspects(self):
        site, targets = create_site()
        targets.advance(10.0)
        held = site.hubs["vm1"].node.targets.get("i-0")
        suspected = replace(held, state=TargetState.LEFT, is_expired=True)
        for vm in ("vm1", "vm2", "vm3", "vm0"):
            site.receive(vm, PeerMessageReceived(TargetNews((suspected,))))
        site.advance(0.5)
        assert count_usable(site) == [TARGETS] * 4

    # Guards against a heartbeat that undoes what the target itself said.
    def test_leave_is_not_refuted(self):
        site, targets = create_site()
        left = TargetEntry("i-0", 1000, 0, TargetState.LEFT)
        site.call("vm0", AnnounceTarget(left))
        targets.advance(TARGET_TIMEOUT_SECONDS + SETTLE_SECONDS)
        assert count_usable(site) == [TARGETS - 1] * 4


class TestAnnouncementsOfOthers:
    """An announcement that names no service takes no target out of use."""

    @pytest.mark.parametrize("changes", [{}, {"identity": "i-other"}], ids=["identity", "address"])
    def test_unknown_service_displaces_no_target(self, changes):
        """Guards against a single announcement of another writer that takes a target for good."""
        site, targets = create_site()
        assert site.put(1)
        targets.advance(3.0)
        later = targets.entries["i-0"].started + 1000
        other = replace(targets.entries["i-0"], started=later, service="unknown", **changes)
        site.call("vm0", AnnounceTarget(other))
        targets.advance(6.0)
        assert count_usable(site) == [TARGETS] * 4

    def test_restart_with_an_unknown_service_is_heard_once_the_target_has_left(self):
        site, targets = create_site()
        assert site.put(1)
        targets.silent.add("i-0")
        targets.advance(TARGET_TIMEOUT_SECONDS + HEARTBEAT_SECONDS)
        restarted = replace(targets.entries["i-0"], started=2000, service="later")
        site.call("vm0", AnnounceTarget(restarted))
        targets.advance(3.0)
        assert all(node.targets.list_usable("later") for node in site.nodes.values())
