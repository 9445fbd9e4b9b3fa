"""The operator's catalogue of routes and services; the highest version is in force."""

from ._accounts import AccountTable, Authentication
from ._compression import compress_content, decompress_content
from ._messages import (
    NO_VERSION,
    CallerLimits,
    Catalogue,
    CatalogueCopy,
    CatalogueReader,
    CatalogueState,
    CatalogueStored,
    ClientAccount,
    PutCatalogue,
    ReadCatalogue,
    Route,
    ServiceSpec,
    UnreadableCatalogueError,
    WeightedService,
)
from ._register import CatalogueRegister, UnknownCommandError
from ._table import RouteMatch, RouteTable
from ._validation import find_validation_errors

__all__ = [
    "NO_VERSION",
    "AccountTable",
    "Authentication",
    "CallerLimits",
    "Catalogue",
    "CatalogueCopy",
    "CatalogueReader",
    "CatalogueRegister",
    "CatalogueState",
    "CatalogueStored",
    "ClientAccount",
    "PutCatalogue",
    "ReadCatalogue",
    "Route",
    "RouteMatch",
    "RouteTable",
    "ServiceSpec",
    "UnknownCommandError",
    "UnreadableCatalogueError",
    "WeightedService",
    "compress_content",
    "decompress_content",
    "find_validation_errors",
]
