"""The request rate limit of a target holds over all entries of a site together."""

import pytest

from .fakes import FakeFleet

SIZES = [6, 100]


class TestSharedLimit:
    # Guards against a target that names a limit and still gets its usual share of the requests.
    @pytest.mark.parametrize("entries", SIZES)
    @pytest.mark.parametrize("limit", [0.5, 1.0, 3.2])
    def test_target_gets_no_more_than_its_limit_from_all_entries_together(self, entries, limit):
        fleet = FakeFleet(entries=entries, targets=6, rate=60.0)
        target = fleet.targets[0]
        fleet.advance(2.0)
        target.limit, named_at = limit, fleet.now
        fleet.advance(12.0)
        assert fleet.find_excess(target, named_at, is_strict=False) == []
        assert fleet.find_excess(target, named_at, is_strict=True) == []
