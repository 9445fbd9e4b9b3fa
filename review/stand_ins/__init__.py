"""Stand-ins for clients, servers and the platform, after the users' pages."""

from .backend import Backend, Exchange
from .case import Case, run_case
from .client import Answer, Client, send_request
from .platform import Operator, Platform, Record

__all__ = [
    "Answer",
    "Backend",
    "Case",
    "Client",
    "Exchange",
    "Operator",
    "Platform",
    "Record",
    "run_case",
    "send_request",
]
