"""What only reads the system."""

from ._explain import Explanation, explain_request, format_explanation
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
    "Explanation",
    "FleetStatus",
    "TimelineFilter",
    "describe_fleet",
    "describe_unresolved",
    "explain_request",
    "fetch_configuration",
    "format_event",
    "format_explanation",
    "format_status",
    "merge_logs",
    "select_order",
]
