"""Which hub an entry follows."""

from random import Random

from ..forwarding import Topology
from ..hub import HubRecord

# The distance of a hub in another region, or of which nothing is known.
FAR = 2
# Hubs beat every 0.4 s; two lost beats are luck, three are silence.
SILENT_SECONDS = 1.2
# So long a hub may say that it is not current before the entry looks for another.
STALE_SECONDS = 0.3
# A hub that failed is tried again after so long, unless all failed.
FAILED_SECONDS = 3.0
# While all fail, each is tried again after so long.
PAUSE_SECONDS = 0.2
# So long the nearest hub is looked for; all start within some tenths of a second.
LOOK_SECONDS = 2.0
# A nearer hub is taken up once the present one was followed so long.
SETTLED_SECONDS = 4.0


class HubChoice:
    """Chooses the nearest hub that beats and is current.

    Parameters
    ----------
    places : Places
        Where this entry is.
    seeds : tuple of str
        Peer addresses of some hubs.
    random : Random
        Spreads entries over hubs that are equally near.
    """

    def __init__(self, *, topology: Topology, seeds: tuple[str, ...], random: Random):
        self.topology = topology
        self.random = random
        self.address = ""
        self._records: dict[str, HubRecord | None] = dict.fromkeys(seeds)
        self._order: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._followed_at = float("-inf")
        self._heard_at = float("-inf")
        self._stale_since: float | None = None
        self._began_at: float | None = None
        # At first only the nearest hub is looked for: what a far one tells is dear to move.
        self.is_looking = True

    def has_current_hub(self, now: float) -> bool:
        """Tell whether a current hub is followed."""
        is_silent = now - self._heard_at >= SILENT_SECONDS
        return bool(self.address) and not is_silent and self._stale_since is None

    def is_near(self) -> bool:
        """Tell whether the hub that is followed is in the same data centre."""
        return self._measure(self.address) == 0

    def add(self, records: tuple[HubRecord, ...]) -> None:
        """Take hubs in."""
        for record in records:
            self._records[record.address] = record

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Take addresses of hubs in of which nothing else is known."""
        for address in addresses:
            self._records.setdefault(address, None)

    def note_heard(self, now: float, address: str, *, is_current: bool | None) -> None:
        """Take in that a hub was heard, and whether it says that it is current."""
        if address != self.address:
            return
        self._heard_at = now
        if is_current is None:
            return
        if is_current:
            self._stale_since = None
            self._failed_at.pop(address, None)
        elif self._stale_since is None:
            self._stale_since = now

    def note_lost(self, now: float, address: str) -> None:
        """Take in that a connection broke or could not be made."""
        self._failed_at[address] = now
        if address == self.address:
            self.address = ""

    def choose(self, now: float) -> str | None:
        """Return the hub to follow from now on, or None to stay."""
        if self.is_looking:
            self._end_look(now)
        if self.address and self._needs_other(now):
            self._failed_at[self.address] = now
            self.address = ""
        nearest = self._find_nearest(now)
        if nearest is None or nearest == self.address:
            return None
        if self.address and not self._is_worth_moving(now, nearest):
            return None
        self.address = nearest
        self._followed_at = self._heard_at = now
        self._stale_since = None
        return nearest

    def _end_look(self, now: float) -> None:
        """Settle for a hub once a near one is known, or none is found in time."""
        if self._began_at is None:
            self._began_at = now
        distances = {self._measure(name) for name, item in self._records.items() if item}
        is_found = 0 in distances or (1 in distances and now - self._began_at >= LOOK_SECONDS / 2)
        if is_found or now - self._began_at >= LOOK_SECONDS:
            self.is_looking = False
            self._followed_at = float("-inf")

    def _needs_other(self, now: float) -> bool:
        if now - self._heard_at >= SILENT_SECONDS:
            return True
        if self._stale_since is None or now - self._stale_since < STALE_SECONDS:
            return False
        # If no other is left to ask, a stale hub is better than none.
        others = (name for name in self._records if name != self.address)
        return any(self._is_usable(now, name) for name in others)

    def _get_failed_at(self, address: str) -> float:
        return self._failed_at.get(address, float("-inf"))

    def _is_usable(self, now: float, address: str) -> bool:
        return now - self._get_failed_at(address) >= FAILED_SECONDS

    def _is_worth_moving(self, now: float, nearest: str) -> bool:
        is_settled = now - self._followed_at >= SETTLED_SECONDS
        order = [(self._measure(name), name) for name in (nearest, self.address)]
        return is_settled and order[0] < order[1]

    def _find_nearest(self, now: float) -> str | None:
        usable = [name for name in self._records if self._is_usable(now, name)]
        if not usable and self.address:
            return self.address
        if not usable:
            # All failed a moment ago: begin again with the one that did so first.
            first = min(self._records, key=self._get_failed_at, default=None)
            is_due = first is not None and now - self._get_failed_at(first) >= PAUSE_SECONDS
            return first if is_due else None
        if self.address in usable and self._measure(self.address) == FAR:
            # An equally far one is no reason to move.
            return min(usable, key=lambda name: (self._measure(name), name != self.address))
        return min(usable, key=lambda name: (self._measure(name), self._draw(name), name))

    def _measure(self, address: str) -> int:
        record = self._records.get(address)
        return FAR if record is None else self.topology.get_distance(record.data_centre)

    def _draw(self, address: str) -> float:
        """Return what decides between hubs that are equally near.

        Near ones are taken in one order by all entries, so that those of a data centre follow the
        same hub and know each other; far ones by lot.
        """
        if self._measure(address) < FAR:
            return 0.0
        return self._order.setdefault(address, self.random.random())
