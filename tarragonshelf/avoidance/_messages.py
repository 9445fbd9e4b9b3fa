"""What entries tell each other about targets."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


class EvidenceKind(StrEnum):
    """What one attempt showed; short words, as many travel."""

    BROKEN = "b"
    ERROR = "e"
    HUNG = "h"
    UNREACHABLE = "u"
    FULL = "f"
    TRIAL = "t"
    RECOVERED = "r"


class Standing(StrEnum):
    """How a target may be used."""

    TRUSTED = "trusted"
    ON_TRIAL = "on-trial"
    AVOIDED = "avoided"


@dataclass(frozen=True, slots=True)
class EvidenceItem(Message):
    """What one attempt showed of a target.

    ``request_digest`` names the request if its connection broke, so that a request that
    crashes targets can be told from targets that fail.
    """

    target: str
    kind: EvidenceKind
    request_digest: int = 0


@dataclass(frozen=True, slots=True)
class EvidenceNews(Message):
    """Evidence of one entry; ``is_relayed`` if it came by another control."""

    items: tuple[EvidenceItem, ...]
    is_relayed: bool = False
