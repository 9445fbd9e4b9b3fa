"""Limits of targets that all entries share: declared request rates, and connections."""

from ._connections import compute_idle_limit
from ._limits import DeclaredLimits, LimitChange
from ._messages import (
    LimitStatement,
    PermitReply,
    PermitRequest,
    RateLimit,
    RelayedPermitReply,
    RelayedPermitRequest,
)
from ._permits import LocalPermits, PermitAllocator

__all__ = [
    "DeclaredLimits",
    "LimitChange",
    "LimitStatement",
    "LocalPermits",
    "PermitAllocator",
    "PermitReply",
    "PermitRequest",
    "RateLimit",
    "RelayedPermitReply",
    "RelayedPermitRequest",
    "compute_idle_limit",
]
