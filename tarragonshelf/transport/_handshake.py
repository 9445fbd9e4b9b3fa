"""Messages that authenticate a connection and keep it alive.

In the handshake both sides prove that they hold the fleet secret: each sends a random nonce and
answers the other's with a keyed hash. The secret itself is never sent.
"""

import hmac
from dataclasses import dataclass
from hashlib import sha256

from ..base import Message

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Challenge(Message):
    """First message of the handshake: the nonce of the accepting side."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class Proof(Message):
    """Second message of the handshake: the connecting side's digest and nonce."""

    vm: str
    role: str
    nonce: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class Welcome(Message):
    """Last message of the handshake: the accepting side's digest."""

    vm: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class KeepAlive(Message):
    """The connecting side's request for a ``KeepAliveReply``."""


@dataclass(frozen=True, slots=True)
class KeepAliveReply(Message):
    """The accepting side's reply to ``KeepAlive``."""


def compute_proof(secret: bytes, label: str, vm: str, *nonces: bytes) -> bytes:
    """Return the keyed hash (HMAC-SHA-256) that proves possession of the secret.

    Parameters
    ----------
    secret : bytes
        The fleet secret.
    label : str
        Direction of the proof; it keeps a digest of one side from being reused by the other.
    vm : str
        The VM that proves it.
    *nonces : bytes
        The nonce of the side that verifies the proof, then that of the side that gives it.
    """
    text = b"|".join([label.encode(), vm.encode(), *nonces])
    return hmac.new(secret, text, sha256).digest()


def is_digest_valid(expected: bytes, given: bytes) -> bool:
    """Return whether two digests are equal, in time that does not depend on their content."""
    return hmac.compare_digest(expected, given)
