"""The entries that follow a hub."""

from dataclasses import dataclass, field

from ..avoidance import EvidenceItem, EvidenceNews
from ..base import Effect, Message
from ..relaying import RelayNews, RelayRecord
from ._messages import (
    EdgeNews,
    EdgeRecord,
    LoadItem,
    LoadNews,
    LoadReport,
    PushToSubscriber,
    Subscribe,
)

# Interval of load updates within a data centre, and across data centres, where traffic is
# expensive.
LOAD_INTERVAL_SECONDS = 0.05
REMOTE_LOAD_INTERVAL_SECONDS = 0.4
# Entries without a path to the targets are left out of the addresses of a data centre while at
# least this share of its entries has one. If fewer have, leaving out the others would send all
# callers to these few; the others relay instead, within what the few accept.
MINIMUM_CONNECTED_SHARE = 0.5


@dataclass(slots=True)
class Subscriber:
    """State of one entry that follows the hub."""

    record: Subscribe
    load: dict[str, int] = field(default_factory=dict)
    # Counts last sent to the entry by target, and targets whose count may have changed since.
    sent_counts: dict[str, int] = field(default_factory=dict)
    changed_targets: set[str] = field(default_factory=set)
    load_sent_at: float | None = None
    sent_edges: EdgeNews | None = None
    sent_relays: RelayNews | None = None


