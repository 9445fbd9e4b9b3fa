"""One request's life: claim, attempts, retries, answer, outcome."""

from ._factory import create_request_machine
from ._lookup import LookupMachine
from ._messages import (
    Attempt,
    AttemptEnded,
    AttemptSlow,
    Cancel,
    CertainOutcome,
    ClaimAnswered,
    Command,
    EndKind,
    Reject,
    Request,
    RequestContext,
    Respond,
    SettleAnswered,
    Started,
    SubmitClaim,
    SubmitSettle,
    Wait,
    WaitEnded,
)
from ._order import OrderMachine
from ._request import RequestMachine

__all__ = [
    "Attempt",
    "AttemptEnded",
    "AttemptSlow",
    "Cancel",
    "CertainOutcome",
    "ClaimAnswered",
    "Command",
    "EndKind",
    "LookupMachine",
    "OrderMachine",
    "Reject",
    "Request",
    "RequestContext",
    "RequestMachine",
    "Respond",
    "SettleAnswered",
    "Started",
    "SubmitClaim",
    "SubmitSettle",
    "Wait",
    "WaitEnded",
    "create_request_machine",
]
