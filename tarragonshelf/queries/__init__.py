"""What only reads the system."""

from ._fleet import (
    FleetStatus,
    describe_fleet,
    describe_unresolved,
    fetch_configuration,
    format_status,
)
from ._timeline import Event, TimelineFilter, format_event, merge_logs, select_order

__all__ = [
    "Event",
    "FleetStatus",
    "TimelineFilter",
    "describe_fleet",
    "describe_unresolved",
    "fetch_configuration",
    "format_event",
    "format_status",
    "merge_logs",
    "select_order",
]
