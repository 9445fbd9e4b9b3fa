"""The operator's catalogue of routes and services, in force by highest version."""

from ._checks import find_faults
from ._messages import (
    CallerLimits,
    Catalogue,
    CatalogueCopy,
    CatalogueReader,
    CatalogueState,
    CatalogueStored,
    PutCatalogue,
    ReadCatalogue,
    Route,
    ServiceSpec,
    UnreadableCatalogueError,
    WeightedService,
)
from ._packing import pack_content, unpack_content
from ._register import CatalogueRegister
from ._table import Matched, RouteTable

__all__ = [
    "Catalogue",
    "CatalogueCopy",
    "CatalogueReader",
    "CatalogueRegister",
    "CatalogueState",
    "CatalogueStored",
    "CallerLimits",
    "Matched",
    "PutCatalogue",
    "ReadCatalogue",
    "Route",
    "RouteTable",
    "ServiceSpec",
    "UnreadableCatalogueError",
    "WeightedService",
    "find_faults",
    "pack_content",
    "unpack_content",
]
