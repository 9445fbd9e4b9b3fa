"""Selection of the hub that an entry follows."""

from random import Random

from ...forwarding import Topology
from ...hub import HubRecord
from .._hub_selector import HubSelector

STEP = 0.05
REGIONS = {f"z{index}": f"r{index % 3}" for index in range(5)}
RECORDS = tuple(
    HubRecord(f"vm{index}", f"vm{index}:7000", f"vm{index}:80", f"z{index}") for index in range(5)
)
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
    # The interval between probes of a hub that fails was computed without a limit, so after half
    # an hour without any hub the entry failed with an OverflowError.
    def test_outage_may_last_for_hours(self):
        selector = HubSelector(topology=Topology("z0", REGIONS), seeds=(), random=Random(1))
        selector.add(RECORDS[:3])
        now = advance(selector, 0.0, 3 * 3600.0, {})
        advance(selector, now, RECOVERY_SECONDS, {RECORDS[1].address: True})
        assert selector.address == RECORDS[1].address
