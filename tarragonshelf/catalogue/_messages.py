"""Contents of a catalogue, and the messages that carry one."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..base import Message

# Below all versions of documents, which begin at 0.
NO_VERSION = -1


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Route for the requests of one host below one path prefix; times are in seconds.

    ``timeout`` bounds the time until the caller gets an answer, ``objective`` is the latency
    objective, ``maximum_attempts`` the number of targets that a request may be sent to.
    Priority 0 is the highest. Requests of a public route need no key of a client account.
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
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service.

    One target accepts ``maximum_connections`` from all entries together; None if it is not stated.
    """

    name: str
    maximum_connections: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests; sizes are in bytes, times in seconds."""

    maximum_header: int = 16384
    maximum_body: int = 64 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, which callers name by a key.

    Attributes
    ----------
    name : str
        The account.
    key_digests : tuple of bytes
        SHA-256 digests of its keys. The keys themselves stay in the operator's document.
    rate : float
        Requests per second that all entries together may forward; 0 if there is no limit.
    burst : float
        Requests that they may forward on top of these at once.
    priority : int or None
        Takes precedence over the priority of a route; 0 is the highest.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the routes, services, caller limits and client accounts.

    ``accounts`` is None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: CallerLimits = CallerLimits()
    accounts: tuple[ClientAccount, ...] | None = None


class UnreadableCatalogueError(ValueError):
    """Raised if a document cannot be decompressed or parsed as a catalogue."""


class CatalogueReader(ABC):
    """Parser of the operator's document, whose format depends on the platform."""

    @abstractmethod
    def read(self, content: bytes) -> Catalogue:
        """Return the parsed catalogue; raises ``UnreadableCatalogueError``."""


@dataclass(frozen=True, slots=True)
class PutCatalogue(Message):
    """Command: put a document in force; ``content`` is compressed and stored unchanged."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class CatalogueStored(Message):
    """Reply to ``PutCatalogue``; ``version`` is the one in force afterwards."""

    version: int


@dataclass(frozen=True, slots=True)
class ReadCatalogue(Message):
    """Request for a linearizable read of the document in force."""


@dataclass(frozen=True, slots=True)
class CatalogueCopy(Message):
    """A compressed document and its version; ``content`` is empty if there is none."""

    version: int
    content: bytes = b""

    @property
    def latest_version(self) -> int:
        """The version of the document, or ``NO_VERSION``."""
        return self.version if self.content else NO_VERSION


@dataclass(frozen=True, slots=True)
class CatalogueState(Message):
    """The replicated state; ``index`` is the last applied log index.

    ``content`` is empty if there is no document yet. Then the version is 0, as builds of before
    expect, and means nothing.
    """

    index: int = 0
    version: int = 0
    content: bytes = b""
