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
    WaitedFor,
)
from ._meter import FailureMeter
from ._profile import AnswerTimes, Patience, ServiceProfile, SlowEnds
from ._request import RequestMachine

__all__ = [
    "AnswerTimes",
    "AskRepeat",
    "Attempt",
    "AttemptEnded",
    "AttemptOutcome",
    "Balancer",
    "BudgetTerms",
    "Cancel",
    "ContextQueries",
    "FailureMeter",
    "ForwardRequest",
    "Patience",
    "Places",
    "Refuse",
    "RefusalReason",
    "RepeatAnswered",
    "RequestMachine",
    "RespondWith",
    "RetryBudgets",
    "ServiceProfile",
    "SetTimer",
    "SlowEnds",
    "Started",
    "TargetAnswer",
    "TimerFired",
    "WaitedFor",
]
