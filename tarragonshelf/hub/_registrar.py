"""Registration of targets at hubs, and the known hubs of the site."""

from collections.abc import Callable
from dataclasses import replace

from ..registry import TargetEntry, TargetRegistry, TargetState
from ..replication import Place
from ._messages import HubNews, HubRecord

# Hubs exchange heartbeats every second. A hub without a heartbeat for this long counts as not
# alive: targets are no longer directed to it.
HUB_TIMEOUT_SECONDS = 2.5
# A hub without a heartbeat for this long is removed. Heartbeats are then sent to it only if it is
# a member of the replica set.
HUB_RETENTION_SECONDS = 60.0
# The list of known hubs is sent to each peer at this interval.
HUB_NEWS_INTERVAL_SECONDS = 10.0
# Targets whose hub is gone are looked for at this interval.
ORPHAN_INTERVAL_SECONDS = 5.0
# Targets announce themselves at least every few seconds. A target without an announcement for
# this long is marked as gone, until it announces itself again.
TARGET_TIMEOUT_SECONDS = 30.0


class Registrar:
    """Tracks which hubs and targets are alive, and distributes targets over the hubs.

    Parameters
    ----------
    own : HubRecord
        This hub.
    regions : dict of str to str
        Region of each data centre.
    """

    def __init__(self, own: HubRecord, regions: dict[str, str]):
        self.own = own
        self.regions = regions
        self._hubs: dict[str, HubRecord] = {own.vm: own}
        # When each hub was last heard, or learned of; and when it was heard by this hub itself.
        self._last_heartbeat_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._hub_news_sent_at: dict[str, float] = {}
        self._last_announcement_at: dict[str, float] = {}
        self._orphans_sought_at = 0.0

    # Hubs

    def list_addresses(self) -> set[str]:
        """Return the peer addresses of all known hubs."""
        return {item.address for item in self._hubs.values()}

    def find_address(self, vm: str) -> str:
        """Return the peer address of a hub, or an empty string if it is unknown."""
        record = self._hubs.get(vm)
        return record.address if record else ""

    def find_place(self, vm: str) -> Place | None:
        """Return the data centre and region of a hub, or None if it is unknown."""
        record = self._hubs.get(vm)
        if record is None:
            return None
        return Place(record.data_centre, self.regions.get(record.data_centre, ""))

    def is_distant(self, address: str) -> bool:
        """Return whether an address is that of a known hub in another region."""
        region = self.regions.get(self.own.data_centre)
        return any(
            item.address == address and self.regions.get(item.data_centre) != region
            for item in self._hubs.values()
        )

    def create_hub_news(self) -> HubNews:
        """Return all known hubs."""
        return HubNews(tuple(self._hubs.values()))

    def create_peer_news(self, now: float) -> HubNews:
        """Return this hub and those that it has heard itself.

        Hubs that pass on what they were told would keep each other from forgetting one that is
        gone.
        """
        return HubNews(
            tuple(
                record
                for vm, record in self._hubs.items()
                if vm == self.own.vm
                or now - self._heard_at.get(vm, float("-inf")) <= HUB_RETENTION_SECONDS
            )
        )

    def merge_hubs(self, now: float, hubs: tuple[HubRecord, ...]) -> bool:
        """Add or update hubs and return whether any of them changed."""
        is_new = False
        for record in hubs:
            if record.vm != self.own.vm and self._hubs.get(record.vm) != record:
                self._hubs[record.vm] = record
                self._last_heartbeat_at.setdefault(record.vm, now)
                is_new = True
        return is_new

    def record_heartbeat(self, now: float, vm: str) -> None:
        """Record a heartbeat of a hub, and remove hubs without one for too long."""
        self._last_heartbeat_at[vm] = self._heard_at[vm] = now
        expired = [
            name
            for name, at in self._last_heartbeat_at.items()
            if now - at > HUB_RETENTION_SECONDS
        ]
        for name in expired:
            del self._last_heartbeat_at[name]
            self._heard_at.pop(name, None)
            self._hubs.pop(name, None)

    def needs_hub_news(self, now: float, address: str) -> bool:
        """Return whether the list of hubs is due for a peer, and if so restart the interval."""
        if now - self._hub_news_sent_at.get(address, float("-inf")) < HUB_NEWS_INTERVAL_SECONDS:
            return False
        self._hub_news_sent_at[address] = now
        return True

    def request_hub_news(self, address: str) -> None:
        """Make the list of hubs due for a peer."""
        self._hub_news_sent_at.pop(address, None)

    def is_alive(self, now: float, vm: str) -> bool:
        """Return whether a hub is this one, or sent a heartbeat or became known recently."""
        last_heartbeat_at = self._last_heartbeat_at.get(vm, float("-inf"))
        return vm == self.own.vm or now - last_heartbeat_at < HUB_TIMEOUT_SECONDS

    def find_home_hub(self, now: float, data_centre: str) -> str:
        """Return the VM of the hub that adds up the load of a data centre's targets."""
        return self._find_nearest(now, data_centre, lambda item: (item.vm,)).vm

    def list_alive(self, now: float) -> frozenset[str]:
        """Return the VMs of this hub and of all other hubs that are alive."""
        return frozenset(vm for vm in self._hubs if self.is_alive(now, vm))

    def list_unresponsive(self, now: float) -> list[str]:
        """Return the VMs of known hubs that are not alive."""
        return [vm for vm in self._hubs if not self.is_alive(now, vm)]

    def choose_announcement_address(self, now: float, data_centre: str) -> str:
        """Return the address where a target of a data centre should announce itself.

        It belongs to the nearest hub that is alive, preferably this one.
        """
        nearest = self._find_nearest(
            now, data_centre, lambda item: (item.vm != self.own.vm, item.vm)
        )
        return nearest.announcements

    def _find_nearest(
        self, now: float, data_centre: str, break_tie: Callable[[HubRecord], tuple]
    ) -> HubRecord:
        """Return the nearest hub to a data centre among those that are alive."""
        alive = [item for item in self._hubs.values() if self.is_alive(now, item.vm)]
        region = self.regions.get(data_centre)

        def compute_rank(item: HubRecord) -> tuple:
            is_far = self.regions.get(item.data_centre) != region
            return (item.data_centre != data_centre, is_far, *break_tie(item))

        return min(alive, key=compute_rank)

    # Targets

    def record_announcement(self, now: float, identity: str) -> None:
        """Record that a target is assumed to be alive, which restarts its time-out."""
        self._last_announcement_at[identity] = now

    def watch(self, now: float, entry: TargetEntry) -> None:
        """Start the time-out of a target that this hub is responsible for, if it has none yet."""
        if self._is_responsible(now, entry):
            self._last_announcement_at.setdefault(entry.identity, now)

    def expire_targets(self, now: float, registry: TargetRegistry) -> list[TargetEntry]:
        """Mark targets of this hub that timed out as gone, and return them."""
        self._watch_orphans(now, registry)
        timed_out = [
            identity
            for identity, at in self._last_announcement_at.items()
            if now - at > TARGET_TIMEOUT_SECONDS
        ]
        expired = []
        for identity in timed_out:
            del self._last_announcement_at[identity]
            held = registry.get(identity)
            if held is None or not self._is_responsible(now, held):
                continue
            is_ready = held.state == TargetState.READY
            entry = replace(held, state=TargetState.LEFT, is_expired=is_ready)
            if registry.merge(now, entry):
                expired.append(entry)
        return expired

    def _is_responsible(self, now: float, entry: TargetEntry) -> bool:
        """Return whether this hub has to find out if a target is gone.

        It hears the target; or the hub that did is gone, and this one is the home of the target.
        """
        if entry.state == TargetState.LEFT:
            return False
        if entry.registrar == self.own.vm:
            return True
        is_orphan = entry.registrar not in self._hubs
        return is_orphan and self.find_home_hub(now, entry.data_centre) == self.own.vm

    def _watch_orphans(self, now: float, registry: TargetRegistry) -> None:
        if now - self._orphans_sought_at < ORPHAN_INTERVAL_SECONDS:
            return
        self._orphans_sought_at = now
        for entry in registry.list_all():
            self.watch(now, entry)
