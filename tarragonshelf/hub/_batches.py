"""Batches of updates that a hub sends to entries and other hubs.

At a large site each update goes to a hundred entries, and one incident causes hundreds of
updates. Batching keeps the processing cost of an entry from growing with their number.
"""

from collections.abc import Hashable

from ..avoidance import EvidenceItem, EvidenceKind
from ..registry import TargetEntry

# The first update after an idle period is sent at once; later ones wait at most this long.
BATCH_INTERVAL_SECONDS = 0.04
# A target without free slots refuses requests of many entries at the same time. One report in
# this interval is enough, as entries treat a target as full for 0.2 s after a report.
FULL_INTERVAL_SECONDS = 0.1


class Batch:
    """Collects updates; a later update replaces an earlier one with the same key."""

    def __init__(self):
        self._items: dict[Hashable, object] = {}
        self._flushed_at = float("-inf")

    def add(self, key: Hashable, item: object) -> None:
        """Add an update to the next batch."""
        self._items.pop(key, None)
        self._items[key] = item

    def pop_due(self, now: float) -> tuple:
        """Return and remove the updates if a batch is due, else return an empty tuple."""
        if not self._items or now - self._flushed_at < BATCH_INTERVAL_SECONDS:
            return ()
        self._flushed_at = now
        items, self._items = tuple(self._items.values()), {}
        return items


class EvidenceBatch(Batch):
    """Batch of evidence about targets."""

    def __init__(self):
        super().__init__()
        self._number = 0
        self._full_at: dict[str, float] = {}

    def add_evidence(self, now: float, item: EvidenceItem) -> None:
        """Add evidence, unless it repeats a recent report that the target is full."""
        if item.kind == EvidenceKind.FULL:
            if now - self._full_at.get(item.target, float("-inf")) < FULL_INTERVAL_SECONDS:
                return
            self._full_at[item.target] = now
        self._number += 1
        self.add(self._number, item)


class TargetBatch(Batch):
    """Batch of new and changed targets; only the latest state of each target is sent."""

    def add_target(self, entry: TargetEntry) -> None:
        """Add a target."""
        self.add(entry.identity, entry)
