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
            "PeerMessageReceived",
            "Refused",
            "RefusedReason",
            "Reply",
            "StopRequested",
            "EmitEvent",
        ),
        "_node": ("ReplicatedNode",),
        "_pending_calls": ("PendingFollow", "PendingCalls"),
    },
)

__all__ = [
    "CallReceived",
    "Done",
    "PendingFollow",
    "Join",
    "PeerMessageReceived",
    "Refused",
    "RefusedReason",
    "ReplicatedNode",
    "Reply",
    "StopRequested",
    "EmitEvent",
    "PendingCalls",
    "plan_admission",
    "plan_join",
    "plan_retirement",
]
