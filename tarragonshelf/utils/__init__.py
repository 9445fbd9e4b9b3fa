"""Utilities shared by several packages."""

from ._buckets import TokenBuckets
from ._clock import HybridClock, format_stamp, parse_stamp
from ._hashing import compute_digest, compute_short_digest, rank_by_rendezvous
from ._lazy import LazyModule, create_lazy_getattr

__all__ = [
    "HybridClock",
    "LazyModule",
    "TokenBuckets",
    "compute_digest",
    "compute_short_digest",
    "create_lazy_getattr",
    "format_stamp",
    "parse_stamp",
    "rank_by_rendezvous",
]
