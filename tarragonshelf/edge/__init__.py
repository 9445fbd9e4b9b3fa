"""The entry process of a site: what it knows, and which hub it follows."""

from ._hubs import HubChoice
from ._messages import (
    EdgeSettings,
    FollowHub,
    HubLost,
    HubReceived,
    RetryDecided,
    SendToHub,
)
from ._node import EdgeNode
from ._stops import StopPlan, plan_stop

__all__ = [
    "EdgeNode",
    "EdgeSettings",
    "FollowHub",
    "HubChoice",
    "HubLost",
    "HubReceived",
    "RetryDecided",
    "SendToHub",
    "StopPlan",
    "plan_stop",
]
