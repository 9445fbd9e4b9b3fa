"""State machines of one request: claim, attempts, retries, response and outcome."""

from ._factory import create_request_machine
from ._lookup import LookupMachine
from ._messages import (
    Attempt,
    AttemptEnded,
    AttemptResult,
    AttemptSlow,
    Cancel,
    ClaimAnswered,
    Command,
    ExecutionOutcome,
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
    "ExecutionOutcome",
    "ClaimAnswered",
    "Command",
    "AttemptResult",
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
