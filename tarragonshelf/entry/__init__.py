"""The entry role: what an entry knows, and how it decides about requests."""

from ._follower import ConfigurationFollower
from ._intake import ANONYMOUS, AdmittedRequest, RequestAdmission, RequestHead
from ._messages import (
    ConfigurationActivated,
    EntryStatus,
    RequestChunks,
    SendEvidence,
    ServiceView,
    SubmitCommand,
    TargetView,
)
from ._node import EntryNode

__all__ = [
    "ANONYMOUS",
    "AdmittedRequest",
    "SubmitCommand",
    "RequestChunks",
    "ConfigurationFollower",
    "EntryNode",
    "EntryStatus",
    "ConfigurationActivated",
    "RequestAdmission",
    "RequestHead",
    "SendEvidence",
    "ServiceView",
    "TargetView",
]
