"""The entry process of a site: what it knows, and which hub it follows."""

from ._hubs import HubChoice
from ._messages import (
    EdgeSettings,
    FollowHub,
    HubLost,
    HubReceived,
    RepeatSettled,
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
    "RepeatSettled",
    "SendToHub",
    "StopPlan",
    "plan_stop",
]
