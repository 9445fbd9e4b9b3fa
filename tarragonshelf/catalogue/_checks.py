"""Faults of a catalogue that was read in full."""

from collections import Counter
from math import isfinite

from ._messages import Catalogue, Route


def find_validation_errors(catalogue: Catalogue) -> tuple[str, ...]:
    """Return every fault with its place; a sound catalogue has none."""
    known = {service.name for service in catalogue.services}
    faults = []
    places = Counter((route.host, route.prefix) for route in catalogue.routes)
    for index, route in enumerate(catalogue.routes):
        place = f"routes[{index}]"
        faults += (f"{place}.{fault}" for fault in _find_route_faults(route, known))
        if places[route.host, route.prefix] > 1:
            faults.append(f"{place}: host {route.host!r} and prefix {route.prefix!r} stand twice")
    names = Counter(service.name for service in catalogue.services)
    faults += (f"services: {name!r} stands twice" for name, count in names.items() if count > 1)
    return tuple(faults)


def _find_route_faults(route: Route, known: set[str]) -> list[str]:
    faults = []
    if not route.host:
        faults.append("host: is empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        faults.append(f"prefix: {route.prefix!r} does not begin and end with a slash")
    if not (isfinite(route.timeout) and route.timeout > 0):
        faults.append("timeout: is not above 0")
    if route.maximum_attempts < 1:
        faults.append("maximum_attempts: is below 1")
    for item in route.services:
        if item.service not in known:
            faults.append(f"services: {item.service!r} is unknown")
        if not item.weight >= 0:
            faults.append(f"services: the weight of {item.service!r} is below 0")
    if not sum(item.weight for item in route.services) > 0:
        faults.append("services: the weights add up to 0")
    return faults
