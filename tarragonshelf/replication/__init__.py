"""What processes with a replica share: calls, who waits for what, and who may vote."""

from ._admission import plan_admission, plan_join, plan_retirement
from ._messages import (
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
from ._waiters import FollowWaiter, Waiters

__all__ = [
    "CallReceived",
    "Done",
    "FollowWaiter",
    "Join",
    "PeerReceived",
    "Refused",
    "RefusedReason",
    "Reply",
    "StopRequested",
    "Trace",
    "Waiters",
    "plan_admission",
    "plan_join",
    "plan_retirement",
]
