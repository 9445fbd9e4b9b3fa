"""The processes of a site whose platform settles how callers, targets and operators speak."""

from ._dialect import (
    CallerFields,
    EdgePort,
    EdgeQuestions,
    HubCalls,
    HubPort,
    RawHeaders,
    TargetDialect,
)
from ._edge import EdgeAddresses, EdgeService
from ._hub import HubService, HubSettings
from ._process import run_site_service

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
