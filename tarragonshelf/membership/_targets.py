"""The targets, as one entry knows them."""

from dataclasses import replace
from hashlib import blake2b

from ._entries import EntryTable
from ._messages import Announcement, TargetRecord, TargetState
from ._rumors import RumorQueue, compute_record_digest

LEASE_SECONDS = 3.0
FORGET_SECONDS = 300.0
FORGET_SCAN_SECONDS = 30.0
BUCKETS = 16


class TargetTable:
    """Targets by address, with a lease for those that announce themselves here.

    Renewals of a lease stay with the target's registrars; only changes of state travel.

    Notes
    -----
    A registrar whose lease ran out may be the one that is cut off. It resigns from the record,
    and only when no registrar is left that could still hear the target does it fall silent.
    """

    def __init__(self, name: str):
        self.name = name
        self.rumors = RumorQueue()
        self._records: dict[str, TargetRecord] = {}
        self._renewed: dict[str, tuple[float, Announcement]] = {}
        self._ready: dict[str, dict[str, TargetRecord]] = {}
        self._ready_sorted: dict[str, list[TargetRecord]] = {}
        self._by_registrar: dict[str, set[str]] = {}
        self._forgotten_at = float("-inf")
        self._changed_at: dict[str, float] = {}
        self._digests = [0] * BUCKETS

    # Queries

    def list_records(self) -> tuple[TargetRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def list_ready(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that take new work, sorted by address.

        The list is shared until it changes: callers must not change it.
        """
        if service not in self._ready_sorted:
            ready = self._ready.get(service, {})
            self._ready_sorted[service] = [ready[address] for address in sorted(ready)]
        return self._ready_sorted[service]

    def get_record(self, address: str) -> TargetRecord | None:
        """Return the record of an address."""
        return self._records.get(address)

    def get_changed_at(self, address: str) -> float:
        """Return when an address last changed its state, in seconds of the entry's clock."""
        return self._changed_at.get(address, float("-inf"))

    def list_buckets(self) -> tuple[int, ...]:
        """Return a digest of each bucket of records."""
        return tuple(self._digests)

    def list_bucket(self, number: int) -> tuple[TargetRecord, ...]:
        """Return the records of one bucket."""
        records = self._records.values()
        return tuple(item for item in records if _find_bucket(item.address) == number)

    # Commands

    def announce(self, now: float, announcement: Announcement) -> bool:
        """Renew a target's lease and return whether the fleet is to be told of a change."""
        known = self._renewed.get(announcement.address)
        if known is not None and _get_order(known[1]) >= _get_order(announcement):
            return False
        self._renewed[announcement.address] = (now, announcement)
        record = _create_record(announcement)
        current = self._records.get(announcement.address)
        if current is not None and record.rank <= current.rank:
            return False
        if current is not None and _is_same_but_sequence(current, record):
            return False
        self._put(now, record)
        return True

    def merge(self, now: float, record: TargetRecord) -> bool:
        """Take a record of another entry in and return whether it changed anything."""
        current = self._records.get(record.address)
        if current is not None and record.rank <= current.rank:
            return self._join_resignations(now, current, record)
        renewed = self._renewed.get(record.address)
        if renewed is not None:
            own = _create_record(renewed[1])
            if own.rank > record.rank:
                is_change = current is None or not _is_same_but_sequence(current, own)
                if is_change or record.state == TargetState.SILENT:
                    self._put(now, own)
                return False
        elif self.name in record.registrars and record.state == TargetState.READY:
            self._renewed[record.address] = (now, _create_announcement(record))
        self._put(now, record)
        return True

    def tick(self, now: float, entries: EntryTable) -> list[TargetRecord]:
        """End leases that were not renewed and return the records that changed by it."""
        changed = []
        for address, (renewed_at, announcement) in list(self._renewed.items()):
            if now - renewed_at >= LEASE_SECONDS:
                del self._renewed[address]
                changed += self._resign(now, address, announcement.sequence, entries)
        changed += self._silence_orphans(now, entries)
        if now - self._forgotten_at >= FORGET_SCAN_SECONDS:
            self._forgotten_at = now
            self._forget_ended(now)
        return changed

    def _silence_orphans(self, now: float, entries: EntryTable) -> list[TargetRecord]:
        changed = []
        for vm in entries.list_unsettled():
            for address in list(self._by_registrar.get(vm, ())):
                record = self._records[address]
                if address not in self._renewed and _is_orphaned(now, record, entries):
                    changed += self._silence(now, record, record.sequence)
        return changed

    def _forget_ended(self, now: float) -> None:
        for record in list(self._records.values()):
            if record.state in (TargetState.SILENT, TargetState.LEAVING):
                self._forget(now, record)

    def _resign(
        self, now: float, address: str, sequence: int, entries: EntryTable
    ) -> list[TargetRecord]:
        """Leave a target to its other registrars, or call it silent if none is left."""
        record = self._records.get(address)
        if record is None:
            return []
        left = tuple(vm for vm in record.registrars if vm != self.name)
        if not any(entries.is_trusted(vm) for vm in left):
            return self._silence(now, record, sequence)
        self._put(now, replace(record, registrars=left, sequence=max(sequence, record.sequence)))
        return [self._records[address]]

    def _join_resignations(self, now: float, current: TargetRecord, record: TargetRecord) -> bool:
        """Keep as registrars only those that neither of two like records has lost."""
        left = tuple(vm for vm in current.registrars if vm in record.registrars)
        if record.rank != current.rank or left == current.registrars:
            return False
        if left or current.state != TargetState.READY:
            self._put(now, replace(current, registrars=left))
        else:
            self._silence(now, current, current.sequence)
        return True

    def _silence(self, now: float, record: TargetRecord, sequence: int) -> list[TargetRecord]:
        if record.state not in (TargetState.READY, TargetState.STARTING):
            return []
        sequence = max(sequence, record.sequence)
        self._put(now, replace(record, state=TargetState.SILENT, sequence=sequence))
        return [self._records[record.address]]

    def _forget(self, now: float, record: TargetRecord) -> None:
        if now - self._changed_at[record.address] >= FORGET_SECONDS:
            self._update_digest(record)
            self._index(record, None)
            del self._records[record.address]
            del self._changed_at[record.address]

    def _put(self, now: float, record: TargetRecord) -> None:
        known = self._records.get(record.address)
        if known is not None:
            self._update_digest(known)
        self._update_digest(record)
        self._index(known, record)
        self._records[record.address] = record
        self._changed_at[record.address] = now
        self.rumors.add(record.address, record)

    def _index(self, known: TargetRecord | None, record: TargetRecord | None) -> None:
        """Keep targets by registrar, and the ready ones by service, for quick access."""
        for vm in known.registrars if known is not None else ():
            self._by_registrar[vm].discard(known.address)
        for vm in record.registrars if record is not None else ():
            self._by_registrar.setdefault(vm, set()).add(record.address)
        if known is not None:
            self._ready.get(known.service, {}).pop(known.address, None)
            self._ready_sorted.pop(known.service, None)
        if record is not None and record.state == TargetState.READY:
            self._ready.setdefault(record.service, {})[record.address] = record
            self._ready_sorted.pop(record.service, None)

    def _update_digest(self, record: TargetRecord) -> None:
        # An exclusive or adds a record to its bucket's digest and takes it out again.
        value = compute_record_digest(record.address, record.rank)
        self._digests[_find_bucket(record.address)] ^= value


def _is_orphaned(now: float, record: TargetRecord, entries: EntryTable) -> bool:
    """Tell whether no registrar can renew a target's lease any more.

    After one registrar resigned, doubt about the other is enough. If several are lost at once,
    their targets get the time of a lease to find others.
    """
    if not record.registrars:
        return False
    if len(record.registrars) == 1:
        return not entries.is_trusted(record.registrars[0])
    failed = (entries.has_failed_since(vm, now) for vm in record.registrars)
    return all(seconds >= LEASE_SECONDS for seconds in failed)


def _find_bucket(address: str) -> int:
    return blake2b(address.encode(), digest_size=1).digest()[0] % BUCKETS


def _get_order(announcement: Announcement) -> tuple[int, int]:
    return (announcement.incarnation, announcement.sequence)


def _is_same_but_sequence(first: TargetRecord, second: TargetRecord) -> bool:
    return replace(first, sequence=0) == replace(second, sequence=0)


def _create_record(announcement: Announcement) -> TargetRecord:
    return TargetRecord(
        announcement.service,
        announcement.address,
        announcement.data_centre,
        announcement.slots,
        announcement.state,
        announcement.incarnation,
        announcement.sequence,
        announcement.registrars,
    )


def _create_announcement(record: TargetRecord) -> Announcement:
    return Announcement(
        record.service,
        record.address,
        record.data_centre,
        record.slots,
        record.state,
        record.incarnation,
        record.sequence,
        record.registrars,
    )
