"""Registry of the targets that one process knows."""

from dataclasses import replace
from zlib import crc32

from ._messages import TargetEntry, TargetState

# Records of departed targets are kept, so that a heartbeat that a partition delayed does not add
# the target again; the delay is at most some tens of seconds.
DEPARTED_RETENTION_SECONDS = 120.0


class TargetRegistry:
    """Records of targets, merged from announcements and from other processes in any order.

    Notes
    -----
    A later incarnation of an identity replaces an earlier one, and so does a later incarnation
    at the same address. Within one incarnation the state of higher rank wins, so that draining
    and leaving are final, and within one state the higher sequence number. An expired target is
    ready again with a higher sequence number.

    A target that leaves announces no address. If it was unknown, its record has none until another
    record of the same incarnation adds it; the target stays departed. If it announces no start,
    either, it concerns the incarnation that is known, and nothing is stored without one.
    """

    def __init__(self):
        self._by_identity: dict[str, TargetEntry] = {}
        self._by_address: dict[str, str] = {}
        self._by_service: dict[str, tuple[TargetEntry, ...]] = {}
        self._left_at: dict[str, float] = {}
        self._warm_until: dict[str, float] = {}
        self._known_at: dict[str, float] = {}
        self._digest: int | None = None
        self._revision = 0

    @property
    def revision(self) -> int:
        """A number that grows with each change but that of a registrar alone.

        Who hears a target is of no use to entries, nor to a hub after its restart.
        """
        return self._revision

    @property
    def digest(self) -> int:
        """A checksum of the identity, incarnation, state, address and registrar of every target.

        Departed targets are left out: processes learn of a departure at different times, and
        would otherwise return the records to each other after the retention.
        """
        if self._digest is None:
            self._digest = 0
            for item in self._by_identity.values():
                if item.state == TargetState.LEFT:
                    continue
                text = f"{item.identity} {item.started} {item.state} {item.address}"
                text += f" {item.registrar}"
                self._digest ^= crc32(text.encode())
        return self._digest

    @property
    def count(self) -> int:
        """The number of targets, including departed ones."""
        return len(self._by_identity)

    def get(self, identity: str) -> TargetEntry | None:
        """Return the record of an identity, or None."""
        return self._by_identity.get(identity)

    def get_at(self, address: str) -> TargetEntry | None:
        """Return the record of an address, or None."""
        return self._by_identity.get(self._by_address.get(address, ""))

    def list_all(self) -> tuple[TargetEntry, ...]:
        """Return all targets, including departed ones."""
        return tuple(self._by_identity.values())

    def list_usable(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the targets of a service that may receive requests."""
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                item
                for item in self._by_identity.values()
                if item.service == service and item.is_usable
            )
            self._by_service[service] = found
        return found

    def is_warming(self, now: float, identity: str) -> bool:
        """Return whether a target is still in its warm-up."""
        return now < self._warm_until.get(identity, now)

    def get_known_at(self, identity: str) -> float:
        """Return since when the present incarnation of a target is known, in seconds."""
        return self._known_at.get(identity, float("inf"))

    def is_usable(self, target: TargetEntry) -> bool:
        """Return whether this incarnation of a target may receive new requests."""
        held = self._by_identity.get(target.identity)
        return held is not None and held.started == target.started and held.is_usable

    def merge(self, now: float, entry: TargetEntry) -> bool:
        """Merge a record and return whether its routing state or its registrar changed."""
        known = self._by_identity.get(entry.identity)
        if entry.is_unresolved:
            if known is None:
                return False
            entry = replace(entry, started=known.started)
        if known is not None:
            merged = _merge_entries(known, entry)
            if merged is known:
                return False
        else:
            merged = entry
        merged = self._resolve_address_conflict(now, merged)
        if known is not None and known.address != merged.address:
            self._release_address(known)
        self._by_identity[merged.identity] = merged
        if merged.state == TargetState.LEFT:
            self._left_at.setdefault(merged.identity, now)
        else:
            self._left_at.pop(merged.identity, None)
        if known is None or known.started != merged.started:
            # Only the first record of an incarnation sets the warm-up: later records that change
            # nothing else are not sent to every process.
            self._warm_until[merged.identity] = now + merged.warm_seconds
            self._known_at[merged.identity] = now
        is_same = known is not None and _get_routing_state(known) == _get_routing_state(merged)
        if is_same and known.registrar == merged.registrar:
            return False
        self._drop_derived()
        if not is_same:
            self._revision += 1
        return True

    def remove_departed(self, now: float) -> None:
        """Remove targets that left more than ``DEPARTED_RETENTION_SECONDS`` ago."""
        due = [name for name, at in self._left_at.items() if now - at > DEPARTED_RETENTION_SECONDS]
        for identity in due:
            del self._left_at[identity]
            entry = self._by_identity.pop(identity)
            self._warm_until.pop(identity, None)
            self._known_at.pop(identity, None)
            self._release_address(entry)
            self._drop_derived()
            self._revision += 1

    def _drop_derived(self) -> None:
        self._by_service.clear()
        self._digest = None

    def _release_address(self, entry: TargetEntry) -> None:
        if self._by_address.get(entry.address) == entry.identity:
            del self._by_address[entry.address]

    def _resolve_address_conflict(self, now: float, entry: TargetEntry) -> TargetEntry:
        """Mark the earlier of two incarnations at one address as left.

        Return ``entry``, or its copy marked as left if it is the earlier one.
        """
        if not entry.address:
            return entry
        other = self.get_at(entry.address)
        if other is None or other.identity == entry.identity or other.address != entry.address:
            self._by_address[entry.address] = entry.identity
            return entry
        if other.started <= entry.started:
            self._by_address[entry.address] = entry.identity
            self._by_identity[other.identity] = _mark_left(other)
            self._left_at.setdefault(other.identity, now)
            return entry
        return _mark_left(entry)


def _mark_left(entry: TargetEntry) -> TargetEntry:
    return replace(entry, state=TargetState.LEFT, warm_seconds=0.0, is_expired=False)


def _merge_entries(known: TargetEntry, entry: TargetEntry) -> TargetEntry:
    if entry.started != known.started:
        return entry if entry.started > known.started else known
    if not known.address and entry.address:
        return replace(entry, state=known.state, is_expired=known.is_expired)
    if entry.address and (entry.address, entry.service) != (known.address, known.service):
        # An incarnation never changes its address or service: this record has another source.
        return known
    if entry.precedence <= known.precedence:
        return known
    if entry.address:
        return entry
    # A target that announces only that it leaves omits its address and service.
    return replace(
        known, sequence=entry.sequence, state=entry.state, warm_seconds=0.0, is_expired=False
    )


def _get_routing_state(entry: TargetEntry) -> tuple:
    return (
        entry.started,
        entry.state,
        entry.address,
        entry.service,
        entry.data_centre,
        entry.slots,
        entry.is_expired,
    )
