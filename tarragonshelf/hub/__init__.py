"""The control process of a site: replicated catalogue, targets, and news for entries."""

from ..utils import create_loader

# Each name is loaded on first use: an entry needs the messages alone, and is back sooner after a
# restart if it loads nothing else.
__getattr__ = create_loader(
    __name__,
    {
        "_messages": (
            "Announce",
            "Announced",
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
            "Push",
            "Remember",
            "RepeatAsk",
            "RepeatReply",
            "RequestCount",
            "SendHub",
            "Subscribe",
            "SubscriberLost",
            "SubscriberReceived",
        ),
        "_node": ("HubNode", "create_first_membership"),
        "_state": ("FIRST_INCARNATION", "MEMORIES", "NO_REPEATS"),
    },
)

__all__ = [
    "FIRST_INCARNATION",
    "MEMORIES",
    "NO_REPEATS",
    "Announce",
    "Announced",
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
    "Push",
    "Remember",
    "RepeatAsk",
    "RepeatReply",
    "RequestCount",
    "SendHub",
    "Subscribe",
    "SubscriberLost",
    "SubscriberReceived",
    "create_first_membership",
]
