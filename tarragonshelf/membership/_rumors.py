"""Changes that are passed on a bounded number of times each."""

from hashlib import blake2b
from math import ceil, log2

TRANSMISSION_FACTOR = 3


def compute_record_digest(name: str, rank: tuple[int, ...]) -> int:
    """Return a digest of a record; an exclusive or of digests stands for a set of records."""
    text = f"{name} {rank}".encode()
    return int.from_bytes(blake2b(text, digest_size=7).digest(), "big")


class RumorQueue:
    """Changes by key; a newer change takes the place of an older one of the same key."""

    def __init__(self):
        self._items: dict[object, tuple[object, int]] = {}

    def add(self, key, item) -> None:
        """Pass a change on, anew if an older one of the key was under way."""
        self._items[key] = (item, 0)

    def take(self, *, limit: int, members: int) -> tuple:
        """Return the changes that were passed on least, at most ``limit`` of them."""
        enough = TRANSMISSION_FACTOR * max(1, ceil(log2(members + 1)))
        chosen = sorted(self._items.items(), key=lambda entry: entry[1][1])[:limit]
        for key, (item, count) in chosen:
            if count + 1 >= enough:
                del self._items[key]
            else:
                self._items[key] = (item, count + 1)
        return tuple(item for _, (item, _) in chosen)
