"""News that is passed on together.

At a large site each piece of news goes to a hundred entries, and one moment of trouble gives rise
to hundreds of pieces. What an entry spends on news must not grow with their number.
"""

from collections.abc import Hashable

from ..avoidance import EvidenceItem, EvidenceKind
from ..registry import TargetEntry

# The first piece after a quiet while leaves at once; those that follow wait for so long at most.
BATCH_SECONDS = 0.04
# A target that refuses for lack of room does so to many entries at once; entries remember one
# refusal for 0.2 s.
FULL_SECONDS = 0.1


class Batch:
    """Collects pieces of news; a later piece with the same key takes the place of an earlier."""

    def __init__(self):
        self._pieces: dict[Hashable, object] = {}
        self._taken_at = float("-inf")

    def add(self, key: Hashable, piece: object) -> None:
        """Let a piece wait for the next batch."""
        self._pieces.pop(key, None)
        self._pieces[key] = piece

    def take(self, now: float) -> tuple:
        """Return what is to leave now, or nothing."""
        if not self._pieces or now - self._taken_at < BATCH_SECONDS:
            return ()
        self._taken_at = now
        pieces, self._pieces = tuple(self._pieces.values()), {}
        return pieces


class EvidenceBatch(Batch):
    """Evidence that waits to be passed on."""

    def __init__(self):
        super().__init__()
        self._number = 0
        self._full_at: dict[str, float] = {}

    def add_evidence(self, now: float, item: EvidenceItem) -> None:
        """Let evidence wait, unless the same was told a moment ago."""
        if item.kind == EvidenceKind.FULL:
            if now - self._full_at.get(item.target, float("-inf")) < FULL_SECONDS:
                return
            self._full_at[item.target] = now
        self._number += 1
        self.add(self._number, item)


class TargetBatch(Batch):
    """Targets that came or changed; only the last word of each is passed on."""

    def add_target(self, entry: TargetEntry) -> None:
        """Let a target wait."""
        self.add(entry.identity, entry)
