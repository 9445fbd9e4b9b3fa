"""Selection of the entry addresses that a caller uses."""

from ..configuration import Document
from ..membership import EntryRecord, EntryState
from ..utils import rank_by_rendezvous


class EntryAddressSelector:
    """Selects entries for callers: usable ones first, then near ones, distributed evenly."""

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
        """Return addresses, best first; empty only if ``records`` is empty.

        Parameters
        ----------
        caller, data_centre : str
            Name of the caller, and the data centre where it is.
        records : tuple of EntryRecord
            All known entries.
        avoided : frozenset of str
            VMs of entries that work badly. Their addresses are returned only if no other entry
            is alive.
        """
        by_vm = {record.vm: record for record in records}
        ranks = {vm: rank for rank, vm in enumerate(rank_by_rendezvous(caller, by_vm))}
        region = self.document.find_region(data_centre)

        def sort_key(record: EntryRecord) -> tuple[int, int, int]:
            penalty = _STATE_PENALTIES[record.state] + (record.vm in avoided)
            return (penalty, self._measure_distance(record, data_centre, region), ranks[record.vm])

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


_STATE_PENALTIES = {
    EntryState.ALIVE: 0,
    EntryState.SUSPECTED: 2,
    EntryState.LEAVING: 4,
    EntryState.FAILED: 6,
}
