"""What a catalogue holds, and the messages that carry one."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..base import Message


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix; times in seconds.

    ``timeout`` bounds how long a caller is kept waiting, ``objective`` is the latency objective,
    ``maximum_attempts`` the number of targets that may get one request. Priority 0 ranks first.
    """

    name: str
    host: str
    prefix: str
    is_repeatable: bool
    timeout: float
    objective: float
    priority: int
    maximum_attempts: int
    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; ``maximum_connections`` is what one target accepts from all entries."""

    name: str
    maximum_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    maximum_header: int = 16384
    maximum_body: int = 64 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of all routes and services."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: CallerLimits = CallerLimits()


class UnreadableCatalogueError(ValueError):
    """A document is not a catalogue that can be read in full."""


class CatalogueReader(ABC):
    """Reads the operator's document, whose form the product does not know."""

    @abstractmethod
    def read(self, content: bytes) -> Catalogue:
        """Return the catalogue of a document; raises ``UnreadableCatalogueError``."""


@dataclass(frozen=True, slots=True)
class PutCatalogue(Message):
    """Asks to put a document in force; ``content`` is packed and kept byte for byte."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class CatalogueStored(Message):
    """Acknowledges a document; ``version`` is the one in force afterwards."""

    version: int


@dataclass(frozen=True, slots=True)
class ReadCatalogue(Message):
    """Asks for the newest document with proof that it is the newest."""


@dataclass(frozen=True, slots=True)
class CatalogueCopy(Message):
    """A packed document and its version; version 0 means that there is none."""

    version: int
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class CatalogueState(Message):
    """The replicated state; ``index`` is the last log index that is applied."""

    index: int = 0
    version: int = 0
    content: bytes = b""
