"""Batches of updates that a hub sends to entries and other hubs.

At a large site each update goes to a hundred entries, and one incident causes hundreds of
updates. Batching keeps the processing cost of an entry from growing with their number.
"""

from collections.abc import Hashable
from dataclasses import replace

from ..avoidance import EvidenceItem, EvidenceKind
from ..registry import TargetEntry

# The first update after an idle period is sent at once; later ones wait at most this long.
BATCH_INTERVAL_SECONDS = 0.04
# A target without free slots refuses requests of many entries at the same time. One report in
# this interval is enough, as entries treat a target as full for 0.2 s after a report.
FULL_INTERVAL_SECONDS = 0.1
# Traffic between regions is expensive, and entries rarely send requests to another region. Hubs
# there receive failures at once, and all other evidence at this interval.
DISTANT_INTERVAL_SECONDS = 1.0
# Evidence that is out of date by then.
SHORT_LIVED_EVIDENCE = frozenset({EvidenceKind.FULL, EvidenceKind.TRIAL})
DEFERRED_EVIDENCE = frozenset({EvidenceKind.PASSED, EvidenceKind.SLOW, EvidenceKind.NOT_SLOW})


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


class DistantEvidenceBatch(EvidenceBatch):
    """Batch of evidence for hubs in other regions."""

    def __init__(self):
        super().__init__()
        self._is_urgent = False

    def add_evidence(self, now: float, item: EvidenceItem) -> None:
        """Add evidence; a slow attempt that is answered within the interval is left out."""
        if item.kind in SHORT_LIVED_EVIDENCE:
            return
        if item.kind == EvidenceKind.NOT_SLOW and self._remove_slow(item):
            return
        self._is_urgent = self._is_urgent or item.kind not in DEFERRED_EVIDENCE
        super().add_evidence(now, item)

    def _remove_slow(self, item: EvidenceItem) -> bool:
        """Remove the report that an entry retracts, and return whether it was there."""
        slow = replace(item, kind=EvidenceKind.SLOW)
        key = next((key for key, added in self._items.items() if added == slow), None)
        return key is not None and self._items.pop(key) is not None

    def pop_due(self, now: float) -> tuple:
        """Return and remove the evidence if it contains failures or its interval has passed."""
        if not self._is_urgent and now - self._flushed_at < DISTANT_INTERVAL_SECONDS:
            return ()
        items = super().pop_due(now)
        self._is_urgent = self._is_urgent and not items
        return items


class TargetBatch(Batch):
    """Batch of new and changed targets; only the latest state of each target is sent."""

    def add_target(self, entry: TargetEntry) -> None:
        """Add a target."""
        self.add(entry.identity, entry)
