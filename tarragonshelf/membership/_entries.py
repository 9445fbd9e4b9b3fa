"""One entry's view of the entries of the fleet, with a failure detector."""

from dataclasses import replace

from ._messages import EntryRecord, EntryState
from ._rumors import RumorQueue, compute_record_digest

SUSPECT_AFTER_SECONDS = 1.5
FAIL_AFTER_SECONDS = 3.0
REMOVE_AFTER_SECONDS = 600.0


class EntryTable:
    """Entries by VM, with a failure detector; as in SWIM, an entry refutes suspicion of itself.

    Parameters
    ----------
    own : EntryRecord
        The record of the entry that holds the table.
    """

    def __init__(self, own: EntryRecord):
        self.own = own
        self.rumors = RumorQueue()
        self.digest = 0
        self._records: dict[str, EntryRecord] = {}
        self._alive: tuple[str, ...] | None = None
        self._not_alive: set[str] = set()
        self._changed_at: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}
        self._set_own(own)

    # Queries

    def list_records(self) -> tuple[EntryRecord, ...]:
        """Return all records, including this entry's own."""
        return tuple(self._records.values())

    def list_peers(self) -> list[EntryRecord]:
        """Return the other entries that have not failed."""
        usable = (EntryState.ALIVE, EntryState.SUSPECTED, EntryState.LEAVING)
        records = self._records.values()
        return [item for item in records if item.vm != self.own.vm and item.state in usable]

    def list_alive(self) -> tuple[str, ...]:
        """Return the VMs of entries that are neither suspected nor leaving, sorted.

        The same tuple object is returned until the set changes, so that callers can cache results
        that they compute from it.
        """
        if self._alive is None:
            records = self._records.values()
            alive = (item.vm for item in records if item.state == EntryState.ALIVE)
            self._alive = tuple(sorted(alive))
        return self._alive

    def list_not_alive(self) -> tuple[str, ...]:
        """Return the VMs of entries that are suspected, leaving or failed."""
        return tuple(self._not_alive)

    def get_record(self, vm: str) -> EntryRecord | None:
        """Return the record of a VM."""
        return self._records.get(vm)

    def is_trusted(self, vm: str) -> bool:
        """Return whether a VM is known and neither suspected nor failed."""
        record = self._records.get(vm)
        return record is not None and record.state in (EntryState.ALIVE, EntryState.LEAVING)

    def get_failed_seconds(self, vm: str, now: float) -> float:
        """Return for how many seconds a VM has been in state failed, or 0."""
        record = self._records.get(vm)
        if record is None or record.state != EntryState.FAILED:
            return 0.0
        return now - self._changed_at.get(vm, now)

    # Commands

    def merge(self, now: float, record: EntryRecord) -> bool:
        """Merge a record received by gossip and return whether it changed anything."""
        if record.vm == self.own.vm:
            self._refute(record)
            return False
        known = self._records.get(record.vm)
        if known is not None and record.rank <= known.rank:
            return False
        self._store(now, record)
        return True

    def leave(self) -> None:
        """Withdraw this entry for the rest of its incarnation, as it is stopping."""
        self._set_own(replace(self.own, state=EntryState.LEAVING, sequence=self.own.sequence + 1))

    def set_drained(self, drained: bool) -> None:
        """Withdraw this entry or return it to service, as the operator commanded."""
        state = EntryState.LEAVING if drained else EntryState.ALIVE
        if self.own.state != state:
            self._set_own(replace(self.own, state=state, sequence=self.own.sequence + 1))

    def set_isolated(self, isolated: bool) -> None:
        """Mark this entry as suspected while it is isolated, so that callers use other entries."""
        before, after = EntryState.ALIVE, EntryState.SUSPECTED
        if not isolated:
            before, after = after, before
        if self.own.state == before:
            self._set_own(replace(self.own, state=after, sequence=self.own.sequence + 1))

    def record_sent(self, now: float, vm: str) -> None:
        """Record that a message was sent to an entry, which must answer it."""
        self._unanswered_since.setdefault(vm, now)

    def record_received(self, vm: str) -> None:
        """Record that a message of an entry was received."""
        self._unanswered_since.pop(vm, None)

    def tick(self, now: float) -> None:
        """Advance entries from alive to suspected to failed, and remove long failed ones."""
        for vm, since in list(self._unanswered_since.items()):
            record = self._records.get(vm)
            if record is None or now - since < SUSPECT_AFTER_SECONDS:
                continue
            del self._unanswered_since[vm]
            if record.state == EntryState.ALIVE:
                self._store(now, replace(record, state=EntryState.SUSPECTED))
        for vm in self.list_not_alive():
            self._advance_state(now, self._records[vm])

    def _advance_state(self, now: float, record: EntryRecord) -> None:
        age = now - self._changed_at.get(record.vm, now)
        if record.state == EntryState.SUSPECTED and age >= FAIL_AFTER_SECONDS:
            self._store(now, replace(record, state=EntryState.FAILED))
        elif record.state == EntryState.LEAVING and record.vm != self.own.vm:
            self._fail_unresponsive_leaver(now, record)
        elif record.state == EntryState.FAILED and age >= REMOVE_AFTER_SECONDS:
            self._replace(record.vm, None)

    def _fail_unresponsive_leaver(self, now: float, record: EntryRecord) -> None:
        since = self._unanswered_since.get(record.vm)
        if since is not None and now - since >= FAIL_AFTER_SECONDS:
            self._store(now, replace(record, state=EntryState.FAILED))

    def _refute(self, record: EntryRecord) -> None:
        """Override a record of this entry that it did not create itself."""
        if record.rank <= self.own.rank:
            return
        incarnation = max(self.own.incarnation, record.incarnation)
        sequence = max(self.own.sequence, record.sequence) + 1
        self._set_own(replace(self.own, incarnation=incarnation, sequence=sequence))

    def _set_own(self, record: EntryRecord) -> None:
        self.own = record
        self._replace(record.vm, record)
        self.rumors.add(record.vm, record)

    def _store(self, now: float, record: EntryRecord) -> None:
        self._replace(record.vm, record)
        self._changed_at[record.vm] = now
        self.rumors.add(record.vm, record)

    def _replace(self, vm: str, record: EntryRecord | None) -> None:
        self._alive = None
        self._not_alive.discard(vm)
        known = self._records.pop(vm, None)
        if known is not None:
            self.digest ^= compute_record_digest(vm, known.rank)
        if record is not None:
            self.digest ^= compute_record_digest(vm, record.rank)
            self._records[vm] = record
            if record.state != EntryState.ALIVE:
                self._not_alive.add(vm)
