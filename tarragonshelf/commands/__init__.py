"""Operator commands that change the state of the fleet."""

from ._apply import LaggingEntry, RolloutStatus, apply_document
from ._initialize import initialize_fleet
from ._operator import OperatorClient, RefusedError, create_operator_client, list_attached_entries
from ._state import retire_vm, set_drained, settle_order

__all__ = [
    "LaggingEntry",
    "OperatorClient",
    "RefusedError",
    "RolloutStatus",
    "apply_document",
    "create_operator_client",
    "initialize_fleet",
    "list_attached_entries",
    "retire_vm",
    "set_drained",
    "settle_order",
]
