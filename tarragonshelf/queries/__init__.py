"""What only reads the system."""

from ._explain import Explanation, explain_request, format_explanation
from ._fleet import (
    FleetStatus,
    describe_fleet,
    describe_unresolved,
    fetch_configuration,
    format_status,
)
from ._loss_plot import draw_losses
from ._losses import Knowledge, Loss, LossLedger, format_losses, list_losses
from ._timeline import Event, TimelineFilter, format_event, merge_logs, select_order

__all__ = [
    "Event",
    "Explanation",
    "FleetStatus",
    "Knowledge",
    "Loss",
    "LossLedger",
    "TimelineFilter",
    "describe_fleet",
    "describe_unresolved",
    "draw_losses",
    "explain_request",
    "fetch_configuration",
    "format_event",
    "format_explanation",
    "format_losses",
    "format_status",
    "list_losses",
    "merge_logs",
    "select_order",
]
