"""The processes of a site whose platform settles how callers, targets and operators speak."""

from ..utils import create_loader

# Each name is loaded on first use, as a process is either an entry or a control.
__getattr__ = create_loader(
    __name__,
    {
        "_dialect": (
            "CallerFields",
            "EdgePort",
            "EdgeQuestions",
            "HubCalls",
            "HubPort",
            "RawHeaders",
            "TargetDialect",
        ),
        "_edge": ("EdgeAddresses", "EdgeService"),
        "_hub": ("HubService", "HubSettings"),
        "_process": ("run_site_service",),
    },
)

__all__ = [
    "CallerFields",
    "EdgeAddresses",
    "EdgePort",
    "EdgeQuestions",
    "EdgeService",
    "HubCalls",
    "HubPort",
    "HubService",
    "HubSettings",
    "RawHeaders",
    "TargetDialect",
    "run_site_service",
]
