"""One causal order of events over the logs of all processes."""

import heapq
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ..utils import parse_stamp

SHOWN_FIRST = ("time", "vm", "role", "event")


@dataclass(frozen=True, slots=True)
class Event:
    """One log line; ``stamp`` is a hybrid clock's."""

    stamp: int
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class TimelineFilter:
    """Which events to show; an empty value shows all.

    ``since`` and ``until`` are milliseconds since the epoch, ``request`` is ``VM:NUMBER`` or a
    number.
    """

    request: str = ""
    target: str = ""
    service: str = ""
    since: int = 0
    until: int = 0

    def includes(self, event: Event) -> bool:
        """Tell whether an event is to be shown."""
        fields = event.fields
        milliseconds = int(str(fields["time"]).split(".")[0])
        number = str(fields.get("request", ""))
        names = (number, f"{fields.get('vm', '')}:{number}")
        return (
            (not self.request or (number != "" and self.request in names))
            and (not self.target or fields.get("target") == self.target)
            and (not self.service or fields.get("service") == self.service)
            and (not self.since or milliseconds >= self.since)
            and (not self.until or milliseconds <= self.until)
        )


def merge_logs(logs: Iterable[Iterable[str]]) -> Iterator[Event]:
    """Return the events of all logs in the order of their stamps.

    Lines that are not events, such as an interpreter's last words, are passed over.
    """
    streams = [_read_events(log) for log in logs]
    return heapq.merge(*streams, key=lambda event: event.stamp)


def select_order(events: Iterable[Event], key: str) -> Iterator[Event]:
    """Return how one order travelled: events that name its key, or a request that had it.

    Parameters
    ----------
    events : iterable of Event
        In causal order.
    key : str
        The Idempotency-Key, or the whole ``ACCOUNT|ROUTE|KEY``.
    """
    requests: set[tuple[str, int]] = set()
    for event in events:
        fields = event.fields
        named = str(fields.get("key", ""))
        request = (str(fields.get("vm", "")), fields.get("request", 0))
        if named and (named == key or named.split("|")[-1] == key):
            requests.add(request)
            yield event
        elif request in requests:
            yield event


def format_event(event: Event) -> str:
    """Return an event as one line for a person."""
    fields = event.fields
    head = " ".join(str(fields.get(name, "")) for name in SHOWN_FIRST)
    rest = " ".join(f"{name}={fields[name]}" for name in sorted(fields) if name not in SHOWN_FIRST)
    return f"{head} {rest}".rstrip()


def _read_events(lines: Iterable[str]) -> Iterator[Event]:
    for line in lines:
        try:
            # A collector may have put its own time and the machine in front.
            fields = json.loads(line[max(0, line.find("{")) :])
            yield Event(parse_stamp(fields["time"]), fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
