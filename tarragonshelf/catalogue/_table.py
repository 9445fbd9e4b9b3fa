"""Finds the route of a request, and the service that takes it."""

from dataclasses import dataclass
from random import Random

from ._messages import Catalogue, Route


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route of a request and the service that is its turn."""

    route: Route
    service: str


class RouteTable:
    """Routes of one catalogue by host, the longest prefix first.

    Parameters
    ----------
    catalogue : Catalogue
        The version in force.
    random : Random
        Places each split at another point of its cycle, so that entries differ.
    """

    def __init__(self, catalogue: Catalogue, random: Random):
        self._by_host: dict[str, list[Route]] = {}
        self._turns: dict[str, list[float]] = {}
        for route in sorted(catalogue.routes, key=lambda item: -len(item.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
            if len(route.services) > 1:
                self._turns[route.name] = [random.random() for _ in route.services]

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route of a request, or None if there is none."""
        name = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return RouteMatch(route, self._pick_service(route))
        return None

    def _pick_service(self, route: Route) -> str:
        """Return the service that is furthest behind its weight (smooth weighted turns)."""
        if len(route.services) == 1:
            return route.services[0].service
        turns = self._turns[route.name]
        total = sum(item.weight for item in route.services)
        for index, item in enumerate(route.services):
            turns[index] += item.weight / total
        chosen = max(
            (index for index, item in enumerate(route.services) if item.weight > 0),
            key=turns.__getitem__,
        )
        turns[chosen] -= 1.0
        return route.services[chosen].service
