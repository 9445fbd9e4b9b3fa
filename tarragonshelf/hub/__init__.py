"""The control process of a site: replicated catalogue, targets, and news for entries."""

from ..utils import create_lazy_getattr

# Each name is loaded on first use: an entry needs the messages alone, and is back sooner after a
# restart if it loads nothing else.
__getattr__ = create_lazy_getattr(
    __name__,
    {
        "_messages": (
            "AnnounceTarget",
            "AnnounceReply",
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
            "SaveMessage",
            "RepeatAsk",
            "RepeatReply",
            "RequestCount",
            "SendToPeer",
            "Subscribe",
            "SubscriberLost",
            "SubscriberReceived",
        ),
        "_node": ("HubNode", "create_first_membership"),
        "_state": ("FIRST_INCARNATION", "SAVED_MESSAGE_NAMES", "NO_RETRY_BUDGET"),
    },
)

__all__ = [
    "FIRST_INCARNATION",
    "SAVED_MESSAGE_NAMES",
    "NO_RETRY_BUDGET",
    "AnnounceTarget",
    "AnnounceReply",
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
    "SaveMessage",
    "RepeatAsk",
    "RepeatReply",
    "RequestCount",
    "SendToPeer",
    "Subscribe",
    "SubscriberLost",
    "SubscriberReceived",
    "create_first_membership",
]
