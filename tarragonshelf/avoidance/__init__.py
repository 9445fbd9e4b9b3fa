"""Gray failure detection: evidence about targets that all entries share."""

from ._detector import POSITIVE_EVIDENCE, GrayFailureDetector
from ._messages import EvidenceItem, EvidenceKind, EvidenceNews, Standing
from ._suspects import SuspectRequests

__all__ = [
    "POSITIVE_EVIDENCE",
    "GrayFailureDetector",
    "EvidenceItem",
    "EvidenceKind",
    "EvidenceNews",
    "Standing",
    "SuspectRequests",
]
