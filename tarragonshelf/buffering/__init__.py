"""Memory and connections that a process holds for callers: who gets them, and who loses them."""

from ._budget import (
    BufferBudget,
    BufferLimits,
    Holding,
    HoldingState,
    Reservation,
    compute_limits,
    is_stalled,
    record_progress,
    set_state,
)
from ._framing import (
    FRAMED_CONNECTION_BYTES,
    LARGE_READ_BYTES,
    MAXIMUM_FRAMED_CONNECTIONS,
    SMALL_READ_BYTES,
    choose_read_size,
    exceeds_framing_allowance,
)

__all__ = [
    "FRAMED_CONNECTION_BYTES",
    "LARGE_READ_BYTES",
    "MAXIMUM_FRAMED_CONNECTIONS",
    "SMALL_READ_BYTES",
    "BufferBudget",
    "BufferLimits",
    "Holding",
    "HoldingState",
    "Reservation",
    "choose_read_size",
    "compute_limits",
    "exceeds_framing_allowance",
    "is_stalled",
    "record_progress",
    "set_state",
]
