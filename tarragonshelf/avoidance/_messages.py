"""What entries tell each other about targets."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


class EvidenceKind(StrEnum):
    """What one attempt showed; short words, as many travel.

    ``UNREACHABLE`` is a port that refuses, which holds for all; ``UNHEARD`` is silence, which may
    be the entry's own link. ``DEPARTED`` is another target at the address. ``TRIAL`` is a request
    to a target that is not trusted, and ``PASSED`` that such a target answered well. ``SLOW`` and
    then ``HUNG`` tell of a request that waits for its answer; ``NOT_SLOW`` and ``NOT_HUNG`` take
    these back.
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


class Standing(StrEnum):
    """How a target may be used."""

    TRUSTED = "trusted"
    ON_TRIAL = "on-trial"
    AVOIDED = "avoided"


@dataclass(frozen=True, slots=True)
class EvidenceItem(Message):
    """What one attempt showed of a target.

    ``request_digest`` names the request if its connection broke, so that a request that
    crashes targets can be told from targets that fail. ``source`` is the VM of the entry that
    saw it.
    """

    target: str
    kind: EvidenceKind
    request_digest: int = 0
    source: str = ""


@dataclass(frozen=True, slots=True)
class EvidenceNews(Message):
    """Evidence of entries; ``is_relayed`` if it came by another control."""

    items: tuple[EvidenceItem, ...]
    is_relayed: bool = False
