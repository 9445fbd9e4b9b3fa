"""Hubs tell entries without a path to the targets which entries relay requests."""

import pytest

from ...hub import EdgeNews, Subscribe, SubscriberLost, SubscriberReceived
from ...relaying import RelayNews, RelayQuery
from .._relays import MAXIMUM_NAMED_RELAYS
from .fakes import FakeSite
from .test_site import list_pushed


def subscribe(
    site: FakeSite, vm: str, number: int, *, is_isolated: bool = False, data_centre: str = "z0"
) -> None:
    name = f"e{number}"
    record = Subscribe(
        name,
        f"{name}:80",
        data_centre,
        0,
        True,
        relay_address=f"{name}:90",
        is_isolated=is_isolated,
    )
    site.receive(vm, SubscriberReceived(number, record))


def list_named(site: FakeSite, number: int) -> list[str]:
    """Return the relays that an entry was last told."""
    news = [item for _, other, item in list_pushed(site, RelayNews) if other == number]
    return [record.address for record in news[-1].relays] if news else []


def list_addresses(site: FakeSite, number: int) -> list[str]:
    news = [item for _, other, item in list_pushed(site, EdgeNews) if other == number]
    return sorted(record.address for record in news[-1].edges)


class TestRelayLists:
    def test_isolated_entry_learns_of_the_entries_of_all_hubs(self):
        site = FakeSite(3)
        for number, vm in enumerate(("vm0", "vm0", "vm1", "vm2")):
            subscribe(site, vm, number)
        site.advance(0.3)
        assert list_pushed(site, RelayNews) == []
        subscribe(site, "vm0", 0, is_isolated=True)
        site.advance(0.3)
        assert list_named(site, 0) == ["e1:90", "e2:90", "e3:90"]
        assert list_named(site, 1) == []

    def test_isolated_and_stopped_entries_are_not_named(self):
        site = FakeSite(3)
        for number, vm in enumerate(("vm0", "vm0", "vm1", "vm2")):
            subscribe(site, vm, number)
        for number, vm in ((0, "vm0"), (2, "vm1")):
            subscribe(site, vm, number, is_isolated=True)
        site.receive("vm2", SubscriberLost(3))
        site.advance(1.0)
        assert list_named(site, 0) == ["e1:90"]
        assert list_named(site, 2) == ["e1:90"]

    def test_list_follows_changes_while_an_entry_is_isolated(self):
        site = FakeSite(3)
        subscribe(site, "vm0", 0, is_isolated=True)
        subscribe(site, "vm1", 1)
        site.advance(1.0)
        subscribe(site, "vm1", 1, is_isolated=True)
        subscribe(site, "vm2", 2)
        site.advance(1.0)
        assert list_named(site, 0) == ["e2:90"]

    def test_list_of_a_hub_that_is_gone_is_dropped(self):
        site = FakeSite(3)
        subscribe(site, "vm0", 0, is_isolated=True)
        subscribe(site, "vm1", 1)
        site.advance(1.0)
        assert list_named(site, 0) == ["e1:90"]
        site.stop("vm1")
        site.advance(3.0)
        assert list_named(site, 0) == []

    def test_a_hub_names_a_few_of_many_entries(self):
        site = FakeSite(3)
        subscribe(site, "vm0", 0, is_isolated=True)
        for number in range(1, 3 * MAXIMUM_NAMED_RELAYS):
            subscribe(site, "vm1", number)
        site.advance(1.0)
        assert len(list_named(site, 0)) == MAXIMUM_NAMED_RELAYS

    # Guards against traffic between hubs while no entry needs a relay.
    def test_no_hub_is_asked_in_calm(self):
        site = FakeSite(3)
        asked = []
        send = site._send

        def record(source, destination, message):
            asked.extend([message] if isinstance(message, RelayQuery) else [])
            send(source, destination, message)

        site._send = record
        for number, vm in enumerate(("vm0", "vm1")):
            subscribe(site, vm, number)
        site.advance(2.0)
        assert asked == []
        subscribe(site, "vm0", 0, is_isolated=True)
        site.advance(2.0)
        subscribe(site, "vm0", 0)
        site.advance(0.1)
        count = len(asked)
        assert count > 0
        site.advance(2.0)
        assert len(asked) == count


class TestAddresses:
    @pytest.mark.parametrize(("isolated", "listed"), [(1, 3), (2, 2), (3, 4), (4, 4)])
    def test_isolated_entries_are_left_out_while_half_of_the_others_have_a_path(
        self, isolated, listed
    ):
        site = FakeSite(3)
        for number in range(4):
            subscribe(site, "vm0", number)
        for number in range(isolated):
            subscribe(site, "vm0", number, is_isolated=True)
        site.advance(1.0)
        expected = [f"e{number}:80" for number in range(4 - listed, 4)]
        assert list_addresses(site, 3) == expected

    def test_entry_is_listed_again_once_its_path_is_open(self):
        site = FakeSite(3)
        for number in range(4):
            subscribe(site, "vm0", number)
        subscribe(site, "vm0", 0, is_isolated=True)
        site.advance(1.0)
        subscribe(site, "vm0", 0)
        site.advance(1.0)
        assert list_addresses(site, 3) == [f"e{number}:80" for number in range(4)]
