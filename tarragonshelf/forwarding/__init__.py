"""One request's way to targets: choice, attempts, retries and the end."""

from ._balancer import Balancer, Places
from ._budget import RetryBudgets
from ._messages import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    Cancel,
    ContextQueries,
    ForwardRequest,
    RefusalReason,
    Refuse,
    RespondWith,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
)
from ._profile import ServiceProfile
from ._request import RequestMachine

__all__ = [
    "Attempt",
    "AttemptEnded",
    "AttemptOutcome",
    "Balancer",
    "Cancel",
    "ContextQueries",
    "ForwardRequest",
    "Places",
    "Refuse",
    "RefusalReason",
    "RequestMachine",
    "RespondWith",
    "RetryBudgets",
    "ServiceProfile",
    "SetTimer",
    "Started",
    "TargetAnswer",
    "TimerFired",
]
