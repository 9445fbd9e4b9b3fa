"""Logs as JSON lines with a hybrid logical clock."""

import sys
import time

import orjson
import structlog

from ..utils import HybridClock, TokenBuckets, format_stamp


def create_logger(*, vm: str, role: str, clock: HybridClock):
    """Return a logger that writes JSON lines to standard output."""

    def add_time(logger, method, fields):
        fields["time"] = format_stamp(clock.stamp())
        return fields

    return structlog.wrap_logger(
        structlog.BytesLogger(sys.stdout.buffer),
        processors=[add_time, structlog.processors.JSONRenderer(_dump)],
        wrapper_class=structlog.BoundLogger,
    ).bind(vm=vm, role=role)


def _dump(fields, **options) -> bytes:
    return orjson.dumps(fields, default=str, option=orjson.OPT_SORT_KEYS)


def create_clock() -> HybridClock:
    """Return a hybrid clock over this machine's time."""
    return HybridClock(time.time)


class LogRateLimiter:
    """Bounds how many lines of each kind are written in a second.

    Parameters
    ----------
    logger
        Where lines go.

    Notes
    -----
    Failures come before successes: a kind of event that tells of each request, also of those
    that went well, has the smaller share. What was left out is counted and told.
    """

    LINES_PER_SECOND = 60.0
    ROUTINE_LINES_PER_SECOND = 20.0
    ROUTINE = frozenset({"request_answered"})

    def __init__(self, logger):
        self.logger = logger
        self._buckets = TokenBuckets()
        self._dropped: dict[str, int] = {}

    def write(self, event: str, **fields) -> None:
        """Write a line if there is room for it."""
        now = time.monotonic()
        rate = self.ROUTINE_LINES_PER_SECOND if event in self.ROUTINE else self.LINES_PER_SECOND
        # A bucket holds the lines of one second.
        self._buckets.refill(now, event, rate=rate, capacity=rate)
        if not self._buckets.take(event):
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return
        self.logger.msg(event, **fields)

    def report_dropped(self) -> None:
        """Tell how many lines were left out since the last time."""
        dropped, self._dropped = self._dropped, {}
        for event, count in dropped.items():
            self.logger.msg("lines_left_out", of=event, count=count)
