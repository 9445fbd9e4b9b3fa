"""What targets accept: declared request rates, connections, and requested pauses."""

from ._connections import compute_idle_limit
from ._limits import DeclaredLimits, LimitChange
from ._messages import (
    LimitStatement,
    PauseStatement,
    PermitReply,
    PermitRequest,
    RateLimit,
    RelayedPermitReply,
    RelayedPermitRequest,
)
from ._pauses import Pause, RequestedPauses
from ._permits import LocalPermits, PermitAllocator

__all__ = [
    "DeclaredLimits",
    "LimitChange",
    "LimitStatement",
    "LocalPermits",
    "Pause",
    "PauseStatement",
    "PermitAllocator",
    "PermitReply",
    "PermitRequest",
    "RateLimit",
    "RelayedPermitReply",
    "RelayedPermitRequest",
    "RequestedPauses",
    "compute_idle_limit",
]
