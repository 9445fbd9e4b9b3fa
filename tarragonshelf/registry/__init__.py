"""Targets as they announce themselves at controls."""

from ._book import TargetBook
from ._messages import TargetDigest, TargetEntry, TargetNews, TargetNewsReceived, TargetState

__all__ = [
    "TargetBook",
    "TargetDigest",
    "TargetEntry",
    "TargetNews",
    "TargetNewsReceived",
    "TargetState",
]
