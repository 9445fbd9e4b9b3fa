"""Routing of requests to services by host and path prefix."""

from dataclasses import dataclass
from random import Random

from ._messages import Catalogue, Route


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route of a request and the service that was chosen for it."""

    route: Route
    service: str


class RouteTable:
    """Routes of one catalogue by host, the longest prefix first.

    Parameters
    ----------
    catalogue : Catalogue
        The version in force.
    random : Random
        Starts each weighted round-robin cycle at a random point, so that entries differ.
    """

    def __init__(self, catalogue: Catalogue, random: Random):
        self._by_host: dict[str, list[Route]] = {}
        self._current_weights: dict[str, list[float]] = {}
        for route in sorted(catalogue.routes, key=lambda item: -len(item.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
            if len(route.services) > 1:
                self._current_weights[route.name] = [random.random() for _ in route.services]

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route of a request with the next service, or None if there is none."""
        route = self.find(host, path)
        return None if route is None else RouteMatch(route, self._pick_service(route))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request without an effect on the choice of later services."""
        name = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def _pick_service(self, route: Route) -> str:
        """Choose a service by smooth weighted round-robin."""
        if len(route.services) == 1:
            return route.services[0].service
        current_weights = self._current_weights[route.name]
        total = sum(item.weight for item in route.services)
        for index, item in enumerate(route.services):
            current_weights[index] += item.weight / total
        chosen = max(
            (index for index, item in enumerate(route.services) if item.weight > 0),
            key=current_weights.__getitem__,
        )
        current_weights[chosen] -= 1.0
        return route.services[chosen].service
