"""Order in which the received bytes of many connections are parsed."""

from collections import OrderedDict, deque
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")


class FairQueue(Generic[ItemT]):
    """Queue that serves sources in turn, and the items of one source in order.

    A source with many items gets no larger share than one with a single item.
    """

    def __init__(self):
        self._items: OrderedDict[str, deque[ItemT]] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._items)

    def push(self, source: str, item: ItemT) -> None:
        """Add an item behind the others of its source."""
        self._items.setdefault(source, deque()).append(item)

    def pop(self) -> ItemT:
        """Remove and return the next item."""
        source, items = next(iter(self._items.items()))
        item = items.popleft()
        if items:
            self._items.move_to_end(source)
        else:
            del self._items[source]
        return item

    def remove(self, source: str, item: ItemT) -> None:
        """Remove an item that is in the queue."""
        items = self._items[source]
        items.remove(item)
        if not items:
            del self._items[source]
