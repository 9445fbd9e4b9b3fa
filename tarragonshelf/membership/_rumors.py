"""Rumor mongering: each update is gossiped a bounded number of times."""

from hashlib import blake2b
from math import ceil, log2

TRANSMISSION_FACTOR = 3


def compute_record_digest(name: str, rank: tuple[int, ...]) -> int:
    """Return the digest of a record; the digest of a set is the exclusive or of its records'."""
    text = f"{name} {rank}".encode()
    return int.from_bytes(blake2b(text, digest_size=7).digest(), "big")


class RumorQueue:
    """Updates to gossip, by key; a newer update replaces an older one of the same key."""

    def __init__(self):
        self._items: dict[object, tuple[object, int]] = {}

    def add(self, key, item) -> None:
        """Queue an update, with its transmission count at zero."""
        self._items[key] = (item, 0)

    def select_batch(self, *, limit: int, members: int) -> tuple:
        """Return at most ``limit`` updates, those sent least often first, and count them as sent.

        An update is removed once it was sent a number of times that grows with the logarithm of
        the number of ``members``.
        """
        maximum_transmissions = TRANSMISSION_FACTOR * max(1, ceil(log2(members + 1)))
        chosen = sorted(self._items.items(), key=lambda entry: entry[1][1])[:limit]
        for key, (item, count) in chosen:
            if count + 1 >= maximum_transmissions:
                del self._items[key]
            else:
                self._items[key] = (item, count + 1)
        return tuple(item for _, (item, _) in chosen)
