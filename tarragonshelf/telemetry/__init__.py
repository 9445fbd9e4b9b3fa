"""Logs and metrics of a process."""

from ._administration import AdministrationServer, Metrics
from ._logs import LogBudget, create_clock, create_logger

__all__ = [
    "AdministrationServer",
    "LogBudget",
    "Metrics",
    "create_clock",
    "create_logger",
]