class Subscribers:
    """Entries that follow the hub, with their load and what was last sent to them.

    Parameters
    ----------
    data_centre : str
        Data centre of the hub.
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre
        self._items: dict[int, Subscriber] = {}
        self._lookups: set[int] = set()
        self._totals: dict[str, int] = {}

    @property
    def serving(self) -> tuple[EdgeRecord, ...]:
        """Entries that serve callers."""
        records = (item.record for item in self._items.values())
        return tuple(EdgeRecord(r.address, r.data_centre) for r in records if r.is_serving)

    @property
    def relays(self) -> tuple[RelayRecord, ...]:
        """Entries that serve callers, have a path to the targets, and relay requests."""
        records = (item.record for item in self._items.values())
        return tuple(
            RelayRecord(r.relay_address, r.data_centre)
            for r in records
            if r.is_serving and r.relay_address and not r.is_isolated
        )

    @property
    def has_isolated(self) -> bool:
        """Whether an entry has no path to the targets."""
        return any(item.record.is_isolated for item in self._items.values())

    @property
    def numbers(self) -> tuple[int, ...]:
        """Numbers of the connections of all subscribed entries."""
        return tuple(self._items)

    def get_vm(self, number: int) -> str:
        """Return the VM of an entry, or an empty string if the connection is unknown."""
        subscriber = self._items.get(number)
        return subscriber.record.vm if subscriber else ""

    def add_lookup(self, number: int) -> None:
        """Add an entry that only looks for the nearest hub, until it subscribes or disconnects."""
        self._lookups.add(number)

    def put(self, number: int, record: Subscribe) -> bool:
        """Add or update an entry and return whether the addresses for callers changed."""
        before = self._list_addresses_for_callers()
        self._lookups.discard(number)
        stale = [key for key, item in self._items.items() if item.record.vm == record.vm]
        for key in stale:
            if key != number:
                del self._items[key]
        if number in self._items:
            self._items[number].record = record
        else:
            self._items[number] = Subscriber(record, changed_targets=set(self._totals))
        return self._list_addresses_for_callers() != before

    def remove(self, number: int) -> bool:
        """Remove an entry and return whether the addresses for callers changed."""
        before = self._list_addresses_for_callers()
        self._items.pop(number, None)
        self._lookups.discard(number)
        return self._list_addresses_for_callers() != before

    def push_all(
        self, message: Message, *, excluded: int = 0, lookups: bool = False
    ) -> list[Effect]:
        """Return the effects that send a message to all entries.

        Parameters
        ----------
        message : Message
            The message.
        excluded : int, optional
            Number of a connection to leave out.
        lookups : bool, optional
            Whether entries that only look for the nearest hub receive it, too.
        """
        numbers = [*self._items, *self._lookups] if lookups else self._items
        return [PushToSubscriber(number, message) for number in numbers if number != excluded]

    def push_evidence(self, items: tuple[EvidenceItem, ...]) -> list[Effect]:
        """Return the effects that send each entry the evidence of all other entries."""
        news = EvidenceNews(items)
        sources = {item.source for item in items}
        effects: list[Effect] = []
        for number, subscriber in self._items.items():
            vm = subscriber.record.vm
            if vm not in sources:
                effects.append(PushToSubscriber(number, news))
            elif others := tuple(item for item in items if item.source != vm):
                effects.append(PushToSubscriber(number, EvidenceNews(others)))
        return effects

    def push_edges(self, total: int) -> list[Effect]:
        """Return the effects that send entries a changed list of entries in their data centre."""
        by_data_centre = {
            data_centre: EdgeNews(edges, total)
            for data_centre, edges in self._list_addresses_for_callers().items()
        }
        effects: list[Effect] = []
        for number, item in self._items.items():
            news = by_data_centre.get(item.record.data_centre, EdgeNews((), total))
            if news != item.sent_edges:
                item.sent_edges = news
                effects.append(PushToSubscriber(number, news))
        return effects

    def push_relays(self, relays: tuple[RelayRecord, ...]) -> list[Effect]:
        """Return the effects that send a changed list of relays to entries without a path."""
        news = RelayNews(relays)
        effects: list[Effect] = []
        for number, item in self._items.items():
            if not item.record.is_isolated:
                item.sent_relays = None
            elif news != item.sent_relays:
                item.sent_relays = news
                effects.append(PushToSubscriber(number, news))
        return effects

    def _list_addresses_for_callers(self) -> dict[str, tuple[EdgeRecord, ...]]:
        """Return the entries that callers should use, by data centre."""
        serving: dict[str, list[EdgeRecord]] = {}
        connected: dict[str, list[EdgeRecord]] = {}
        for record in (item.record for item in self._items.values()):
            if record.is_serving:
                edge = EdgeRecord(record.address, record.data_centre)
                serving.setdefault(record.data_centre, []).append(edge)
                if not record.is_isolated:
                    connected.setdefault(record.data_centre, []).append(edge)
        return {
            name: tuple(
                connected[name]
                if len(connected.get(name, ())) >= MINIMUM_CONNECTED_SHARE * len(edges)
                else edges
            )
            for name, edges in serving.items()
        }

    def record_load(self, number: int, report: LoadReport) -> None:
        """Record the outstanding requests of an entry at targets."""
        subscriber = self._items.get(number)
        if subscriber is not None:
            subscriber.changed_targets.update(subscriber.load)
            subscriber.load = {item.target: item.count for item in report.items}
            subscriber.changed_targets.update(subscriber.load)

    def compute_load(self) -> dict[str, int]:
        """Return the outstanding requests of all entries by target."""
        totals: dict[str, int] = {}
        for item in self._items.values():
            for target, count in item.load.items():
                totals[target] = totals.get(target, 0) + count
        return totals

    def push_load(self, now: float, totals: dict[str, int]) -> list[Effect]:
        """Return the effects that send each entry the changed load of all others on targets.

        Entries in other data centres receive it less often.
        """
        previous = self._totals
        changed_targets = {
            target
            for target in totals.keys() | previous.keys()
            if totals.get(target, 0) != previous.get(target, 0)
        }
        self._totals = totals
        effects: list[Effect] = []
        for number, item in self._items.items():
            item.changed_targets |= changed_targets
            is_near = item.record.data_centre == self.data_centre
            interval = LOAD_INTERVAL_SECONDS if is_near else REMOTE_LOAD_INTERVAL_SECONDS
            if item.load_sent_at is not None and now - item.load_sent_at < interval:
                continue
            if (news := _pop_load_news(item, totals)) is not None:
                item.load_sent_at = now
                effects.append(PushToSubscriber(number, news))
        return effects


def _pop_load_news(subscriber: Subscriber, totals: dict[str, int]) -> LoadNews | None:
    """Return the changed counts that an entry has not received yet, or None without changes."""
    items = []
    for target in sorted(subscriber.changed_targets):
        count = max(0, totals.get(target, 0) - subscriber.load.get(target, 0))
        if count != subscriber.sent_counts.get(target, 0):
            subscriber.sent_counts[target] = count
            items.append(LoadItem(target, count))
        if not count:
            subscriber.sent_counts.pop(target, None)
    subscriber.changed_targets.clear()
    if subscriber.load_sent_at is None:
        # The entry may still hold counts of another hub, which this message replaces.
        return LoadNews(tuple(items), is_whole=True)
    return LoadNews(tuple(items)) if items else None
