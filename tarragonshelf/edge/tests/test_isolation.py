"""Entries that lose the path to all targets, while callers, hubs and other entries reach them."""

from dataclasses import dataclass

import pytest

from .fakes import FakeFleet, PathFault

SIZES = [6, 100]
CUT_SECONDS = 12.0
# Bounds of the users' specification: from this time after the cut on, first tries at cut entries
# must be served at least this share as often as those at the others, or few enough fail there.
STABLE_SECONDS = 3.0
MINIMUM_RELATIVE_SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
# An entry has to notice its own cut within this time.
NOTICE_SECONDS = 1.0
# Targets that work may look slow by chance; the simulated response times vary that much.
ALLOWED_AVOIDED_SHARE = 0.1


def create_fleet(entries: int, **options) -> FakeFleet:
    fleet = FakeFleet(entries=entries, targets=12, rate=60.0, **options)
    fleet.advance(3.0)
    return fleet


@dataclass(frozen=True, slots=True)
class Tries:
    """First tries of callers at cut entries and at the others."""

    cut: int
    cut_served: int
    other: int
    other_served: int

    @property
    def is_rule_broken(self) -> bool:
        failed = self.cut - self.cut_served
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * (self.cut + self.other)
        other_share = self.other_served / self.other if self.other else 0.0
        is_worse = self.cut_served < MINIMUM_RELATIVE_SHARE * other_share * self.cut
        return is_worse and failed > allowed


def count_tries(fleet: FakeFleet, names: list[str], since: float, until: float) -> Tries:
    """Return the requests that arrived in a span of time and how many of them were served."""
    found = [item for item in fleet.outcomes if since <= item.request.arrived_at < until]
    cut = [item for item in found if item.entry in names]
    other = [item for item in found if item.entry not in names]
    return Tries(
        len(cut),
        sum(item.refusal is None for item in cut),
        len(other),
        sum(item.refusal is None for item in other),
    )


def play_cut(fleet: FakeFleet, names: list[str], fault: PathFault) -> Tries:
    """Cut entries off from all targets for some seconds and return the tries that count."""
    cut_at = fleet.now
    fleet.cut_paths(names, fault)
    fleet.advance(CUT_SECONDS)
    fleet.heal_paths(names)
    fleet.advance(2.5)
    return count_tries(fleet, names, cut_at + STABLE_SECONDS, cut_at + CUT_SECONDS)


def list_share(fleet: FakeFleet, share: float) -> list[str]:
    """Return the names of a share of the entries."""
    names = list(fleet.entries)
    return names[: round(share * len(names))]


@pytest.mark.parametrize("entries", SIZES)
class TestCutEntries:
    # Guards against callers of entries without a path to any target that are hardly served.
    @pytest.mark.parametrize("fault", list(PathFault))
    @pytest.mark.parametrize("share", [1 / 3, 2 / 3])
    def test_callers_of_cut_entries_are_served(self, share, fault, entries):
        fleet = create_fleet(entries)
        tries = play_cut(fleet, list_share(fleet, share), fault)
        assert not tries.is_rule_broken, tries

    # Guards against entries that believe the failures which others met on a path of their own.
    @pytest.mark.parametrize("fault", list(PathFault))
    def test_other_entries_do_not_avoid_targets_that_work(self, fault, entries):
        fleet = create_fleet(entries)
        names = list_share(fleet, 2 / 3)
        others = [item.node for name, item in fleet.entries.items() if name not in names]
        fleet.cut_paths(names, fault)
        fleet.advance(NOTICE_SECONDS)
        counts = []
        for _ in range(100):
            fleet.advance(0.1)
            counts.append(sum(node.avoidance.count_avoided(fleet.now) for node in others))
        share = sum(counts) / (len(counts) * len(others) * len(fleet.targets))
        assert share <= ALLOWED_AVOIDED_SHARE
