"""What changes the system."""

from ._apply import Applied, LaggingEntry, apply_document
from ._initialize import initialize_fleet
from ._operator import OperatorClient, RefusedError, create_operator_client, list_attached
from ._state import retire_vm, set_drained, settle_order

__all__ = [
    "Applied",
    "LaggingEntry",
    "OperatorClient",
    "RefusedError",
    "apply_document",
    "create_operator_client",
    "initialize_fleet",
    "list_attached",
    "retire_vm",
    "set_drained",
    "settle_order",
]
