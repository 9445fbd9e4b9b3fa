"""Selection of the hub that an entry follows."""

from random import Random

from ..forwarding import Topology
from ..hub import HubRecord

# Distance of a hub in another region, and of a hub whose data centre is unknown.
OTHER_REGION_DISTANCE = 2
# Hubs send a heartbeat every 0.4 s. Two lost heartbeats can occur by chance; after three the hub
# counts as failed.
HEARTBEAT_TIMEOUT_SECONDS = 1.2
# The entry moves to another hub if its hub reports for this long that it is not current.
STALE_TIMEOUT_SECONDS = 0.3
# Back-off before a failed hub is tried again, unless all hubs failed.
FAILURE_BACKOFF_SECONDS = 3.0
# Back-off for each hub while all hubs fail.
ALL_FAILED_BACKOFF_SECONDS = 0.2
# Maximum duration of the lookup of the nearest hub. It suffices, as all processes of a site start
# within a few tenths of a second.
LOOKUP_TIMEOUT_SECONDS = 2.0
# Minimum time that a hub is followed before the entry moves to a nearer one.
MINIMUM_FOLLOW_SECONDS = 4.0
# Other hubs are probed once the entry has had no current hub for this long.
SEARCH_DELAY_SECONDS = 0.3
# Time for which the result of a probe counts, and after which one without a result is given up.
VERDICT_SECONDS = 1.0
ABANDON_SECONDS = 5.0
# Interval between probes of a hub during a search, and of a nearer one besides; both are doubled
# with each failure up to the maximum.
SEARCH_INTERVAL_SECONDS = 0.5
NEARER_INTERVAL_SECONDS = 4.0
MAXIMUM_INTERVAL_SECONDS = 32.0
MAXIMUM_SEARCH_INTERVAL_SECONDS = 2.0
# Probes that are under way at the same time.
MAXIMUM_PROBES = 8
# With a current hub, another one is forgotten after this many failed probes in a row, unless only
# a few are known.
FORGET_FAILURES = 8
MINIMUM_KNOWN_HUBS = 3


