"""Entries while hubs are replaced: the catalogue in force stays recent."""

import pytest

from .fakes import STEP, FakeFleet

# Bound of the users' specification: a version is in force this time after its acknowledgement.
APPLY_SECONDS = 2.5
CATCH_UP_SECONDS = 4.0
# Time between the start of a hub and the end of the one that it replaces.
START_SECONDS = 2.0
OBSERVED_SECONDS = 20.0
CHANGE_INTERVAL_SECONDS = 1.0


def replace_hub(fleet: FakeFleet, vm: str) -> str:
    """Replace a hub by one at another address, and wait until its successor is a voter."""
    site = fleet.site
    successor = f"{vm}n"
    site.add(successor, site.hubs[vm].record.data_centre, tuple(site.hubs))
    site.start(successor)
    fleet.advance(START_SECONDS)
    fleet.remove_hub(vm)
    fleet.advance(CATCH_UP_SECONDS)
    assert successor in site.voters
    return successor


def find_lags(fleet: FakeFleet, first_version: int) -> dict[str, float]:
    """Change the catalogue for a while; return the longest time that it was late at each entry.

    The time counts from the acknowledgement, and a version ends with its successor in force.
    """
    lags = dict.fromkeys(fleet.entries, 0.0)
    acknowledged: list[tuple[float, int]] = []
    version = first_version
    for step in range(round(OBSERVED_SECONDS / STEP)):
        if step % round(CHANGE_INTERVAL_SECONDS / STEP) == 0:
            version += 1
            fleet.start_put(version, lambda number: acknowledged.append((fleet.now, number)))
        fleet.advance(STEP)
        for name, entry in fleet.entries.items():
            late = [fleet.now - at for at, number in acknowledged if number > entry.node.version]
            lags[name] = max(lags[name], *late, 0.0)
    assert len(acknowledged) >= OBSERVED_SECONDS / CHANGE_INTERVAL_SECONDS / 2
    return lags


class TestCatalogueInForce:
    # Incident CONFIG, case 2: an entry refused a route long after the version that added it had
    # been acknowledged, as it kept going back to a hub that was not a member.
    @pytest.mark.parametrize("seed", range(1, 4))
    @pytest.mark.parametrize("entries", [6, 30])
    def test_entries_keep_up_although_their_nearest_hub_is_not_current(self, entries, seed):
        fleet = FakeFleet(entries=entries, targets=8, rate=5.0, hubs=5, seed=seed)
        successors = [replace_hub(fleet, f"vm{number}") for number in range(5)]
        # The only hub in its data centre loses contact with all other hubs, not with the entries.
        fleet.site.isolate(successors[2])
        fleet.advance(CATCH_UP_SECONDS)
        lags = find_lags(fleet, 100)
        assert max(lags.values()) <= APPLY_SECONDS
