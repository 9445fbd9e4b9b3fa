"""Admission of requests at services that are short of room: ranks, and shares of accounts."""

from ._controller import AdmissionController
from ._messages import Overload, OverloadCause, ServiceLoad

__all__ = [
    "AdmissionController",
    "Overload",
    "OverloadCause",
    "ServiceLoad",
]
