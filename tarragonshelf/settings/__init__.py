"""JSON settings of processes, whose errors are reported all at once."""

from ._settings import (
    ControlAddress,
    ControlSettings,
    EntrySettings,
    OperatorSettings,
    load_control_settings,
    load_entry_settings,
    load_operator_settings,
    read_secret,
)

__all__ = [
    "ControlAddress",
    "ControlSettings",
    "EntrySettings",
    "OperatorSettings",
    "load_control_settings",
    "load_entry_settings",
    "load_operator_settings",
    "read_secret",
]
