"""All entries together keep no more idle connections than a target accepts."""

import pytest

from .. import compute_idle_limit


class TestIdleLimit:
    # Guards against entries that together use up the connections that a target accepts.
    @pytest.mark.parametrize("entries", [1, 6, 48, 100, 420])
    @pytest.mark.parametrize("maximum_connections", [1, 100, 390])
    def test_all_entries_together_leave_connections_for_requests(
        self, maximum_connections, entries
    ):
        idle = entries * compute_idle_limit(maximum_connections, entries=entries)
        assert idle <= maximum_connections / 2

    def test_entry_keeps_a_few_where_the_target_accepts_enough(self):
        assert compute_idle_limit(390, entries=48) == 4

    def test_entry_keeps_a_few_if_the_limit_is_unknown(self):
        assert compute_idle_limit(None, entries=420) == 4
