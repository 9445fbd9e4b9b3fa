"""Hubs that are replaced one after another by empty ones at other addresses."""

from random import Random

import pytest

from ...replication import Refused
from .fakes import FakeSite

# Bounds of the users' specification: a replaced VM counts as lost until its successor has had
# CATCH_UP_SECONDS, and everything works again RECOVERY_SECONDS after the last fault.
CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 15.0
# Whether the hub is asked to stop, and when its successor starts.
REPLACEMENTS = {"planned": (True, -2.0), "planned-late": (True, 1.0), "lost": (False, 1.0)}


def replace_hub(site: FakeSite, vm: str, seeds: tuple[str, ...], kind: str) -> None:
    """Replace a hub, and wait until its successor has had the time to catch up.

    The successor starts some seconds after the hub has ended or, if negative, before that.
    """
    is_planned, start_delay = REPLACEMENTS[kind]
    successor = f"{vm}n"
    site.add(successor, site.hubs[vm].record.data_centre, seeds)
    if start_delay < 0:
        site.start(successor)
        site.advance(-start_delay)
        site.remove(vm, is_planned=is_planned)
    else:
        site.remove(vm, is_planned=is_planned)
        site.advance(start_delay)
        site.start(successor)
    site.advance(CATCH_UP_SECONDS)


class TestJoin:
    # Incident CONFIG: a new control whose seeds did not lead stayed outside for good.
    @pytest.mark.parametrize("count", [3, 5, 11])
    def test_hub_joins_although_none_of_its_seeds_leads(self, count):
        site = FakeSite(count)
        followers = tuple(vm for vm in site.hubs if vm != site.leader)
        lost = followers[-1]
        site.remove(lost)
        site.add("new", "z1", followers[:1])
        site.start("new")
        site.advance(CATCH_UP_SECONDS)
        assert "new" in site.voters
        assert site.put(2)

    # Incident CONFIG: the only seed that lived was itself not a member.
    def test_hub_joins_through_one_that_is_joining(self):
        site = FakeSite(5)
        follower = next(vm for vm in site.hubs if vm != site.leader)
        site.add("new1", "z5", (follower,))
        site.start("new1")
        site.add("new2", "z6", ("new1",))
        site.start("new2")
        site.advance(2 * CATCH_UP_SECONDS)
        assert {"new1", "new2"} <= site.voters


class TestPowerLoss:
    # Incident CONFIG: the final fault came while a control was joining.
    @pytest.mark.parametrize("loses_disk", [False, True])
    @pytest.mark.parametrize("count", [3, 5])
    @pytest.mark.parametrize("tenths", range(0, 30, 3))
    def test_hub_that_was_joining_joins_after_all_lost_power(self, tenths, count, loses_disk):
        site = FakeSite(count, seed=tenths)
        assert site.put(1)
        lost = sorted(site.hubs)[tenths % count]
        site.remove(lost)
        site.add("new", "z1", tuple(list(site.nodes)[:1]))
        site.start("new")
        site.advance(tenths / 10)
        running = list(site.nodes)
        # One disk at a time may be lost, so the successor loses its own again.
        for vm in running:
            site.stop(vm, loses_power=True, loses_disk=loses_disk and vm == "new")
        for vm in running:
            site.start(vm)
        site.advance(RECOVERY_SECONDS)
        assert site.voters == set(running)
        assert site.read().version == 1
        assert site.put(2)


class TestKnownHubs:
    # Hubs told each other of one that was gone, and so never forgot it.
    def test_removed_hub_is_forgotten_by_all(self):
        site = FakeSite(5)
        site.subscribe("vm0", 1, "e")
        lost = next(vm for vm in site.hubs if vm not in (site.leader, "vm0"))
        site.remove(lost)
        site.advance(40.0)
        restarted = list(site.nodes)[-1]
        site.stop(restarted)
        site.start(restarted)
        site.advance(200.0)
        for node in site.nodes.values():
            known = node.registrar.list_addresses()
            assert site.hubs[lost].record.address not in known
            assert len(known) == 4


class TestReplacementOfAll:
    # Incident CONFIG: after five controls had been replaced one after another, none of those that
    # ran could lead, and acknowledged changes could not be read any more.
    @pytest.mark.parametrize("seed", range(6))
    @pytest.mark.parametrize("kind", REPLACEMENTS)
    @pytest.mark.parametrize("count", [3, 5])
    def test_changes_are_accepted_and_kept_while_all_hubs_are_replaced(self, count, kind, seed):
        site = FakeSite(count, seed=seed)
        random = Random(seed)
        version = 0
        for vm in random.sample(sorted(site.hubs), count):
            seeds = tuple(random.sample(list(site.nodes), 3))
            replace_hub(site, vm, seeds, kind)
            version += 1
            assert site.put(version), f"version {version} was not accepted after {vm} was replaced"
        running = list(site.nodes)
        assert site.voters == set(running)
        assert site.put(version + 1)
        lost = random.choice(running)
        for vm in running:
            site.stop(vm, loses_power=True, loses_disk=vm == lost)
        for vm in running:
            site.hubs[vm].seeds = tuple(random.sample(running, 3))
            site.start(vm)
        site.advance(RECOVERY_SECONDS)
        for vm in running:
            assert site.hubs[vm].node.register.copy.version == version + 1
            assert site.hubs[vm].node.leader_address == site.hubs[site.leader].record.address
        reply = site.read()
        assert not isinstance(reply, Refused) and reply.version == version + 1
