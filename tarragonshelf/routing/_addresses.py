"""The entry addresses that a caller is told to use."""

from ..configuration import Document
from ..membership import EntryRecord, EntryState
from ..utils import rank_by_rendezvous


class EntryAddressSelector:
    """Chooses entries for callers: near first, spread evenly, usable ones before others."""

    def __init__(self, document: Document):
        self.document = document

    def choose(
        self,
        *,
        caller: str,
        data_centre: str,
        records: tuple[EntryRecord, ...],
        avoided: frozenset[str] = frozenset(),
    ) -> tuple[str, ...]:
        """Return addresses, best first; never none as long as a record is known.

        Parameters
        ----------
        caller, data_centre : str
            Who asks, and where that caller is.
        records : tuple of EntryRecord
            All entries that are known.
        avoided : frozenset of str
            VMs that work badly, to be named only if nothing better is known.
        """
        by_vm = {record.vm: record for record in records}
        order = {vm: place for place, vm in enumerate(rank_by_rendezvous(caller, by_vm))}
        region = self.document.find_region(data_centre)

        def sort_key(record: EntryRecord) -> tuple[int, int, int]:
            trouble = _TROUBLE[record.state] + (record.vm in avoided)
            return (trouble, self._measure_distance(record, data_centre, region), order[record.vm])

        ranked = sorted(records, key=sort_key)
        usable = [
            item for item in ranked if item.state == EntryState.ALIVE and item.vm not in avoided
        ]
        chosen = (usable or ranked)[: self.document.addresses_per_caller]
        return tuple(record.http for record in chosen)

    def _measure_distance(self, record: EntryRecord, data_centre: str, region: str) -> int:
        if record.data_centre == data_centre:
            return 0
        return 1 if self.document.find_region(record.data_centre) == region else 2


_TROUBLE = {
    EntryState.ALIVE: 0,
    EntryState.SUSPECTED: 2,
    EntryState.LEAVING: 4,
    EntryState.FAILED: 6,
}
