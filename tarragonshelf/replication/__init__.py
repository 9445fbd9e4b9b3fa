"""Node base class, pending calls and voter admission for all processes with a replica."""

from ..utils import create_lazy_getattr

# Names are loaded on first use: an entry process needs only the messages, and restarts faster if
# it does not load the rest.
__getattr__ = create_lazy_getattr(
    __name__,
    {
        "_admission": (
            "MINIMUM_REMAINING_VOTERS",
            "plan_admission",
            "plan_join",
            "plan_release",
            "plan_removal",
            "plan_retirement",
        ),
        "_join_requests": ("JoinRequests",),
        "_messages": (
            "CallPeer",
            "CallReceived",
            "Done",
            "EmitEvent",
            "Join",
            "PeerCallEnded",
            "PeerMessageReceived",
            "Refused",
            "RefusedReason",
            "Reply",
            "Retire",
            "SeatRelease",
            "Retire",
            "StopRequested",
        ),
        "_node": ("ReplicatedNode",),
        "_seat_release": ("SeatRelease",),
        "_pending_calls": ("PendingCalls", "PendingFollow"),
    },
)

__all__ = [
    "MINIMUM_REMAINING_VOTERS",
    "CallPeer",
    "CallReceived",
    "Done",
    "EmitEvent",
    "Join",
    "JoinRequests",
    "PeerCallEnded",
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
    "plan_release",
    "plan_removal",
    "plan_retirement",
]
