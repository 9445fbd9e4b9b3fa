"""Logs as JSON lines with a hybrid logical clock."""

import sys
import time

import orjson
import structlog

from ..utils import HybridClock, format_stamp


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
