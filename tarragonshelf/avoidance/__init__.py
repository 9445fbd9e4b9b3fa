"""Fast evidence about targets, shared by all entries, and who is avoided because of it."""

from ._book import POSITIVE_EVIDENCE, GrayFailureDetector
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
