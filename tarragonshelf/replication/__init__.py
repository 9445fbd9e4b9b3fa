"""What processes with a replica share: calls, who waits for what, and who may vote."""

from ..utils import create_loader

# Each name is loaded on first use: an entry needs the messages alone, and is back sooner after a
# restart if it loads nothing else.
__getattr__ = create_loader(
    __name__,
    {
        "_admission": ("plan_admission", "plan_join", "plan_retirement"),
        "_messages": (
            "CallReceived",
            "Done",
            "Join",
            "PeerReceived",
            "Refused",
            "RefusedReason",
            "Reply",
            "StopRequested",
            "Trace",
        ),
        "_node": ("ReplicatedNode",),
        "_waiters": ("FollowWaiter", "Waiters"),
    },
)

__all__ = [
    "CallReceived",
    "Done",
    "FollowWaiter",
    "Join",
    "PeerReceived",
    "Refused",
    "RefusedReason",
    "ReplicatedNode",
    "Reply",
    "StopRequested",
    "Trace",
    "Waiters",
    "plan_admission",
    "plan_join",
    "plan_retirement",
]
