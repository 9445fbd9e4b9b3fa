"""Logs as JSON lines with stamps of a hybrid logical clock."""

import json
import sys
import time

import orjson
import structlog

from ..utils import HybridClock, TokenBuckets, format_stamp

# Longer texts are cut, as clients choose some of them.
MAXIMUM_TEXT_CHARACTERS = 2048


def create_logger(*, vm: str, role: str, clock: HybridClock):
    """Return a logger that writes JSON lines with VM, role and stamp to standard output."""

    def add_stamp(logger, method, fields):
        fields["time"] = format_stamp(clock.stamp())
        return fields

    return structlog.wrap_logger(
        structlog.BytesLogger(sys.stdout.buffer),
        processors=[add_stamp, _shorten_texts, structlog.processors.JSONRenderer(_serialize)],
        wrapper_class=structlog.BoundLogger,
    ).bind(vm=vm, role=role)


def _serialize(fields, **options) -> bytes:
    try:
        return orjson.dumps(fields, default=str, option=orjson.OPT_SORT_KEYS)
    except TypeError:
        # Text of a client with bytes that are not UTF-8, which were decoded as surrogates.
        return json.dumps(fields, default=str, sort_keys=True).encode()


def _shorten_texts(logger, method, fields):
    """Keep only the beginning and the length of long texts."""
    for name, value in fields.items():
        if isinstance(value, str) and len(value) > MAXIMUM_TEXT_CHARACTERS:
            fields[name] = f"{value[:MAXIMUM_TEXT_CHARACTERS]}... ({len(value)} characters)"
    return fields


def create_clock() -> HybridClock:
    """Return a hybrid clock that reads the physical time of this machine."""
    return HybridClock(time.time)


class LogRateLimiter:
    """Limits the rate of log lines per event name.

    Parameters
    ----------
    logger
        Writes the lines.

    Notes
    -----
    Failures have priority over successes: routine events, which are logged for each request even
    if it succeeds, have a lower limit. Dropped lines are counted and reported.
    """

    LINES_PER_SECOND = 60.0
    ROUTINE_LINES_PER_SECOND = 20.0
    ROUTINE_EVENTS = frozenset({"request_answered"})

    def __init__(self, logger):
        self.logger = logger
        self._buckets = TokenBuckets()
        self._dropped_counts: dict[str, int] = {}

    def write(self, event: str, **fields) -> None:
        """Write a line unless the event has reached its rate limit."""
        now = time.monotonic()
        rate = (
            self.ROUTINE_LINES_PER_SECOND
            if event in self.ROUTINE_EVENTS
            else self.LINES_PER_SECOND
        )
        # The capacity allows a burst of one second's lines.
        self._buckets.refill(now, event, rate=rate, capacity=rate)
        if not self._buckets.take(event):
            self._dropped_counts[event] = self._dropped_counts.get(event, 0) + 1
            return
        self.logger.msg(event, **fields)

    def report_dropped(self) -> None:
        """Log how many lines of each event were dropped since the last report."""
        dropped_counts, self._dropped_counts = self._dropped_counts, {}
        for event, count in dropped_counts.items():
            self.logger.msg("lines_left_out", of=event, count=count)
