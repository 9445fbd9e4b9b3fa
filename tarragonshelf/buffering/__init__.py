"""What a process holds for callers and reads from targets: who gets it, and who loses it."""

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
    MAXIMUM_FRAMING_SHARE,
    SMALL_READ_BYTES,
    FramingPlaces,
    choose_read_size,
    exceeds_framing_allowance,
)
from ._responses import (
    MAXIMUM_BUFFERED_BYTES,
    ResponseBudget,
    ResponseHolding,
    ResponseReservation,
)
from ._targets import compute_maximum_targets
from ._turns import FairQueue

__all__ = [
    "FRAMED_CONNECTION_BYTES",
    "LARGE_READ_BYTES",
    "MAXIMUM_BUFFERED_BYTES",
    "MAXIMUM_FRAMED_CONNECTIONS",
    "MAXIMUM_FRAMING_SHARE",
    "SMALL_READ_BYTES",
    "BufferBudget",
    "BufferLimits",
    "FairQueue",
    "FramingPlaces",
    "Holding",
    "HoldingState",
    "Reservation",
    "ResponseBudget",
    "ResponseHolding",
    "ResponseReservation",
    "choose_read_size",
    "compute_limits",
    "compute_maximum_targets",
    "exceeds_framing_allowance",
    "is_stalled",
    "record_progress",
    "set_state",
]
