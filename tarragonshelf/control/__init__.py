"""The control role: a replicated state machine and the calls that it answers."""

from ..replication import (
    CallReceived,
    Done,
    Join,
    PeerReceived,
    Refused,
    RefusedReason,
    Reply,
    StopRequested,
    Trace,
)
from ._finder import LeaderFinder
from ._machine import ControlMachine, ControlSnapshot
from ._messages import (
    COMMANDS,
    AdvanceClock,
    AttachedEntry,
    Chunks,
    ConfigurationRequest,
    ControlStatus,
    FetchChunks,
    Follow,
    Followed,
    Initialize,
    Retire,
    SetDrained,
    StatusRequest,
    UnresolvedOrders,
    UnresolvedRequest,
)
from ._node import ControlNode

__all__ = [
    "COMMANDS",
    "AdvanceClock",
    "AttachedEntry",
    "CallReceived",
    "Chunks",
    "ConfigurationRequest",
    "ControlMachine",
    "ControlNode",
    "ControlSnapshot",
    "ControlStatus",
    "Done",
    "FetchChunks",
    "Follow",
    "Followed",
    "Initialize",
    "Join",
    "LeaderFinder",
    "PeerReceived",
    "Refused",
    "RefusedReason",
    "Reply",
    "Retire",
    "SetDrained",
    "StatusRequest",
    "StopRequested",
    "Trace",
    "UnresolvedOrders",
    "UnresolvedRequest",
]
