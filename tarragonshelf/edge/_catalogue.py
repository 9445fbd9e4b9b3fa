"""The catalogue that an entry has in force, with the tables made of it."""

from random import Random

from ..catalogue import (
    NO_VERSION,
    AccountTable,
    Authentication,
    Catalogue,
    CatalogueCopy,
    CatalogueReader,
    Route,
    RouteMatch,
    RouteTable,
    UnreadableCatalogueError,
    decompress_content,
)
from ..replication import EmitEvent


class ActiveCatalogue:
    """The catalogue in force; its version never decreases.

    Parameters
    ----------
    reader : CatalogueReader
        Parses operators' documents.
    random : Random
        Starts the weighted cycles of split routes.
    """

    def __init__(self, *, reader: CatalogueReader, random: Random):
        self.reader = reader
        self.random = random
        self.catalogue: Catalogue | None = None
        self._routes: RouteTable | None = None
        self._accounts: AccountTable | None = None
        self._maximum_connections: dict[str, int | None] = {}

    @property
    def version(self) -> int:
        """The version of the catalogue in force, or ``NO_VERSION``."""
        return self.catalogue.version if self.catalogue else NO_VERSION

    @property
    def needs_keys(self) -> bool:
        """Whether callers need the key of a client account."""
        return self._accounts.needs_keys

    def activate(self, copy: CatalogueCopy) -> list[EmitEvent]:
        """Put a catalogue in force if its version is higher than the present one.

        One that this build cannot read, though a hub of another build has stored it, is reported,
        and the present one stays.
        """
        if copy.latest_version <= self.version:
            return []
        try:
            self.catalogue = self.reader.read(decompress_content(copy.content))
        except UnreadableCatalogueError as error:
            fields = {"version": copy.version, "problem": str(error)}
            return [EmitEvent("catalogue_unreadable", fields)]
        self._routes = RouteTable(self.catalogue, self.random)
        self._accounts = AccountTable(self.catalogue)
        self._maximum_connections = {
            spec.name: spec.maximum_connections for spec in self.catalogue.services
        }
        return [EmitEvent("catalogue_in_force", {"version": copy.version})]

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route of a request; only call this with a catalogue in force."""
        return self._routes.match(host, path)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request without choosing a service."""
        return None if self._routes is None else self._routes.find(host, path)

    def authenticate(self, route: Route, key_digest: bytes) -> Authentication:
        """Return whether a request may be forwarded with a key, and its client account."""
        return self._accounts.authenticate(route, key_digest)

    def get_maximum_connections(self, service: str) -> int | None:
        """Return how many connections a target of a service accepts, or None if unknown."""
        return self._maximum_connections.get(service)
