"""What the ends of a connection say for its own sake: proof of the secret, signs of life."""

import hmac
from dataclasses import dataclass
from hashlib import sha256

from ..base import Message

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Challenge(Message):
    """The accepting side's question."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class Proof(Message):
    """The connecting side's answer and its own question."""

    vm: str
    role: str
    nonce: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class Welcome(Message):
    """The accepting side's answer."""

    vm: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class KeepAlive(Message):
    """The connecting side asks for a sign of life."""


@dataclass(frozen=True, slots=True)
class KeepAliveReply(Message):
    """The accepting side gives it."""


def compute_proof(secret: bytes, label: str, vm: str, *nonces: bytes) -> bytes:
    """Return the digest that only a holder of the secret can make."""
    text = b"|".join([label.encode(), vm.encode(), *nonces])
    return hmac.new(secret, text, sha256).digest()


def is_proof(expected: bytes, given: bytes) -> bool:
    """Compare two digests in constant time."""
    return hmac.compare_digest(expected, given)
