"""Connections to targets: what they may send, and what reading it may take from a process."""

from ..utils import create_lazy_getattr

# Names are imported on first use, so that a control does not import the HTTP parser.
__getattr__ = create_lazy_getattr(
    __name__,
    {
        "_connection": (
            "MAXIMUM_RESPONSE_BYTES",
            "WRITE_BYTES",
            "ExchangeFailedError",
            "ResponseProblem",
            "TargetConnection",
        ),
        "_idle": ("IdleConnections",),
        "_resources": ("ResponseResources",),
        "_validity": ("find_malformed_head",),
        "base": ("RawHeaders", "ResponseDialect"),
    },
)

__all__ = [
    "MAXIMUM_RESPONSE_BYTES",
    "WRITE_BYTES",
    "ExchangeFailedError",
    "IdleConnections",
    "RawHeaders",
    "ResponseDialect",
    "ResponseProblem",
    "ResponseResources",
    "TargetConnection",
    "find_malformed_head",
]
