"""Allowances of client accounts: the requests that all entries together may run."""

from ._allocator import AllowanceAllocator
from ._local import LocalAllowances
from ._messages import (
    AllowanceReply,
    AllowanceRequest,
    RelayedAllowanceReply,
    RelayedAllowanceRequest,
)
from ._requests import AllowanceRequests, Share

__all__ = [
    "AllowanceAllocator",
    "AllowanceReply",
    "AllowanceRequest",
    "AllowanceRequests",
    "LocalAllowances",
    "RelayedAllowanceReply",
    "RelayedAllowanceRequest",
    "Share",
]
