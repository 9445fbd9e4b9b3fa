"""Merges the logs of all processes into one causally ordered sequence of events."""

import heapq
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ..utils import parse_stamp

LEADING_FIELDS = ("time", "vm", "role", "event")


@dataclass(frozen=True, slots=True)
class Event:
    """One log line; ``stamp`` is its hybrid logical clock timestamp."""

    stamp: int
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class TimelineFilter:
    """Criteria that an event has to match; empty criteria match every event.

    ``since`` and ``until`` are milliseconds since the epoch, ``request`` is ``VM:NUMBER`` or a
    number.
    """

    request: str = ""
    target: str = ""
    service: str = ""
    since: int = 0
    until: int = 0

    def includes(self, event: Event) -> bool:
        """Return whether an event matches all criteria."""
        fields = event.fields
        milliseconds = int(str(fields["time"]).split(".")[0])
        number = str(fields.get("request", ""))
        request_ids = (number, f"{fields.get('vm', '')}:{number}")
        return (
            (not self.request or (number != "" and self.request in request_ids))
            and (not self.target or fields.get("target") == self.target)
            and (not self.service or fields.get("service") == self.service)
            and (not self.since or milliseconds >= self.since)
            and (not self.until or milliseconds <= self.until)
        )


def merge_logs(logs: Iterable[Iterable[str]]) -> Iterator[Event]:
    """Return the events of all logs in the order of their timestamps.

    Lines that are not events, such as the traceback of a crashed interpreter, are skipped.
    """
    streams = [_read_events(log) for log in logs]
    return heapq.merge(*streams, key=lambda event: event.stamp)


def select_order_events(events: Iterable[Event], key: str) -> Iterator[Event]:
    """Return the events of one order.

    These are the events that name its key, and later events of requests that named it.

    Parameters
    ----------
    events : iterable of Event
        Events of all processes in causal order.
    key : str
        The Idempotency-Key, or the complete ``ACCOUNT|ROUTE|KEY``.
    """
    requests: set[tuple[str, int]] = set()
    for event in events:
        fields = event.fields
        event_key = str(fields.get("key", ""))
        request = (str(fields.get("vm", "")), fields.get("request", 0))
        if event_key and (event_key == key or event_key.split("|")[-1] == key):
            requests.add(request)
            yield event
        elif request in requests:
            yield event


def format_event(event: Event) -> str:
    """Return an event as one human-readable line."""
    fields = event.fields
    head = " ".join(str(fields.get(name, "")) for name in LEADING_FIELDS)
    rest = " ".join(
        f"{name}={fields[name]}" for name in sorted(fields) if name not in LEADING_FIELDS
    )
    return f"{head} {rest}".rstrip()


def _read_events(lines: Iterable[str]) -> Iterator[Event]:
    for line in lines:
        try:
            # A log collector may have prefixed the line with its own time and the machine's name.
            fields = json.loads(line[max(0, line.find("{")) :])
            yield Event(parse_stamp(fields["time"]), fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
