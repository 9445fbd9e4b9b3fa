"""Entries that relay requests, as told by other hubs while an entry needs them."""

from ..relaying import RelayList, RelayRecord

# Interval at which the other hubs are asked, and age at which their lists are dropped.
QUERY_INTERVAL_SECONDS = 0.5
LIST_LIFETIME_SECONDS = 2.0
# Entries that a hub names to another one; together they are enough for all isolated entries.
MAXIMUM_NAMED_RELAYS = 8


class RelayDirectory:
    """Lists of relays by hub, kept only while an entry of this hub has no path to the targets."""

    def __init__(self):
        self._lists: dict[str, tuple[float, tuple[RelayRecord, ...]]] = {}
        self._queried_at = float("-inf")

    def record(self, now: float, message: RelayList) -> None:
        """Store the list of another hub."""
        self._lists[message.vm] = (now, message.relays)

    def is_query_due(self, now: float) -> bool:
        """Return whether the other hubs have to be asked, and count the query as sent."""
        if now - self._queried_at < QUERY_INTERVAL_SECONDS:
            return False
        self._queried_at = now
        return True

    def list_relays(self, now: float, own: tuple[RelayRecord, ...]) -> tuple[RelayRecord, ...]:
        """Return the relays of this hub and those of all hubs that answered of late."""
        relays = dict.fromkeys(own)
        for at, others in self._lists.values():
            if now - at < LIST_LIFETIME_SECONDS:
                relays.update(dict.fromkeys(others))
        return tuple(sorted(relays, key=lambda item: item.address))

    def clear(self) -> None:
        """Forget all lists, as no entry needs them."""
        self._lists.clear()
        self._queried_at = float("-inf")
