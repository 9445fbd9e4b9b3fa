"""Request rate limits that targets declare, shared by all entries."""

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
]
