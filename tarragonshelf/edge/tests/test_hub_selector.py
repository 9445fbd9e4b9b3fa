"""Selection of the hub that an entry follows."""

from random import Random

import pytest

from ...forwarding import Topology
from ...hub import HubRecord
from .._hub_selector import HubSelector

STEP = 0.05
REGIONS = {f"z{index}": f"r{index % 3}" for index in range(5)}
RECORDS = tuple(
    HubRecord(f"vm{index}", f"vm{index}:7000", f"vm{index}:80", f"z{index}") for index in range(5)
)
OUTAGE_SECONDS = 60.0
# Bound of the users' specification: everything works again this time after the last fault.
RECOVERY_SECONDS = 15.0


def advance(selector: HubSelector, now: float, seconds: float, states: dict[str, bool]) -> float:
    """Advance the clock, and return it.

    Hubs of which ``states`` says whether they are current answer at once, others do not answer.
    """
    end = now + seconds
    while now < end:
        now += STEP
        if selector.address:
            if selector.address in states:
                is_current = states[selector.address]
                selector.record_contact(now, selector.address, is_current=is_current)
            else:
                selector.record_disconnect(now, selector.address)
        selector.choose(now)
        for address in selector.start_probes(now):
            selector.record_probe(now, address, is_current=states.get(address))
    return now


class TestOutage:
    # After some seconds without any current hub an entry forgot all but three of the hubs that
    # it knew. If those were gone when the others were back, it never followed one again.
    @pytest.mark.parametrize("survivor", [record.address for record in RECORDS])
    @pytest.mark.parametrize("answer", [None, False])
    def test_each_hub_is_found_again_after_a_long_outage(self, answer, survivor):
        selector = HubSelector(topology=Topology("z0", REGIONS), seeds=(), random=Random(1))
        selector.add(RECORDS)
        states = {} if answer is None else {record.address: answer for record in RECORDS}
        now = advance(selector, 0.0, OUTAGE_SECONDS, states)
        now = advance(selector, now, RECOVERY_SECONDS, {survivor: True})
        assert selector.address == survivor
        assert selector.has_current_hub(now)

    # The interval between probes of a hub that fails was computed without a limit, so after half
    # an hour without any hub the entry failed with an OverflowError.
    def test_outage_may_last_for_hours(self):
        selector = HubSelector(topology=Topology("z0", REGIONS), seeds=(), random=Random(1))
        selector.add(RECORDS[:3])
        now = advance(selector, 0.0, 3 * 3600.0, {})
        advance(selector, now, RECOVERY_SECONDS, {RECORDS[1].address: True})
        assert selector.address == RECORDS[1].address
