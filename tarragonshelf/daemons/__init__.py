"""Processes that run the state machines: they do the input and output and read the clock."""

from ._control import ControlService, create_control_service
from ._entry import EntryService, create_entry_service
from ._process import run_service

__all__ = [
    "ControlService",
    "EntryService",
    "create_control_service",
    "create_entry_service",
    "run_service",
]
