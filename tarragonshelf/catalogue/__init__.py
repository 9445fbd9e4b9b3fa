"""The operator's catalogue of routes and services, in force by highest version."""

from ._checks import find_validation_errors
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
from ._packing import compress_content, decompress_content
from ._register import CatalogueRegister
from ._table import RouteMatch, RouteTable

__all__ = [
    "Catalogue",
    "CatalogueCopy",
    "CatalogueReader",
    "CatalogueRegister",
    "CatalogueState",
    "CatalogueStored",
    "CallerLimits",
    "RouteMatch",
    "PutCatalogue",
    "ReadCatalogue",
    "Route",
    "RouteTable",
    "ServiceSpec",
    "UnreadableCatalogueError",
    "WeightedService",
    "find_validation_errors",
    "compress_content",
    "decompress_content",
]
