"""One request's way to targets: choice, attempts, retries and the end."""

from ._balancer import Balancer, Places
from ._budget import BudgetTerms, RetryBudgets
from ._messages import (
    AskRepeat,
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    Cancel,
    ContextQueries,
    ForwardRequest,
    RefusalReason,
    Refuse,
    RepeatAnswered,
    RespondWith,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
)
from ._profile import ServiceProfile
from ._request import RequestMachine

__all__ = [
    "AskRepeat",
    "Attempt",
    "AttemptEnded",
    "AttemptOutcome",
    "Balancer",
    "BudgetTerms",
    "Cancel",
    "ContextQueries",
    "ForwardRequest",
    "Places",
    "Refuse",
    "RefusalReason",
    "RepeatAnswered",
    "RequestMachine",
    "RespondWith",
    "RetryBudgets",
    "ServiceProfile",
    "SetTimer",
    "Started",
    "TargetAnswer",
    "TimerFired",
]
