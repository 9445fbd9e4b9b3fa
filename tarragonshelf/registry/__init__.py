"""Registry of the targets that announce themselves to controls."""

from ._messages import TargetDigest, TargetEntry, TargetNews, TargetNewsReceived, TargetState
from ._registry import TargetRegistry

__all__ = [
    "TargetDigest",
    "TargetEntry",
    "TargetNews",
    "TargetNewsReceived",
    "TargetRegistry",
    "TargetState",
]
