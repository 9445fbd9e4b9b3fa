"""The control process of a site: replicated catalogue, targets, and news for entries."""

from ._messages import (
    Announce,
    Announced,
    EdgeNews,
    EdgeRecord,
    HubBeat,
    HubNews,
    HubRecord,
    LoadItem,
    LoadNews,
    LoadReport,
    Push,
    SendHub,
    Subscribe,
    SubscriberLost,
    SubscriberReceived,
)
from ._node import HubNode, create_first_membership

__all__ = [
    "Announce",
    "Announced",
    "EdgeNews",
    "EdgeRecord",
    "HubBeat",
    "HubNews",
    "HubNode",
    "HubRecord",
    "LoadItem",
    "LoadNews",
    "LoadReport",
    "Push",
    "SendHub",
    "Subscribe",
    "SubscriberLost",
    "SubscriberReceived",
    "create_first_membership",
]
