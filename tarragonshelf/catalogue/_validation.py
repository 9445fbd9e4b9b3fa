"""Validation of a parsed catalogue."""

from collections import Counter
from math import isfinite

from ._messages import Catalogue, Route


def find_validation_errors(catalogue: Catalogue) -> tuple[str, ...]:
    """Return all errors, each with its place; empty for a valid catalogue."""
    known_services = {service.name for service in catalogue.services}
    errors = []
    places = Counter((route.host, route.prefix) for route in catalogue.routes)
    for index, route in enumerate(catalogue.routes):
        place = f"routes[{index}]"
        errors += (f"{place}.{message}" for message in _find_route_errors(route, known_services))
        if places[route.host, route.prefix] > 1:
            errors.append(f"{place}: host {route.host!r} and prefix {route.prefix!r} stand twice")
    names = Counter(service.name for service in catalogue.services)
    errors += (f"services: {name!r} stands twice" for name, count in names.items() if count > 1)
    return tuple(errors)


def _find_route_errors(route: Route, known_services: set[str]) -> list[str]:
    errors = []
    if not route.host:
        errors.append("host: is empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        errors.append(f"prefix: {route.prefix!r} does not begin and end with a slash")
    if not (isfinite(route.timeout) and route.timeout > 0):
        errors.append("timeout: is not above 0")
    if route.maximum_attempts < 1:
        errors.append("maximum_attempts: is below 1")
    for item in route.services:
        if item.service not in known_services:
            errors.append(f"services: {item.service!r} is unknown")
        if not item.weight >= 0:
            errors.append(f"services: the weight of {item.service!r} is below 0")
    total = sum(item.weight for item in route.services)
    if not total > 0:
        errors.append("services: the weights add up to 0")
    if not isfinite(total):
        errors.append("services: the sum of the weights is too large")
    return errors
