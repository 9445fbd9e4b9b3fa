"""A target leaves at a hub that does not know it, or knows another incarnation of it."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...hub import AnnounceReply, AnnounceTarget
from ...registry import TargetEntry, TargetNews, TargetState
from ...replication import PeerMessageReceived, Refused
from .fakes import FakeSite

TARGET = TargetEntry("i-1", 1000, 1, TargetState.READY, "10.0.0.1:80", "s", "z1", 3)
RESTARTED = replace(TARGET, started=2000, address="10.0.0.2:80")
# A target calls the next hub after this time without a reply.
REPLY_SECONDS = 1.0
# Bounds of the users' specification: requests may still reach a target for this time after the
# confirmation, and a VM that lost its disk is as before after this time.
DRAIN_SECONDS = 2.5
CATCH_UP_SECONDS = 4.0
# A record of a departed target is gone after this time.
REMOVED_SECONDS = 130.0


def create_leave(target: TargetEntry, *, names_start: bool = True) -> TargetEntry:
    """Return what a target announces that leaves without having said that it drains."""
    started = target.started if names_start else 0
    return TargetEntry(target.identity, started, 0, TargetState.LEFT)


def announce(site: FakeSite, target: TargetEntry, *vms: str) -> str:
    """Announce a target to one hub after another; return the first that confirms in time."""
    for vm in vms:
        number = site.call(vm, AnnounceTarget(target))
        deadline = site.now + REPLY_SECONDS
        while number not in site.replies and site.now < deadline:
            site.advance(site.step)
        if isinstance(site.replies.get(number), AnnounceReply):
            return vm
    return ""


def list_users(site: FakeSite) -> list[str]:
    """Return the hubs that hold a target of the service as usable."""
    return [vm for vm, node in site.nodes.items() if node.targets.list_usable("s")]


def list_digests(site: FakeSite) -> set[int]:
    """Return the distinct digests of the hubs' registries."""
    return {node.targets.digest for node in site.nodes.values()}


def create_site(held: str, *, hubs: int = 3, seed: int = 0) -> tuple[FakeSite, TargetEntry]:
    """Return a site whose hub ``vm1`` was away, and the incarnation that the others know.

    ``held`` says what the hub knows of the target when it is back: nothing, as its disk is lost;
    nothing, as the target is new; or an earlier incarnation at another address.
    """
    site = FakeSite(hubs, seed=seed)
    if held != "new":
        assert announce(site, TARGET, "vm1")
        site.advance(2.0)
    site.stop("vm1", loses_disk=held == "wiped")
    target = RESTARTED if held == "earlier" else TARGET
    if held != "wiped":
        assert announce(site, target, "vm0")
    site.advance(3.0)
    site.start("vm1")
    return site, target


HELD = ["wiped", "new", "earlier"]


@pytest.mark.parametrize("held", HELD)
class TestHubThatWasAway:
    # Guards against a confirmation that rests on what one hub happens to know (review, DRAIN).
    @pytest.mark.parametrize("delay", [0.0, 0.3, 0.6, 1.0])
    @pytest.mark.parametrize("names_start", [True, False])
    def test_leave_is_confirmed_once_no_hub_names_the_target(self, held, delay, names_start):
        site, target = create_site(held)
        site.advance(delay)
        leave = create_leave(target, names_start=names_start)
        assert announce(site, leave, "vm1", "vm0")
        assert list_users(site) == []
        site.advance(8.0)
        assert list_users(site) == []
        assert len(list_digests(site)) == 1

    # Guards against an order of merging in which a leave without an address is lost.
    def test_record_that_comes_later_does_not_bring_the_target_back(self, held):
        site, target = create_site(held)
        assert announce(site, create_leave(target), "vm1", "vm0")
        for vm in site.hubs:
            site.receive(vm, PeerMessageReceived(TargetNews((replace(target, sequence=7),))))
        announce(site, replace(target, sequence=8), "vm1")
        site.advance(5.0)
        assert list_users(site) == []

    # Guards against a leave that takes out what runs under the same identity or address now.
    def test_later_incarnation_and_successor_at_the_address_stay(self, held):
        site, target = create_site(held)
        later = replace(target, started=3000)
        successor = replace(target, identity="i-2", started=3500)
        assert announce(site, later, "vm0")
        assert announce(site, create_leave(target), "vm1", "vm0")
        site.advance(3.0)
        assert set(list_users(site)) == set(site.hubs)
        assert announce(site, successor, "vm2")
        assert announce(site, create_leave(target), "vm1", "vm0")
        site.advance(3.0)
        usable = [hub.node.targets.list_usable("s") for hub in site.hubs.values()]
        assert {tuple(item.identity for item in items) for items in usable} == {("i-2",)}


