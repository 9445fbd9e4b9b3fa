"""Logs and metrics of a process."""

from ._logs import LogRateLimiter, create_clock, create_logger
from ._metrics import Metrics
from ._unknown import create_unknown_reporter

__all__ = [
    "LogRateLimiter",
    "Metrics",
    "create_clock",
    "create_logger",
    "create_unknown_reporter",
]
