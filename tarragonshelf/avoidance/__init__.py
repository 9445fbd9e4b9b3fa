"""Fast evidence about targets, shared by all entries, and who is avoided because of it."""

from ._book import GOOD, AvoidanceBook
from ._messages import EvidenceItem, EvidenceKind, EvidenceNews, Standing
from ._suspects import SuspectRequests

__all__ = [
    "GOOD",
    "AvoidanceBook",
    "EvidenceItem",
    "EvidenceKind",
    "EvidenceNews",
    "Standing",
    "SuspectRequests",
]
