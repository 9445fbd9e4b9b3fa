"""Forwarding of one request: target selection, attempts, retries and the response."""

from ._balancer import Balancer, Topology
from ._budget import RetryBudgets, RetryBudgetSettings
from ._messages import (
    Attempt,
    AttemptEnded,
    AttemptKind,
    AttemptOutcome,
    Cancel,
    ForwardingContext,
    ForwardRequest,
    PermitDecided,
    PermitNeeded,
    RefusalReason,
    Refuse,
    RequestPermit,
    RequestRetryGrant,
    RespondWith,
    RetryGrantAnswered,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
    UnansweredAttempt,
)
from ._meter import FailureMeter
from ._profile import LatencyThresholds, ResponseTimeModel, ServiceProfile, SlowAttemptOutcomes
from ._request import RequestMachine

__all__ = [
    "ResponseTimeModel",
    "RequestRetryGrant",
    "Attempt",
    "AttemptEnded",
    "AttemptKind",
    "AttemptOutcome",
    "Balancer",
    "RetryBudgetSettings",
    "Cancel",
    "ForwardingContext",
    "FailureMeter",
    "ForwardRequest",
    "LatencyThresholds",
    "Topology",
    "PermitDecided",
    "PermitNeeded",
    "Refuse",
    "RefusalReason",
    "RequestPermit",
    "RetryGrantAnswered",
    "RequestMachine",
    "RespondWith",
    "RetryBudgets",
    "ServiceProfile",
    "SetTimer",
    "SlowAttemptOutcomes",
    "Started",
    "TargetAnswer",
    "TimerFired",
    "UnansweredAttempt",
]
