"""Entry and control processes of a site, independent of the outer platform's HTTP API."""

from ..utils import create_lazy_getattr

# Names are imported on first use, so that an entry does not import the modules of a control.
__getattr__ = create_lazy_getattr(
    __name__,
    {
        "_interfaces": (
            "CallerFields",
            "EdgeQueries",
            "DiscoveryHandler",
            "HubRequestHandler",
            "HubCommands",
            "RawHeaders",
            "RequestProblem",
            "HttpDialect",
        ),
        "_edge": ("EdgeAddresses", "EdgeService"),
        "_hub": ("HubService", "HubSettings"),
        "_process": ("run_site_service",),
    },
)

__all__ = [
    "CallerFields",
    "EdgeAddresses",
    "EdgeQueries",
    "DiscoveryHandler",
    "EdgeService",
    "HubRequestHandler",
    "HubCommands",
    "HubService",
    "HubSettings",
    "RawHeaders",
    "RequestProblem",
    "HttpDialect",
    "run_site_service",
]
