"""HTTP servers of a process, whose connections share one budget for memory."""

from ._administration import AdministrationServer
from ._connections import (
    MAXIMUM_REQUEST_LINE_BYTES,
    CallerConnection,
    CallerConnections,
    is_idle,
)
from ._http_server import WRITE_BYTES, HttpServer, create_web_server, write_in_parts
from ._memory import read_resident_bytes

__all__ = [
    "MAXIMUM_REQUEST_LINE_BYTES",
    "WRITE_BYTES",
    "AdministrationServer",
    "CallerConnection",
    "CallerConnections",
    "HttpServer",
    "create_web_server",
    "is_idle",
    "read_resident_bytes",
    "write_in_parts",
]
