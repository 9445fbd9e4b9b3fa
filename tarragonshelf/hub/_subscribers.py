"""The entries that follow a hub."""

from dataclasses import dataclass, field

from ..avoidance import EvidenceItem, EvidenceNews
from ..base import Effect, Message
from ._messages import (
    EdgeNews,
    EdgeRecord,
    LoadItem,
    LoadNews,
    LoadReport,
    PushToSubscriber,
    Subscribe,
)

# Load is told so often within a data centre and across data centres, where bytes are dear.
LOAD_SECONDS = 0.05
FAR_LOAD_SECONDS = 0.4


@dataclass(slots=True)
class Subscriber:
    """One entry."""

    record: Subscribe
    load: dict[str, int] = field(default_factory=dict)
    # What it was told that targets hold, and the targets where that may have changed.
    told: dict[str, int] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    told_at: float | None = None
    told_edges: EdgeNews | None = None


class Subscribers:
    """Keeps what entries said of themselves and what they were told.

    Parameters
    ----------
    data_centre : str
        Where the hub is.
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre
        self._items: dict[int, Subscriber] = {}
        self._lookups: set[int] = set()
        self._totals: dict[str, int] = {}

    @property
    def serving(self) -> tuple[EdgeRecord, ...]:
        """The entries that serve callers."""
        records = (item.record for item in self._items.values())
        return tuple(EdgeRecord(r.address, r.data_centre) for r in records if r.is_serving)

    @property
    def numbers(self) -> tuple[int, ...]:
        """Numbers of all connections."""
        return tuple(self._items)

    def get_vm(self, number: int) -> str:
        """Return the VM of an entry, or an empty text."""
        subscriber = self._items.get(number)
        return subscriber.record.vm if subscriber else ""

    def put_lookup(self, number: int) -> None:
        """Let an entry hear of hubs only, until it subscribes here or elsewhere."""
        self._lookups.add(number)

    def put(self, number: int, record: Subscribe) -> bool:
        """Take an entry's word in and tell whether the serving entries changed."""
        before = self.serving
        self._lookups.discard(number)
        stale = [key for key, item in self._items.items() if item.record.vm == record.vm]
        for key in stale:
            if key != number:
                del self._items[key]
        if number in self._items:
            self._items[number].record = record
        else:
            self._items[number] = Subscriber(record, changed=set(self._totals))
        return self.serving != before

    def remove(self, number: int) -> bool:
        """Forget an entry and tell whether the serving entries changed."""
        before = self.serving
        self._items.pop(number, None)
        self._lookups.discard(number)
        return self.serving != before

    def push_all(
        self, message: Message, *, besides: int = 0, lookups: bool = False
    ) -> list[Effect]:
        """Return the effects that tell every entry but one."""
        numbers = [*self._items, *self._lookups] if lookups else self._items
        return [PushToSubscriber(number, message) for number in numbers if number != besides]

    def push_evidence(self, items: tuple[EvidenceItem, ...]) -> list[Effect]:
        """Return the effects that tell every entry what others saw."""
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
        """Return the effects that tell every entry who serves in its data centre."""
        by_centre: dict[str, EdgeNews] = {}
        for item in self.serving:
            known = by_centre.get(item.data_centre, EdgeNews((), total))
            by_centre[item.data_centre] = EdgeNews((*known.edges, item), total)
        effects: list[Effect] = []
        for number, item in self._items.items():
            news = by_centre.get(item.record.data_centre, EdgeNews((), total))
            if news != item.told_edges:
                item.told_edges = news
                effects.append(PushToSubscriber(number, news))
        return effects

    def record_load(self, number: int, report: LoadReport) -> None:
        """Take in what an entry has at targets."""
        subscriber = self._items.get(number)
        if subscriber is not None:
            subscriber.changed.update(subscriber.load)
            subscriber.load = {item.target: item.count for item in report.items}
            subscriber.changed.update(subscriber.load)

    def compute_load(self) -> dict[str, int]:
        """Return what all entries together hold at targets."""
        totals: dict[str, int] = {}
        for item in self._items.values():
            for target, count in item.load.items():
                totals[target] = totals.get(target, 0) + count
        return totals

    def push_load(self, now: float, totals: dict[str, int]) -> list[Effect]:
        """Return the effects that tell entries what targets hold besides their own."""
        known = self._totals
        changed = {
            target
            for target in totals.keys() | known.keys()
            if totals.get(target, 0) != known.get(target, 0)
        }
        self._totals = totals
        effects: list[Effect] = []
        for number, item in self._items.items():
            item.changed |= changed
            is_near = item.record.data_centre == self.data_centre
            pause = LOAD_SECONDS if is_near else FAR_LOAD_SECONDS
            if item.told_at is not None and now - item.told_at < pause:
                continue
            if (news := _take_news(item, totals)) is not None:
                item.told_at = now
                effects.append(PushToSubscriber(number, news))
        return effects


def _take_news(subscriber: Subscriber, totals: dict[str, int]) -> LoadNews | None:
    """Return what an entry does not know yet, if anything."""
    news = []
    for target in sorted(subscriber.changed):
        count = max(0, totals.get(target, 0) - subscriber.load.get(target, 0))
        if count != subscriber.told.get(target, 0):
            subscriber.told[target] = count
            news.append(LoadItem(target, count))
        if not count:
            subscriber.told.pop(target, None)
    subscriber.changed.clear()
    if subscriber.told_at is None:
        # It may remember what another hub told.
        return LoadNews(tuple(news), is_whole=True)
    return LoadNews(tuple(news)) if news else None
