"""Selection of the entry that relays a request."""

from collections.abc import Callable
from random import Random

from ._messages import RelayRecord

# An entry that declined or broke a connection is not asked again for this long.
BACKOFF_SECONDS = 0.5
# Requests in flight at a relay that outweigh the next larger distance: own data centre, own
# region, other regions.
DISTANCE_WEIGHTS = (0.0, 1.0, 6.0)


class RelaySelector:
    """Entries that relay requests, and the requests of this entry in flight at each.

    Parameters
    ----------
    get_distance : callable
        Returns 0 for the own data centre, 1 for the own region, and 2 for other regions.
    random : Random
        Spreads requests over relays with the same load.
    """

    def __init__(self, get_distance: Callable[[str], int], random: Random):
        self.get_distance = get_distance
        self.random = random
        self._relays: tuple[RelayRecord, ...] = ()
        self._in_flight: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no relay is known."""
        return not self._relays

    def update(self, relays: tuple[RelayRecord, ...]) -> None:
        """Replace the known relays."""
        self._relays = relays
        addresses = {item.address for item in relays}
        self._avoided_until = {
            key: until for key, until in self._avoided_until.items() if key in addresses
        }

    def choose(self, now: float, excluded: frozenset[str]) -> RelayRecord | None:
        """Return the relay for the next request, or None if there is none."""
        usable = [
            item
            for item in self._relays
            if item.address not in excluded and now >= self._avoided_until.get(item.address, now)
        ]
        return min(usable, key=self._get_cost, default=None)

    def acquire(self, relay: RelayRecord) -> None:
        """Count a request that is sent to a relay."""
        self._in_flight[relay.address] = self._in_flight.get(relay.address, 0) + 1

    def release(self, relay: RelayRecord) -> None:
        """Count the end of a request at a relay."""
        left = self._in_flight.get(relay.address, 0) - 1
        if left > 0:
            self._in_flight[relay.address] = left
        else:
            self._in_flight.pop(relay.address, None)

    def avoid(self, now: float, relay: RelayRecord) -> None:
        """Avoid a relay for a while, as it declined a request or could not be reached."""
        self._avoided_until[relay.address] = now + BACKOFF_SECONDS

    def _get_cost(self, relay: RelayRecord) -> tuple[float, float]:
        distance = DISTANCE_WEIGHTS[self.get_distance(relay.data_centre)]
        return distance + self._in_flight.get(relay.address, 0), self.random.random()
