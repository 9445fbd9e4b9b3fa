"""Explains the outcome of one request from the logs of all processes."""

from collections.abc import Iterable
from dataclasses import dataclass

from ._timeline import Event, format_event

# State changes of the request's targets are included from this time before its first event on.
STATE_WINDOW_MILLISECONDS = 15000
STATE_EVENTS = frozenset(
    {
        "target_avoided",
        "target_recovered",
        "target_changed",
        "target_leaving",
        "limit_declared",
        "limit_changed",
        "limit_lifted",
        "pause_requested",
        "pause_ended",
    }
)
REFUSAL_CAUSES = {
    "may-have-run": "the connection to target {target} broke after the request was sent, so it "
    "may have run and was not sent again",
    "no-target": "no target of service {service} was known, or all known ones had been tried",
    "all-full": "every target of service {service} held more than it could finish in time",
    "overload": "service {service} was short of room, which was left to more urgent requests or "
    "to accounts below their fair share, or no target could have started it in time",
    "no-memory": "its body did not fit into the memory that the entry holds for callers",
    "no-budget": "targets refused it or failed, and the budget for repeats was used up",
    "no-attempt-left": "it had failed at as many targets as its route allows",
    "held-back": "attempts of this or an identical request had broken the connections of several "
    "targets",
    "limited": "every target of service {service} that could take it names a request rate limit, "
    "and these limits were used up",
    "paused": "every target of service {service} that could take it had asked this entry to send "
    "nothing for some time",
    "over-allowance": "it was beyond the allowance of account {account}, as decided by {decider}",
    "no-path": "the entry could reach no target, and no other entry that could took the request",
    "outdated": "the entry knew no route for it, and had no current hub that would have told it "
    "of a newer version",
    "stopping": "it was complete only after the entry had begun to stop",
    "deadline": "its time was up: the deadline of the caller or of the route had passed",
}


@dataclass(frozen=True, slots=True)
class Explanation:
    """The events related to a request in causal order, and the cause of its outcome."""

    events: tuple[Event, ...]
    cause: str


def explain_request(events: Iterable[Event], request: str) -> Explanation:
    """Return the events related to one request and the cause of its outcome.

    The events are those that name the request, and the state changes of the targets it was sent
    to, as logged by the same entries.

    Parameters
    ----------
    events : iterable of Event
        Events of all processes in causal order.
    request : str
        The request's id.
    """
    all_events = list(events)
    request_events = [
        event for event in all_events if str(event.fields.get("request", "")) == request
    ]
    if not request_events:
        return Explanation(
            (), f"no log names request {request}: it never reached the request handler of an entry"
        )
    targets = {event.fields["target"] for event in request_events if event.fields.get("target")}
    entries = {event.fields.get("vm") for event in request_events}
    first, last = _read_milliseconds(request_events[0]), _read_milliseconds(request_events[-1])
    state_changes = [
        event
        for event in all_events
        if event.fields.get("event") in STATE_EVENTS
        and event.fields.get("target") in targets
        and event.fields.get("vm") in entries
        and first - STATE_WINDOW_MILLISECONDS <= _read_milliseconds(event) <= last
    ]
    related = sorted([*request_events, *state_changes], key=lambda event: event.stamp)
    return Explanation(tuple(related), _find_cause(request_events))


def format_explanation(explanation: Explanation) -> list[str]:
    """Return the explanation as human-readable lines, the cause last."""
    lines = [format_event(event) for event in explanation.events]
    return [*lines, f"cause: {explanation.cause}"]


def _find_cause(request_events: list[Event]) -> str:
    fields = request_events[-1].fields
    attempts = [
        event.fields for event in request_events if event.fields.get("event") == "attempt_failed"
    ]
    if fields.get("event") == "request_abandoned":
        return "the caller closed its connection before an answer was available"
    if fields.get("event") == "request_answered":
        return _describe_answer(fields, attempts)
    if fields.get("event") == "allowance_refused":
        fields = {**fields, "reason": "over-allowance"}
    elif fields.get("event") != "request_refused":
        return (
            "the logs do not contain the end of the request: the entry stopped, or the log rate "
            "limit left the line out"
        )
    target = attempts[-1].get("target", "") if attempts else ""
    names = ("service", "account", "decider")
    placeholders = {"target": target, **{name: fields.get(name, "") for name in names}}
    reason = REFUSAL_CAUSES.get(str(fields.get("reason")), str(fields.get("reason")))
    reported = "it had not run" if not fields.get("has_run") else "it may have run"
    return f"{reason.format(**placeholders)}; the caller was told that {reported}"


def _describe_answer(fields: dict, attempts: list[dict]) -> str:
    target, status = fields.get("target"), fields.get("status")
    seconds = fields.get("seconds")
    if int(status) >= 500:
        return (
            f"target {target} itself answered {status} after {seconds} s, and no other target "
            "was able to serve the request"
        )
    if attempts:
        failed_attempts = ", ".join(
            f"{item.get('target')} {item.get('outcome')}" for item in attempts
        )
        return f"target {target} answered {status} after {seconds} s; before it: {failed_attempts}"
    if fields.get("hedge") == "won":
        return f"target {target} answered {status} after {seconds} s, a hedge before the first one"
    return f"target {target} answered {status} after {seconds} s at the first attempt"


def _read_milliseconds(event: Event) -> int:
    return int(str(event.fields["time"]).split(".")[0])
