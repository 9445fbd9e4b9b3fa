"""One entry's view of the targets."""

from dataclasses import replace
from hashlib import blake2b

from ._entries import EntryTable
from ._messages import Announcement, TargetRecord, TargetState
from ._rumors import RumorQueue, compute_record_digest

LEASE_SECONDS = 3.0
REMOVE_AFTER_SECONDS = 300.0
REMOVAL_SCAN_SECONDS = 30.0
BUCKET_COUNT = 16


class TargetTable:
    """Targets by address, with a lease for each target that announces itself to this entry.

    The entries that receive a target's announcements are its registrars. Renewals of a lease are
    not gossiped, only changes of state.

    Notes
    -----
    When a lease expires at one registrar, the fault may be in the link of that registrar. It
    therefore only resigns as a registrar of the target. The target becomes ``SILENT`` once no
    trusted registrar remains.
    """

    def __init__(self, name: str):
        self.name = name
        self.rumors = RumorQueue()
        self._records: dict[str, TargetRecord] = {}
        self._leases: dict[str, tuple[float, Announcement]] = {}
        self._ready: dict[str, dict[str, TargetRecord]] = {}
        self._ready_sorted: dict[str, list[TargetRecord]] = {}
        self._by_registrar: dict[str, set[str]] = {}
        self._removal_scan_at = float("-inf")
        self._changed_at: dict[str, float] = {}
        self._digests = [0] * BUCKET_COUNT

    # Queries

    @property
    def count(self) -> int:
        """Number of targets, departed ones included."""
        return len(self._records)

    def list_records(self) -> tuple[TargetRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def list_ready(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that accept new requests, sorted by address.

        The list is cached and shared: callers must not modify it.
        """
        if service not in self._ready_sorted:
            ready = self._ready.get(service, {})
            self._ready_sorted[service] = [ready[address] for address in sorted(ready)]
        return self._ready_sorted[service]

    def get_record(self, address: str) -> TargetRecord | None:
        """Return the record of an address, or None if it is unknown."""
        return self._records.get(address)

    def get_changed_at(self, address: str) -> float:
        """Return when the record of an address last changed, in seconds on the entry's clock."""
        return self._changed_at.get(address, float("-inf"))

    def list_bucket_digests(self) -> tuple[int, ...]:
        """Return a digest of each bucket of records."""
        return tuple(self._digests)

    def list_bucket_records(self, number: int) -> tuple[TargetRecord, ...]:
        """Return the records of one bucket."""
        records = self._records.values()
        return tuple(item for item in records if _compute_bucket(item.address) == number)

    # Commands

    def announce(self, now: float, announcement: Announcement) -> bool:
        """Renew a target's lease and return whether its record changed and must be gossiped."""
        lease = self._leases.get(announcement.address)
        if lease is not None and _get_version(lease[1]) >= _get_version(announcement):
            return False
        self._leases[announcement.address] = (now, announcement)
        record = _create_record(announcement)
        current = self._records.get(announcement.address)
        if current is not None and record.rank <= current.rank:
            return False
        if current is not None and _is_equal_except_sequence(current, record):
            return False
        self._store(now, record)
        return True

    def merge(self, now: float, record: TargetRecord) -> bool:
        """Merge a record received by gossip and return whether it changed anything."""
        current = self._records.get(record.address)
        if current is not None and record.rank <= current.rank:
            return self._merge_resignations(now, current, record)
        lease = self._leases.get(record.address)
        if lease is not None:
            own = _create_record(lease[1])
            if own.rank > record.rank:
                is_change = current is None or not _is_equal_except_sequence(current, own)
                if is_change or record.state == TargetState.SILENT:
                    self._store(now, own)
                return False
        elif self.name in record.registrars and record.state == TargetState.READY:
            self._leases[record.address] = (now, _create_announcement(record))
        self._store(now, record)
        return True

    def tick(self, now: float, entries: EntryTable) -> list[TargetRecord]:
        """End leases that were not renewed, and return the records that this changed."""
        changed = []
        for address, (renewed_at, announcement) in list(self._leases.items()):
            if now - renewed_at >= LEASE_SECONDS:
                del self._leases[address]
                changed += self._resign_as_registrar(now, address, announcement.sequence, entries)
        changed += self._mark_orphans_silent(now, entries)
        if now - self._removal_scan_at >= REMOVAL_SCAN_SECONDS:
            self._removal_scan_at = now
            self._remove_ended(now)
        return changed

    def _mark_orphans_silent(self, now: float, entries: EntryTable) -> list[TargetRecord]:
        changed = []
        for vm in entries.list_not_alive():
            for address in list(self._by_registrar.get(vm, ())):
                record = self._records[address]
                if address not in self._leases and _is_orphaned(now, record, entries):
                    changed += self._mark_silent(now, record, record.sequence)
        return changed

    def _remove_ended(self, now: float) -> None:
        for record in list(self._records.values()):
            if record.state in (TargetState.SILENT, TargetState.LEAVING):
                self._remove_if_expired(now, record)

    def _resign_as_registrar(
        self, now: float, address: str, sequence: int, entries: EntryTable
    ) -> list[TargetRecord]:
        """Resign as a registrar of a target, or mark it silent if no other trusted one remains."""
        record = self._records.get(address)
        if record is None:
            return []
        remaining = tuple(vm for vm in record.registrars if vm != self.name)
        if not any(entries.is_trusted(vm) for vm in remaining):
            return self._mark_silent(now, record, sequence)
        self._store(
            now, replace(record, registrars=remaining, sequence=max(sequence, record.sequence))
        )
        return [self._records[address]]

    def _merge_resignations(self, now: float, current: TargetRecord, record: TargetRecord) -> bool:
        """Remove the registrars that resigned in either of two records of the same rank."""
        remaining = tuple(vm for vm in current.registrars if vm in record.registrars)
        if record.rank != current.rank or remaining == current.registrars:
            return False
        if remaining or current.state != TargetState.READY:
            self._store(now, replace(current, registrars=remaining))
        else:
            self._mark_silent(now, current, current.sequence)
        return True

    def _mark_silent(self, now: float, record: TargetRecord, sequence: int) -> list[TargetRecord]:
        if record.state not in (TargetState.READY, TargetState.STARTING):
            return []
        sequence = max(sequence, record.sequence)
        self._store(now, replace(record, state=TargetState.SILENT, sequence=sequence))
        return [self._records[record.address]]

    def _remove_if_expired(self, now: float, record: TargetRecord) -> None:
        if now - self._changed_at[record.address] >= REMOVE_AFTER_SECONDS:
            self._update_digest(record)
            self._index(record, None)
            del self._records[record.address]
            del self._changed_at[record.address]

    def _store(self, now: float, record: TargetRecord) -> None:
        known = self._records.get(record.address)
        if known is not None:
            self._update_digest(known)
        self._update_digest(record)
        self._index(known, record)
        self._records[record.address] = record
        self._changed_at[record.address] = now
        self.rumors.add(record.address, record)

    def _index(self, known: TargetRecord | None, record: TargetRecord | None) -> None:
        """Update the indexes: targets by registrar, and ready targets by service."""
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
        # The same exclusive or adds a record to its bucket's digest and removes it.
        value = compute_record_digest(record.address, record.rank)
        self._digests[_compute_bucket(record.address)] ^= value


def _is_orphaned(now: float, record: TargetRecord, entries: EntryTable) -> bool:
    """Return whether no registrar can renew a target's lease any more.

    If only one registrar remains, it is enough that this one is not trusted. If several fail at
    once, their targets get the duration of a lease to announce themselves to other registrars.
    """
    if not record.registrars:
        return False
    if len(record.registrars) == 1:
        return not entries.is_trusted(record.registrars[0])
    failed = (entries.get_failed_seconds(vm, now) for vm in record.registrars)
    return all(seconds >= LEASE_SECONDS for seconds in failed)


def _compute_bucket(address: str) -> int:
    return blake2b(address.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _get_version(announcement: Announcement) -> tuple[int, int]:
    return (announcement.incarnation, announcement.sequence)


def _is_equal_except_sequence(first: TargetRecord, second: TargetRecord) -> bool:
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
