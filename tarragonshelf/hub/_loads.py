"""What targets hold, over all entries of a site, told where it matters.

Load on a target is known exactly at its home: the hub nearest to it. Other hubs only learn that
it is busy, as every byte between data centres is dear and most targets are not busy.
"""

from ._messages import HubBusy, HubLoad, LoadItem

# Hubs tell each other at most so often.
EXCHANGE_SECONDS = 0.12
# A busy target's count is told anew when it moved by so many slots.
STEP_SLOTS = 0.67


class LoadBook:
    """Sums what entries hold at targets.

    Parameters
    ----------
    vm : str
        The VM of this hub.
    """

    def __init__(self, vm: str):
        self.vm = vm
        self._own: dict[str, int] = {}
        self._away: dict[str, dict[str, int]] = {}
        self._busy: dict[str, dict[str, int]] = {}
        self._told_away: dict[str, tuple[LoadItem, ...]] = {}
        self._told_busy: dict[str, int] = {}
        self._exchanged_at = 0.0

    def set_own(self, totals: dict[str, int]) -> None:
        """Take in what the entries that follow this hub hold."""
        self._own = totals

    def record_away(self, load: HubLoad) -> None:
        """Take in what entries of another hub hold at targets whose home is here."""
        self._away[load.vm] = {item.target: item.count for item in load.items}

    def record_busy(self, busy: HubBusy) -> None:
        """Take in which targets of another home are busy."""
        held = self._busy.setdefault(busy.vm, {})
        for item in busy.items:
            if item.count:
                held[item.target] = item.count
            else:
                held.pop(item.target, None)

    def forget_hub(self, vm: str) -> None:
        """Drop what a hub said that is no longer heard."""
        self._away.pop(vm, None)
        self._busy.pop(vm, None)
        self._told_away.pop(vm, None)

    def compute_totals(self) -> dict[str, int]:
        """Return what each target is known to hold."""
        totals = self._sum_reported()
        for counts in self._busy.values():
            for target, count in counts.items():
                totals[target] = max(totals.get(target, 0), count)
        return totals

    def is_due(self, now: float) -> bool:
        """Tell whether other hubs may be told news."""
        return now - self._exchanged_at >= EXCHANGE_SECONDS

    def exchange(
        self, now: float, homes: dict[str, str], slots: dict[str, int]
    ) -> tuple[dict[str, HubLoad], HubBusy | None]:
        """Return the news for other hubs by VM, and the news for all of them.

        Parameters
        ----------
        homes : dict of str to str
            The VM of the home hub of each target.
        slots : dict of str to int
            Slots of each target.
        """
        self._exchanged_at = now
        return self._list_away(homes), self._list_busy(homes, slots)

    def _sum_reported(self) -> dict[str, int]:
        """Return what entries hold by their own reports, here and at other hubs."""
        totals = dict(self._own)
        for counts in self._away.values():
            for target, count in counts.items():
                totals[target] = totals.get(target, 0) + count
        return totals

    def _list_away(self, homes: dict[str, str]) -> dict[str, HubLoad]:
        by_hub: dict[str, list[LoadItem]] = {vm: [] for vm in self._told_away}
        for target, count in sorted(self._own.items()):
            home = homes.get(target, self.vm)
            if home != self.vm:
                by_hub.setdefault(home, []).append(LoadItem(target, count))
        news = {}
        for vm, items in by_hub.items():
            if self._told_away.get(vm, ()) != tuple(items):
                self._told_away[vm] = tuple(items)
                news[vm] = HubLoad(self.vm, tuple(items))
        return news

    def _list_busy(self, homes: dict[str, str], slots: dict[str, int]) -> HubBusy | None:
        totals = self._sum_reported()
        items = []
        for target in {*totals, *self._told_busy}:
            if homes.get(target, self.vm) != self.vm:
                continue
            room = slots.get(target, 1)
            count = totals.get(target, 0)
            told = self._told_busy.get(target, 0)
            # Hysteresis: busy from one more than the slots, and no longer with one slot free.
            busy = count if count > room or (told and count >= room) else 0
            if busy != told and (not busy or not told or abs(busy - told) >= STEP_SLOTS * room):
                items.append(LoadItem(target, busy))
                if busy:
                    self._told_busy[target] = busy
                else:
                    del self._told_busy[target]
        return HubBusy(self.vm, tuple(items)) if items else None
