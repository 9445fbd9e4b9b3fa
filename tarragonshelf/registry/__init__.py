"""Targets as they announce themselves at controls."""

from ._book import TargetRegistry
from ._messages import TargetDigest, TargetEntry, TargetNews, TargetNewsReceived, TargetState

__all__ = [
    "TargetRegistry",
    "TargetDigest",
    "TargetEntry",
    "TargetNews",
    "TargetNewsReceived",
    "TargetState",
]