class HubSelector:
    """Selects the nearest hub that sends heartbeats and is current.

    A known address may belong to a hub that was removed, or that has no contact with the others.
    So the entry leaves a hub that works only for one that a probe has found to be current, and if
    its own does not work it probes all others at the same time.

    Parameters
    ----------
    topology : Topology
        Data centre of this entry, and the region of each data centre.
    seeds : tuple of str
        Peer addresses of some hubs.
    random : Random
        Spreads entries over the hubs of other regions.
    """

    def __init__(self, *, topology: Topology, seeds: tuple[str, ...], random: Random):
        self.topology = topology
        self.random = random
        self.address = ""
        self._records: dict[str, HubRecord | None] = dict.fromkeys(seeds)
        self._tie_breakers: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._followed_at = float("-inf")
        # The time of the last message of the followed hub or, before the first one, of the choice.
        self._last_contact_at = float("-inf")
        self._has_contact = False
        self._stale_since: float | None = None
        self._lookup_started_at: float | None = None
        self._not_current_since: float | None = None
        # When a probe last found a hub to be current, when each was last probed, when the probes
        # that are under way began, and how many have failed in a row.
        self._verified_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._probes: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        # At first the entry only looks up the nearest hub, as a subscription to a remote one
        # causes expensive traffic.
        self.is_looking_up = True

    def has_current_hub(self, now: float) -> bool:
        """Return whether the followed hub responds and is current."""
        if not self.address or not self._has_contact:
            return False
        is_timed_out = now - self._last_contact_at >= HEARTBEAT_TIMEOUT_SECONDS
        return not is_timed_out and self._stale_since is None

    def compute_outdated_seconds(self, now: float) -> float:
        """Return for how long there has been no current hub, which would report new versions."""
        if self.has_current_hub(now) or self._not_current_since is None:
            return 0.0
        return now - self._not_current_since

    def describe(self, now: float) -> dict:
        """Return the followed hub and its state as fields of a log event."""
        return {
            "hub": self.address,
            "hub_is_current": self.has_current_hub(now),
            "hub_silent_seconds": round(now - self._last_contact_at, 3),
        }

    def is_near(self) -> bool:
        """Return whether the followed hub is in the same data centre."""
        return self._get_distance(self.address) == 0

    def add(self, records: tuple[HubRecord, ...]) -> None:
        """Add or update hubs."""
        for record in records:
            self._records[record.address] = record

    def is_known(self, address: str) -> bool:
        """Return whether a hub may be probed and followed."""
        return address in self._records

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add peer addresses of hubs whose data centre is unknown."""
        for address in addresses:
            self._records.setdefault(address, None)

    def record_contact(self, now: float, address: str, *, is_current: bool | None) -> None:
        """Record a message of a hub.

        Parameters
        ----------
        now : float
            The time in seconds.
        address : str
            Peer address of the hub.
        is_current : bool or None
            Whether the hub reports that it is current; None if the message does not say.
        """
        if address != self.address:
            return
        self._last_contact_at = now
        self._has_contact = True
        if is_current is None:
            return
        if is_current:
            self._stale_since = None
            self._failed_at.pop(address, None)
        elif self._stale_since is None:
            self._stale_since = now

    def record_disconnect(self, now: float, address: str) -> None:
        """Record that the connection to a hub broke or could not be established."""
        self._failed_at[address] = now
        if address == self.address:
            self.address = ""

    def record_probe(self, now: float, address: str, *, is_current: bool | None) -> None:
        """Record the result of a probe: whether the hub is current, or None without an answer."""
        self._probes.pop(address, None)
        if is_current:
            self._verified_at[address] = now
            self._failures.pop(address, None)
            self._failed_at.pop(address, None)
            return
        self._verified_at.pop(address, None)
        self._failures[address] = self._failures.get(address, 0) + 1
        if is_current is None and address != self.address:
            self._failed_at[address] = now
        # While no hub is current the failure may be on this side, or all may be back later.
        if self._failures[address] >= FORGET_FAILURES and self.has_current_hub(now):
            self._forget(address)

    def _forget(self, address: str) -> None:
        if address != self.address and len(self._records) > MINIMUM_KNOWN_HUBS:
            self._records.pop(address, None)
            self._failures.pop(address, None)

    def start_probes(self, now: float) -> list[str]:
        """Return the addresses of hubs to probe now."""
        self._probes = {
            name: at for name, at in self._probes.items() if now - at < ABANDON_SECONDS
        }
        if self._is_searching(now):
            limits = (SEARCH_INTERVAL_SECONDS, MAXIMUM_SEARCH_INTERVAL_SECONDS)
            candidates = [name for name in self._records if name != self.address]
            count = MAXIMUM_PROBES
        else:
            limits = (NEARER_INTERVAL_SECONDS, MAXIMUM_INTERVAL_SECONDS)
            candidates = self._list_nearer(now)
            count = 1
        due = [name for name in candidates if self._is_probe_due(now, name, *limits)]
        due.sort(key=lambda name: (self._failures.get(name, 0), self._get_distance(name), name))
        started = due[: max(0, count - len(self._probes))]
        for name in started:
            self._probes[name] = self._probed_at[name] = now
        return started

    def _is_probe_due(self, now: float, address: str, interval: float, maximum: float) -> bool:
        doublings = min(self._failures.get(address, 0), FORGET_FAILURES)
        interval = min(maximum, interval * 2**doublings)
        return (
            address not in self._probes
            and now - self._probed_at.get(address, float("-inf")) >= interval
        )

    def _is_searching(self, now: float) -> bool:
        since = self._not_current_since
        return since is not None and now - since >= SEARCH_DELAY_SECONDS

    def _list_nearer(self, now: float) -> list[str]:
        """Return the hubs that are nearer than the followed one, if it may be left for them."""
        if not self.address or now - self._followed_at < MINIMUM_FOLLOW_SECONDS:
            return []
        own_rank = (self._get_distance(self.address), self.address)
        return [
            name
            for name in self._records
            if (self._get_distance(name), name) < own_rank
            and (self._get_distance(name) < OTHER_REGION_DISTANCE)
        ]

    def _is_verified(self, now: float, address: str) -> bool:
        """Return whether a probe has just found another hub to be current."""
        verified_at = self._verified_at.get(address, float("-inf"))
        return now - verified_at < VERDICT_SECONDS and verified_at > self._get_failed_at(address)

    def choose(self, now: float) -> str | None:
        """Return the address of the hub to follow from now on, or None to keep the present one."""
        if self.has_current_hub(now):
            self._not_current_since = None
        elif self._not_current_since is None:
            self._not_current_since = now if self._stale_since is None else self._stale_since
        if self.is_looking_up:
            self._update_lookup(now)
        if self.address and self._must_leave(now):
            self._failed_at[self.address] = now
            self.address = ""
        nearest = self._find_nearest(now)
        if nearest is None or nearest == self.address:
            return None
        if self.address and not self._is_worth_moving(now, nearest):
            return None
        self.address = nearest
        self._followed_at = self._last_contact_at = now
        self._has_contact = False
        self._stale_since = None
        return nearest

    def _update_lookup(self, now: float) -> None:
        """End the lookup once a near hub is known or the time is over.

        A hub in the same data centre ends it at once, a hub in the same region after half the
        time. The entry may then move to the nearest hub without delay.
        """
        if self._lookup_started_at is None:
            self._lookup_started_at = now
        distances = {self._get_distance(name) for name, item in self._records.items() if item}
        is_found = 0 in distances or (
            1 in distances and now - self._lookup_started_at >= LOOKUP_TIMEOUT_SECONDS / 2
        )
        if is_found or now - self._lookup_started_at >= LOOKUP_TIMEOUT_SECONDS:
            self.is_looking_up = False
            self._followed_at = float("-inf")

    def _must_leave(self, now: float) -> bool:
        if now - self._last_contact_at >= HEARTBEAT_TIMEOUT_SECONDS:
            return True
        since = self._followed_at if not self._has_contact else self._stale_since
        if self.is_looking_up or since is None or now - since < STALE_TIMEOUT_SECONDS:
            return False
        # A hub that is not current is better than none, so the entry leaves it only for one that
        # is.
        others = (name for name in self._records if name != self.address)
        return any(self._is_verified(now, name) for name in others)

    def _get_failed_at(self, address: str) -> float:
        return self._failed_at.get(address, float("-inf"))

    def _is_usable(self, now: float, address: str) -> bool:
        return now - self._get_failed_at(address) >= FAILURE_BACKOFF_SECONDS

    def _is_worth_moving(self, now: float, nearest: str) -> bool:
        is_due = now - self._followed_at >= MINIMUM_FOLLOW_SECONDS
        if self._followed_at != float("-inf") and not self._is_verified(now, nearest):
            return False
        ranks = [(self._get_distance(name), name) for name in (nearest, self.address)]
        return is_due and ranks[0] < ranks[1]

    def _find_nearest(self, now: float) -> str | None:
        usable = [name for name in self._records if self._is_usable(now, name)]
        if verified := [name for name in self._records if self._is_verified(now, name)]:
            usable = [*verified, self.address] if self.address else verified
        if not usable and self.address:
            return self.address
        if not usable:
            # All hubs failed recently: try the one again that failed first.
            first = min(self._records, key=self._get_failed_at, default=None)
            is_due = (
                first is not None
                and now - self._get_failed_at(first) >= ALL_FAILED_BACKOFF_SECONDS
            )
            return first if is_due else None
        if self.address in usable and self._get_distance(self.address) == OTHER_REGION_DISTANCE:
            # Do not move to a hub at the same distance.
            return min(usable, key=lambda name: (self._get_distance(name), name != self.address))
        return min(
            usable, key=lambda name: (self._get_distance(name), self._get_tie_breaker(name), name)
        )

    def _get_distance(self, address: str) -> int:
        record = self._records.get(address)
        return (
            OTHER_REGION_DISTANCE
            if record is None
            else self.topology.get_distance(record.data_centre)
        )

    def _get_tie_breaker(self, address: str) -> float:
        """Return a sort key for hubs at the same distance.

        Hubs of the own region have the same key, so that they are ordered by address: all entries
        of a data centre then follow the same hub, which sends them the addresses of each other.
        Hubs of other regions have a random key.
        """
        if self._get_distance(address) < OTHER_REGION_DISTANCE:
            return 0.0
        return self._tie_breakers.setdefault(address, self.random.random())
