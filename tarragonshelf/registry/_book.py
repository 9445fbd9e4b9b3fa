"""All targets that one process knows."""

from zlib import crc32

from ._messages import TargetEntry, TargetState

# A target that left is remembered so long, so that a heartbeat held up by a partition does not
# bring it back; a heartbeat is held up for at most some tens of seconds.
MEMORY_SECONDS = 120.0


class TargetRegistry:
    """Merges what targets and other processes say, in any order.

    Notes
    -----
    A later incarnation of an identity replaces an earlier one, and so does a later incarnation
    at the same address. Within one incarnation draining and leaving are final; besides, the
    higher sequence number wins.
    """

    def __init__(self):
        self._by_identity: dict[str, TargetEntry] = {}
        self._by_address: dict[str, str] = {}
        self._by_service: dict[str, tuple[TargetEntry, ...]] = {}
        self._left_at: dict[str, float] = {}
        self._warm_at: dict[str, float] = {}
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """A checksum over what decides where requests go."""
        if self._digest is None:
            self._digest = 0
            for item in self._by_identity.values():
                text = f"{item.identity} {item.started} {item.state} {item.address}"
                self._digest ^= crc32(text.encode())
        return self._digest

    def get(self, identity: str) -> TargetEntry | None:
        """Return what is known of an identity."""
        return self._by_identity.get(identity)

    def list_all(self) -> tuple[TargetEntry, ...]:
        """Return all targets, also those that left."""
        return tuple(self._by_identity.values())

    def list_usable(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the targets of a service that may get requests."""
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
        """Tell whether a target is still slow after its start."""
        return now < self._warm_at.get(identity, now)

    def merge(self, now: float, entry: TargetEntry) -> bool:
        """Take an entry in and tell whether anything that matters changed."""
        held = self._by_identity.get(entry.identity)
        if held is not None:
            merged = _merge_entries(held, entry)
            if merged is held:
                return False
        else:
            merged = entry
        merged = self._settle_address(now, merged)
        self._by_identity[merged.identity] = merged
        if merged.state == TargetState.LEFT:
            self._left_at.setdefault(merged.identity, now)
        else:
            self._left_at.pop(merged.identity, None)
        if held is None or held.started != merged.started:
            # Only what it said first counts, as its later words do not reach every process.
            self._warm_at[merged.identity] = now + merged.warm_seconds
        if held is not None and _describe_standing(held) == _describe_standing(merged):
            return False
        self._by_service.clear()
        self._digest = None
        return True

    def remove_departed(self, now: float) -> None:
        """Drop targets that left long ago."""
        due = [name for name, at in self._left_at.items() if now - at > MEMORY_SECONDS]
        for identity in due:
            del self._left_at[identity]
            entry = self._by_identity.pop(identity)
            self._warm_at.pop(identity, None)
            if self._by_address.get(entry.address) == identity:
                del self._by_address[entry.address]
            self._by_service.clear()
            self._digest = None

    def _settle_address(self, now: float, entry: TargetEntry) -> TargetEntry:
        """Let the later of two incarnations at one address be the one that is there."""
        if not entry.address:
            return entry
        other = self._by_identity.get(self._by_address.get(entry.address, ""))
        if other is None or other.identity == entry.identity or other.address != entry.address:
            self._by_address[entry.address] = entry.identity
            return entry
        if other.started <= entry.started:
            self._by_address[entry.address] = entry.identity
            self._by_identity[other.identity] = _leave(other)
            self._left_at.setdefault(other.identity, now)
            return entry
        return _leave(entry)


def _leave(entry: TargetEntry) -> TargetEntry:
    return TargetEntry(
        entry.identity,
        entry.started,
        entry.sequence,
        TargetState.LEFT,
        entry.address,
        entry.service,
        entry.data_centre,
        entry.slots,
        registrar=entry.registrar,
    )


def _merge_entries(held: TargetEntry, entry: TargetEntry) -> TargetEntry:
    if entry.started != held.started:
        return entry if entry.started > held.started else held
    if entry.address and (entry.address, entry.service) != (held.address, held.service):
        # One incarnation keeps its address and service, so this is the word of another writer.
        return held
    order = (entry.state.rank, entry.sequence)
    if order <= (held.state.rank, held.sequence):
        return held
    if entry.address:
        return entry
    # Who only says that it leaves tells neither address nor service again.
    return TargetEntry(
        held.identity,
        held.started,
        entry.sequence,
        entry.state,
        held.address,
        held.service,
        held.data_centre,
        held.slots,
        registrar=held.registrar,
    )


def _describe_standing(entry: TargetEntry) -> tuple:
    return (
        entry.started,
        entry.state,
        entry.address,
        entry.service,
        entry.data_centre,
        entry.slots,
        entry.registrar,
    )
