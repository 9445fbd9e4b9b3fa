"""The entry role: what an entry knows, and how it decides about requests."""

from ._follower import ConfigurationFollower
from ._intake import ANONYMOUS, Admitted, Intake, RequestHead
from ._messages import (
    CallControl,
    ChunksWanted,
    EntryStatus,
    InForce,
    SendEvidence,
    ServiceView,
    TargetView,
)
from ._node import EntryNode

__all__ = [
    "ANONYMOUS",
    "Admitted",
    "CallControl",
    "ChunksWanted",
    "ConfigurationFollower",
    "EntryNode",
    "EntryStatus",
    "InForce",
    "Intake",
    "RequestHead",
    "SendEvidence",
    "ServiceView",
    "TargetView",
]
