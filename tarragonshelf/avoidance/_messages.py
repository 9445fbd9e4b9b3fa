"""Evidence about targets that entries exchange."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


class EvidenceKind(StrEnum):
    """What one attempt showed about its target; values are short, as many are sent.

    ``UNREACHABLE`` is a refused connection, which is the same for all entries; ``UNHEARD`` is a
    time-out while connecting, which may be caused by the entry's own link. ``DEPARTED`` means that
    another target has the address. ``TRIAL`` is a request to a target that is not trusted, and
    ``PASSED`` a good response of such a target. ``SLOW`` and then ``HUNG`` are reported while an
    attempt waits for its response; ``NOT_SLOW`` and ``NOT_HUNG`` retract these reports.
    ``LIMITED`` means that a response named a request rate limit of the target, ``UNLIMITED`` that
    it named none any more.
    """

    BROKEN = "b"
    ERROR = "e"
    HUNG = "h"
    UNREACHABLE = "u"
    UNHEARD = "n"
    DEPARTED = "d"
    FULL = "f"
    TRIAL = "t"
    PASSED = "p"
    SLOW = "s"
    NOT_SLOW = "a"
    NOT_HUNG = "l"
    LIMITED = "r"
    UNLIMITED = "o"


class Standing(StrEnum):
    """How a target may be used."""

    TRUSTED = "trusted"
    ON_TRIAL = "on-trial"
    AVOIDED = "avoided"


@dataclass(frozen=True, slots=True)
class EvidenceItem(Message):
    """Evidence of one attempt about its target.

    ``request_digest`` identifies the request if its connection broke, so that requests that crash
    targets can be distinguished from failing targets. ``source`` is the VM of the entry that made
    the attempt. ``rate`` is the limit in requests per second of ``LIMITED``.
    """

    target: str
    kind: EvidenceKind
    request_digest: int = 0
    source: str = ""
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class EvidenceNews(Message):
    """Evidence reported by entries; ``is_relayed`` if another control forwarded it."""

    items: tuple[EvidenceItem, ...]
    is_relayed: bool = False
