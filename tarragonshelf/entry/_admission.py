"""Admission checks of a request, before its body is read."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from ..configuration import Route, Service
from ..execution import ExecutionOutcome, Reject
from ..limits import Priority
from ._node import EntryNode

ANONYMOUS = "anonymous"
MAXIMUM_KEY_LENGTH = 200
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request; ``deadline`` is in seconds from now, ``size`` the body's in bytes."""

    method: str
    path: str
    account: str
    key: str
    deadline: float | None
    size: int | None


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """An admitted request; ``seconds`` is the time left until its deadline."""

    route: Route
    service: Service
    seconds: float
    priority: Priority


class RequestAdmission:
    """Rejects requests that must not run, before any resources are spent on them.

    Parameters
    ----------
    node : EntryNode
        The state of the entry.
    maximum_body : int
        Limit on the size of a request body in bytes.
    """

    def __init__(self, node: EntryNode, *, maximum_body: int):
        self.node = node
        self.maximum_body = maximum_body

    def check(self, now: float, head: RequestHead) -> Result[AdmittedRequest, Reject]:
        """Return the admitted request, or the answer that rejects it."""
        node = self.node
        if node.routes is None:
            reason = "no configuration is in force in this entry yet"
            return _reject(503, reason, RETRY_AFTER_SECONDS)
        route = node.routes.match(head.method, head.path)
        if route is None:
            version = node.follower.version
            reason = f"no route for {head.method} {head.path!r} in configuration {version}"
            return _reject(404, reason)
        if head.size is not None and head.size > self.maximum_body:
            return self.refuse_body(head.size)
        if route.not_repeatable:
            problem = _find_key_error(route, head.key)
            if problem:
                return _reject(400, problem)
        entries = len(node.gossip.entries.list_alive())
        wait = node.rates.take(now, head.account, entries)
        if wait:
            return _reject(429, f"account {head.account!r} exceeds its rate", wait)
        seconds = route.deadline_seconds
        if head.deadline is not None:
            seconds = min(seconds, head.deadline)
        node.budget.earn()
        priority = Priority.ORDER if route.not_repeatable else Priority.LOOKUP
        return Ok(AdmittedRequest(route, node.get_service(route.service), seconds, priority))

    def refuse_body(self, size: int) -> Result[AdmittedRequest, Reject]:
        """Return the answer that rejects a body that is too large."""
        reason = f"a body of {size} bytes exceeds {self.maximum_body}"
        return _reject(413, reason)


def _find_key_error(route: Route, key: str) -> str:
    if not key and route.key_required:
        return f"route {route.name!r} requires the header Idempotency-Key"
    if len(key) > MAXIMUM_KEY_LENGTH:
        return f"the header Idempotency-Key exceeds {MAXIMUM_KEY_LENGTH} characters"
    if any("\ud800" <= character <= "\udfff" for character in key):
        return "the header Idempotency-Key is not UTF-8"
    return ""


def _reject(
    status: int, reason: str, retry_after: float | None = None
) -> Result[AdmittedRequest, Reject]:
    return Error(Reject(status, ExecutionOutcome.NOT_RUN, reason, retry_after))
