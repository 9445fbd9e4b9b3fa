"""The control process of a site: replicated catalogue, targets, and news for entries."""

from ._messages import (
    Announce,
    Announced,
    EdgeNews,
    EdgeRecord,
    HubBeat,
    HubBusy,
    HubLoad,
    HubNews,
    HubRecord,
    LoadItem,
    LoadNews,
    LoadReport,
    Push,
    Remember,
    SendHub,
    Subscribe,
    SubscriberLost,
    SubscriberReceived,
)
from ._node import HubNode, create_first_membership
from ._state import FIRST_INCARNATION, MEMORIES

__all__ = [
    "FIRST_INCARNATION",
    "MEMORIES",
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
    "SendHub",
    "Subscribe",
    "SubscriberLost",
    "SubscriberReceived",
    "create_first_membership",
]
