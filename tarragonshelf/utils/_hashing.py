"""Content digests and rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

DIGEST_BYTES = 16


def compute_digest(*parts: bytes) -> str:
    """Return a hexadecimal digest of length-delimited parts."""
    state = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return names by falling rendezvous weight for a key.

    Every process that knows the same names gets the same order, and a name that comes or goes
    moves only its own share of keys.
    """

    def weigh(name: str) -> bytes:
        return blake2b(name.encode(), key=key.encode()[:64], digest_size=8).digest()

    return sorted(names, key=weigh, reverse=True)


def compute_short_digest(*parts: bytes) -> int:
    """Return a digest of length-delimited parts that fits a signed 64-bit field."""
    state = blake2b(digest_size=8)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return int.from_bytes(state.digest(), "big") >> 1
