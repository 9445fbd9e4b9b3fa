"""The control role: a replicated state machine and the calls that it answers."""

from ..replication import (
    CallReceived,
    Done,
    EmitEvent,
    Join,
    PeerMessageReceived,
    Refused,
    RefusedReason,
    Reply,
    Retire,
    StopRequested,
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
    "EmitEvent",
    "FetchChunks",
    "Follow",
    "Followed",
    "Initialize",
    "Join",
    "LeaderFinder",
    "PeerMessageReceived",
    "Refused",
    "RefusedReason",
    "Reply",
    "Retire",
    "SetDrained",
    "StatusRequest",
    "StopRequested",
    "UnresolvedOrders",
    "UnresolvedRequest",
]
