"""Logs, metrics and health checks of a process."""

from ._administration import AdministrationServer, Metrics
from ._logs import LogRateLimiter, create_clock, create_logger
from ._unknown import create_unknown_reporter

__all__ = [
    "AdministrationServer",
    "LogRateLimiter",
    "Metrics",
    "create_clock",
    "create_logger",
    "create_unknown_reporter",
]
