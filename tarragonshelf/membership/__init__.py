"""Membership of entries and targets, maintained by announcements and gossip."""

from ._entries import EntryTable
from ._gossip import GossipNode
from ._messages import (
    Announcement,
    EntryRecord,
    EntryState,
    Gossip,
    SendGossip,
    TargetRecord,
    TargetState,
)
from ._rumors import RumorQueue
from ._targets import LEASE_SECONDS, TargetTable

__all__ = [
    "LEASE_SECONDS",
    "Announcement",
    "EntryRecord",
    "EntryState",
    "EntryTable",
    "Gossip",
    "GossipNode",
    "RumorQueue",
    "SendGossip",
    "TargetRecord",
    "TargetState",
    "TargetTable",
]
