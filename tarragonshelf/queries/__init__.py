"""Queries of the fleet and of its logs that change no state."""

from ._explain import Explanation, explain_request, format_explanation
from ._fleet import (
    FleetStatus,
    fetch_configuration,
    fetch_fleet_status,
    fetch_unresolved_orders,
    format_status,
)
from ._loss_plot import draw_losses
from ._losses import Loss, LossCategory, LossReport, format_losses, list_losses
from ._timeline import Event, TimelineFilter, format_event, merge_logs, select_order_events
from ._where import fetch_placement, format_placement

__all__ = [
    "Event",
    "Explanation",
    "FleetStatus",
    "Loss",
    "LossCategory",
    "LossReport",
    "TimelineFilter",
    "draw_losses",
    "explain_request",
    "fetch_configuration",
    "fetch_fleet_status",
    "fetch_placement",
    "fetch_unresolved_orders",
    "format_event",
    "format_explanation",
    "format_losses",
    "format_placement",
    "format_status",
    "list_losses",
    "merge_logs",
    "select_order_events",
]
