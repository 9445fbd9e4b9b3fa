"""The entry role: the state of an entry process and its decisions about requests."""

from ._admission import ANONYMOUS, AdmittedRequest, RequestAdmission, RequestHead
from ._follower import ConfigurationFollower
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
    "ConfigurationActivated",
    "ConfigurationFollower",
    "EntryNode",
    "EntryStatus",
    "RequestAdmission",
    "RequestChunks",
    "RequestHead",
    "SendEvidence",
    "ServiceView",
    "SubmitCommand",
    "TargetView",
]
