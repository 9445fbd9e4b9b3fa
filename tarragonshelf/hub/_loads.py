"""Outstanding requests of each target, added up over all entries of a site.

Only the home of a target, which is the hub nearest to it, knows the exact load of the target.
Other hubs receive it only while the target is busy: traffic between data centres is expensive
and most targets are not busy.
"""

from dataclasses import dataclass

from ._messages import HubBusy, HubLoad, LoadItem

# Minimum time between two exchanges with other hubs, and between two lists of busy targets for
# hubs in other regions, whose entries rarely use these targets.
EXCHANGE_INTERVAL_SECONDS = 0.12
DISTANT_INTERVAL_SECONDS = 1.0
# The load of a busy target is sent again once it has changed by this share of the target's slots.
MINIMUM_CHANGE_SHARE = 0.67


@dataclass(frozen=True, slots=True)
class LoadExchange:
    """Loads for each home hub by VM, and changes of busy targets for hubs of both kinds.

    ``busy`` is for the hubs of the own region, ``distant_busy`` for those of other regions.
    """

    loads: dict[str, HubLoad]
    busy: HubBusy | None
    distant_busy: HubBusy | None


class BusyTargets:
    """The busy targets of one home hub, as a group of other hubs knows them.

    Parameters
    ----------
    vm : str
        The VM of the home hub.
    """

    def __init__(self, vm: str):
        self.vm = vm
        self._sent: dict[str, int] = {}

    def create_news(self, totals: dict[str, int], slots: dict[str, int]) -> HubBusy | None:
        """Return what has changed since the previous call, or None.

        ``totals`` holds the outstanding requests of the targets whose home is this hub.
        """
        items = []
        for target in {*totals, *self._sent}:
            capacity = slots.get(target, 1)
            count = totals.get(target, 0)
            sent = self._sent.get(target, 0)
            # Hysteresis: a target becomes busy when its load exceeds its slots, and stops being
            # busy when a slot is free.
            busy = count if count > capacity or (sent and count >= capacity) else 0
            if busy != sent and (
                not busy or not sent or abs(busy - sent) >= MINIMUM_CHANGE_SHARE * capacity
            ):
                items.append(LoadItem(target, busy))
                if busy:
                    self._sent[target] = busy
                else:
                    del self._sent[target]
        return HubBusy(self.vm, tuple(items)) if items else None


class LoadAggregator:
    """Adds up the outstanding requests of entries at each target.

    Parameters
    ----------
    vm : str
        The VM of this hub.
    """

    def __init__(self, vm: str):
        self.vm = vm
        self._local: dict[str, int] = {}
        self._remote: dict[str, dict[str, int]] = {}
        self._busy: dict[str, dict[str, int]] = {}
        self._sent_remote: dict[str, tuple[LoadItem, ...]] = {}
        self._busy_targets = BusyTargets(vm)
        self._distant_busy_targets = BusyTargets(vm)
        self._exchanged_at = 0.0
        self._distant_exchanged_at = 0.0

    def set_local(self, totals: dict[str, int]) -> None:
        """Set the outstanding requests of the entries that follow this hub."""
        self._local = totals

    def record_remote(self, load: HubLoad) -> None:
        """Record the load that entries of another hub cause at targets whose home is here."""
        self._remote[load.vm] = {item.target: item.count for item in load.items}

    def record_busy(self, busy: HubBusy) -> None:
        """Record which targets of another home hub are busy."""
        counts = self._busy.setdefault(busy.vm, {})
        for item in busy.items:
            if item.count:
                counts[item.target] = item.count
            else:
                counts.pop(item.target, None)

    def remove_hub(self, vm: str) -> None:
        """Drop all data of a hub that is no longer alive."""
        self._remote.pop(vm, None)
        self._busy.pop(vm, None)
        self._sent_remote.pop(vm, None)

    def compute_totals(self) -> dict[str, int]:
        """Return the known number of outstanding requests of each target."""
        totals = self._sum_reported()
        for counts in self._busy.values():
            for target, count in counts.items():
                totals[target] = max(totals.get(target, 0), count)
        return totals

    def is_due(self, now: float) -> bool:
        """Return whether the next exchange with other hubs is due."""
        return now - self._exchanged_at >= EXCHANGE_INTERVAL_SECONDS

    def exchange(
        self, now: float, home_hubs: dict[str, str], slots: dict[str, int]
    ) -> LoadExchange:
        """Return the changed loads for each home hub, and the changes of busy targets.

        Parameters
        ----------
        now : float
            The time in seconds.
        home_hubs : dict of str to str
            The VM of the home hub of each target.
        slots : dict of str to int
            Slots of each target.
        """
        self._exchanged_at = now
        totals = {
            target: count
            for target, count in self._sum_reported().items()
            if home_hubs.get(target, self.vm) == self.vm
        }
        distant_busy = None
        if now - self._distant_exchanged_at >= DISTANT_INTERVAL_SECONDS:
            self._distant_exchanged_at = now
            distant_busy = self._distant_busy_targets.create_news(totals, slots)
        return LoadExchange(
            self._create_remote_loads(home_hubs),
            self._busy_targets.create_news(totals, slots),
            distant_busy,
        )

    def _sum_reported(self) -> dict[str, int]:
        """Return the load reported by local entries, and by other hubs to this home hub."""
        totals = dict(self._local)
        for counts in self._remote.values():
            for target, count in counts.items():
                totals[target] = totals.get(target, 0) + count
        return totals

    def _create_remote_loads(self, home_hubs: dict[str, str]) -> dict[str, HubLoad]:
        by_hub: dict[str, list[LoadItem]] = {vm: [] for vm in self._sent_remote}
        for target, count in sorted(self._local.items()):
            home = home_hubs.get(target, self.vm)
            if home != self.vm:
                by_hub.setdefault(home, []).append(LoadItem(target, count))
        loads = {}
        for vm, items in by_hub.items():
            if self._sent_remote.get(vm, ()) != tuple(items):
                self._sent_remote[vm] = tuple(items)
                loads[vm] = HubLoad(self.vm, tuple(items))
        return loads