class TestUnknownEverywhere:
    # Guards against a leave that nobody can answer, and against records that stay for ever.
    @pytest.mark.parametrize("names_start", [True, False])
    def test_leave_is_confirmed_in_time_and_its_record_removed(self, names_start):
        site = FakeSite(3)
        leave = create_leave(TARGET, names_start=names_start)
        assert announce(site, leave, "vm0") == "vm0"
        site.advance(REMOVED_SECONDS)
        assert all(not hub.node.targets.list_all() for hub in site.hubs.values())

    # Guards against a confirmation by a hub that can't reach the others.
    def test_hub_without_contact_to_a_majority_refuses(self):
        site = FakeSite(3)
        site.isolate("vm0")
        number = site.call("vm0", AnnounceTarget(create_leave(TARGET)))
        site.advance(REPLY_SECONDS)
        assert isinstance(site.replies[number], Refused)

    # Guards against records that hubs return to each other after their time.
    def test_record_is_removed_although_hubs_heard_of_it_at_different_times(self):
        site = FakeSite(3)
        assert announce(site, TARGET, "vm0")
        assert announce(site, create_leave(TARGET), "vm0")
        site.stop("vm2", loses_disk=True)
        site.advance(60.0)
        site.start("vm2")
        site.advance(4 * REMOVED_SECONDS)
        assert all(not hub.node.targets.list_all() for hub in site.hubs.values())


class TestHubWithoutDisk:
    # Guards against a hub that tells entries of few targets until it has heard of its peers.
    @pytest.mark.parametrize("hubs", [3, 5, 11])
    def test_hub_knows_its_peers_and_their_targets_in_time(self, hubs):
        site = FakeSite(hubs)
        assert announce(site, TARGET, "vm0")
        site.advance(2.0)
        site.stop("vm1", loses_disk=True)
        site.advance(3.0)
        site.start("vm1")
        site.advance(CATCH_UP_SECONDS)
        node = site.hubs["vm1"].node
        assert node.registrar.list_addresses() == {
            item.record.address for item in site.hubs.values()
        }
        assert node.targets.list_usable("s")


ABSENCES = st.lists(
    st.tuples(st.sampled_from(["stop", "wipe", "isolate"]), st.integers(0, 4)),
    min_size=1,
    max_size=4,
)


class TestAnyOrder:
    """One hub after another is away while targets begin, restart and leave."""

    @given(
        absences=ABSENCES,
        names_start=st.booleans(),
        delay=st.sampled_from([0.0, 0.2, 0.7, 1.5]),
        seed=st.integers(0, 1000),
    )
    @settings(max_examples=settings.default.max_examples // 4)
    def test_confirmed_leave_holds_at_all_hubs(self, absences, names_start, delay, seed):
        site = FakeSite(5, seed=seed)
        target = TARGET
        assert announce(site, target, "vm0", "vm1")
        for kind, number in absences:
            vm = f"vm{number}"
            others = [item for item in site.hubs if item != vm]
            site.advance(6.0)
            site.begin_absence(vm, kind)
            site.advance(1.0)
            target = replace(target, started=target.started + 1000)
            assert announce(site, target, *others)
            site.advance(2.0)
            site.end_absence(vm, kind)
            site.advance(delay)
            leave = create_leave(target, names_start=names_start)
            assert announce(site, leave, vm, *others)
            # A majority has stored it. The rest, and hubs that come back, know it soon.
            assert len(list_users(site)) <= 2
            site.advance(DRAIN_SECONDS)
            assert list_users(site) == []
            site.advance(DRAIN_SECONDS)
            assert list_users(site) == []
