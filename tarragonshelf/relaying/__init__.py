"""Relaying of requests through another entry while this entry has no path to the targets."""

from ._messages import (
    CheckTargets,
    CloseIdleConnections,
    DeclineReason,
    PathDoubted,
    RelayCancel,
    RelayChunk,
    RelayDecline,
    RelayHeader,
    RelayList,
    RelayNews,
    RelayQuery,
    RelayRecord,
    RelayRefusal,
    RelayRequest,
    RelayResponse,
    TargetChecked,
    TargetConnected,
)
from ._path import PathMonitor, PathState
from ._selector import RelaySelector

__all__ = [
    "CheckTargets",
    "CloseIdleConnections",
    "DeclineReason",
    "RelayHeader",
    "PathDoubted",
    "PathMonitor",
    "PathState",
    "RelayCancel",
    "RelayChunk",
    "RelayDecline",
    "RelayList",
    "RelayNews",
    "RelayQuery",
    "RelayRecord",
    "RelayRefusal",
    "RelayRequest",
    "RelayResponse",
    "RelaySelector",
    "TargetChecked",
    "TargetConnected",
]
