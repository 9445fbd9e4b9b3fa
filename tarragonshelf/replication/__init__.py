"""Node base class, pending calls and voter admission for all processes with a replica."""

from ..utils import create_lazy_getattr

# Names are loaded on first use: an entry process needs only the messages, and restarts faster if
# it does not load the rest.
__getattr__ = create_lazy_getattr(
    __name__,
    {
        "_admission": (
            "plan_admission",
            "plan_expiry",
            "plan_join",
            "plan_release",
            "plan_removal",
            "plan_retirement",
        ),
        "_fault_tolerance": ("FaultTolerance", "Place", "VoterRules"),
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
    "CallPeer",
    "CallReceived",
    "Done",
    "EmitEvent",
    "FaultTolerance",
    "Join",
    "JoinRequests",
    "PeerCallEnded",
    "PeerMessageReceived",
    "PendingCalls",
    "PendingFollow",
    "Place",
    "Refused",
    "RefusedReason",
    "ReplicatedNode",
    "Reply",
    "StopRequested",
    "VoterRules",
    "plan_admission",
    "plan_expiry",
    "plan_join",
    "plan_release",
    "plan_removal",
    "plan_retirement",
]
