"""The entry process of a site: its state, and the hub that it follows."""

from ._hub_selector import HubSelector
from ._messages import (
    AllowanceAnswered,
    AllowanceDecided,
    AllowanceDecider,
    EdgeSettings,
    FollowHub,
    HubLost,
    HubProbed,
    HubReceived,
    PermitAnswered,
    ProbeHub,
    RetryDecided,
    SendToHub,
)
from ._node import EdgeNode
from ._placement import explain_placement
from ._shutdown import StopPlan, plan_stop

__all__ = [
    "AllowanceAnswered",
    "AllowanceDecided",
    "AllowanceDecider",
    "EdgeNode",
    "EdgeSettings",
    "FollowHub",
    "HubLost",
    "HubProbed",
    "HubReceived",
    "HubSelector",
    "PermitAnswered",
    "ProbeHub",
    "RetryDecided",
    "SendToHub",
    "StopPlan",
    "explain_placement",
    "plan_stop",
]
