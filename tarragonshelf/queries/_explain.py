"""Why one request ended as it did, from the logs of all processes."""

from collections.abc import Iterable
from dataclasses import dataclass

from ._timeline import Event, format_event

# What a site believed of a target is told from so many milliseconds before the request on.
BELIEF_MILLISECONDS = 15000
BELIEFS = frozenset({"target_avoided", "target_recovered", "target_changed"})
REASONS = {
    "may-have-run": "the connection to target {target} broke after the request was sent, so it "
    "may have run and was not sent again",
    "no-target": "no target of service {service} was known or left to try",
    "all-full": "every target of service {service} held more than it could finish in time",
    "no-budget": "targets refused it or failed, and the budget for repeats was used up",
    "no-attempt-left": "as many targets as its route allows had failed it",
    "held-back": "the same request had broken the connections of several targets before",
    "deadline": "its time was up: the caller's own or the route's",
}


@dataclass(frozen=True, slots=True)
class Explanation:
    """The events that touched a request in causal order, and the cause in one sentence."""

    events: tuple[Event, ...]
    cause: str


def explain_request(events: Iterable[Event], request: str) -> Explanation:
    """Return one request's way and the cause of its end.

    Parameters
    ----------
    events : iterable of Event
        Of all processes, in causal order.
    request : str
        The request's id.
    """
    kept = list(events)
    own = [event for event in kept if str(event.fields.get("request", "")) == request]
    if not own:
        return Explanation((), f"no log names request {request}: it never reached an entry's code")
    targets = {event.fields["target"] for event in own if event.fields.get("target")}
    entries = {event.fields.get("vm") for event in own}
    first, last = _read_milliseconds(own[0]), _read_milliseconds(own[-1])
    beliefs = [
        event
        for event in kept
        if event.fields.get("event") in BELIEFS
        and event.fields.get("target") in targets
        and event.fields.get("vm") in entries
        and first - BELIEF_MILLISECONDS <= _read_milliseconds(event) <= last
    ]
    way = sorted([*own, *beliefs], key=lambda event: event.stamp)
    return Explanation(tuple(way), _find_cause(own))


def format_explanation(explanation: Explanation) -> list[str]:
    """Return the lines for a person, the cause last."""
    lines = [format_event(event) for event in explanation.events]
    return [*lines, f"cause: {explanation.cause}"]


def _find_cause(own: list[Event]) -> str:
    fields = own[-1].fields
    attempts = [event.fields for event in own if event.fields.get("event") == "attempt_failed"]
    if fields.get("event") == "request_abandoned":
        return "the caller closed its connection before there was an answer"
    if fields.get("event") == "request_answered":
        return _describe_answer(fields, attempts)
    if fields.get("event") != "request_refused":
        return "the logs end before the request did; the entry stopped, or lines were left out"
    target = attempts[-1].get("target", "") if attempts else ""
    known = {"service": fields.get("service", ""), "target": target}
    reason = REASONS.get(str(fields.get("reason")), str(fields.get("reason")))
    told = "it had not run" if not fields.get("has_run") else "it may have run"
    return f"{reason.format(**known)}; the caller was told that {told}"


def _describe_answer(fields: dict, attempts: list[dict]) -> str:
    target, status = fields.get("target"), fields.get("status")
    seconds = fields.get("seconds")
    if int(status) >= 500:
        return f"target {target} itself answered {status} after {seconds} s, and no other could"
    if attempts:
        tried = ", ".join(f"{item.get('target')} {item.get('outcome')}" for item in attempts)
        return f"target {target} answered {status} after {seconds} s; before it: {tried}"
    return f"target {target} answered {status} after {seconds} s at the first attempt"


def _read_milliseconds(event: Event) -> int:
    return int(str(event.fields["time"]).split(".")[0])
