"""The control process of a site: replicated catalogue, targets, and updates for entries."""

from ..utils import create_lazy_getattr

# Names are loaded on first use. An entry needs only the messages, and it restarts faster if it
# does not load the other modules.
__getattr__ = create_lazy_getattr(
    __name__,
    {
        "_messages": (
            "AnnounceReply",
            "AnnounceTarget",
            "EdgeNews",
            "EdgeRecord",
            "HubBeat",
            "HubBusy",
            "HubLoad",
            "HubNews",
            "HubRecord",
            "LoadItem",
            "LoadNews",
            "LoadReport",
            "PushToSubscriber",
            "RepeatAsk",
            "RepeatReply",
            "RequestCount",
            "SaveMessage",
            "SendToPeer",
            "Subscribe",
            "SubscriberLost",
            "SubscriberReceived",
        ),
        "_node": ("HubNode", "create_first_membership"),
        "_state": ("FIRST_INCARNATION", "NO_RETRY_BUDGET", "SAVED_MESSAGE_NAMES"),
    },
)

__all__ = [
    "FIRST_INCARNATION",
    "NO_RETRY_BUDGET",
    "SAVED_MESSAGE_NAMES",
    "AnnounceReply",
    "AnnounceTarget",
    "EdgeNews",
    "EdgeRecord",
    "HubBeat",
    "HubBusy",
    "HubLoad",
    "HubNews",
    "HubNode",
    "HubRecord",
    "LoadItem",
    "LoadNews",
    "LoadReport",
    "PushToSubscriber",
    "RepeatAsk",
    "RepeatReply",
    "RequestCount",
    "SaveMessage",
    "SendToPeer",
    "Subscribe",
    "SubscriberLost",
    "SubscriberReceived",
    "create_first_membership",
]
