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
    """Return names in descending order of their rendezvous weight for a key.

    All processes with the same set of names compute the same order. Adding or removing a name
    changes the first name only of the keys that rank it first.
    """

    def compute_weight(name: str) -> bytes:
        return blake2b(name.encode(), key=key.encode()[:64], digest_size=8).digest()

    return sorted(names, key=compute_weight, reverse=True)


def compute_short_digest(*parts: bytes) -> int:
    """Return a digest of length-delimited parts as an integer of 63 bits, for an i64 field."""
    state = blake2b(digest_size=8)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return int.from_bytes(state.digest(), "big") >> 1
