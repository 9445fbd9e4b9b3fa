"""Node base class, pending calls and voter admission for all processes with a replica."""

from ..utils import create_lazy_getattr

# Names are loaded on first use: an entry process needs only the messages, and restarts faster if
# it does not load the rest.
__getattr__ = create_lazy_getattr(
    __name__,
    {
        "_admission": ("plan_admission", "plan_join", "plan_retirement"),
        "_messages": (
            "CallReceived",
            "Done",
            "EmitEvent",
            "Join",
            "PeerMessageReceived",
            "Refused",
            "RefusedReason",
            "Reply",
            "StopRequested",
        ),
        "_node": ("ReplicatedNode",),
        "_pending_calls": ("PendingCalls", "PendingFollow"),
    },
)

__all__ = [
    "CallReceived",
    "Done",
    "EmitEvent",
    "Join",
    "PeerMessageReceived",
    "PendingCalls",
    "PendingFollow",
    "Refused",
    "RefusedReason",
    "ReplicatedNode",
    "Reply",
    "StopRequested",
    "plan_admission",
    "plan_join",
    "plan_retirement",
]
