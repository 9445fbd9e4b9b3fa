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
            errors.append(f"{place}: duplicate host {route.host!r} and prefix {route.prefix!r}")
    names = Counter(service.name for service in catalogue.services)
    errors += (f"services: duplicate name {name!r}" for name, count in names.items() if count > 1)
    return tuple(errors)


def _find_route_errors(route: Route, known_services: set[str]) -> list[str]:
    errors = []
    if not route.host:
        errors.append("host: must not be empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        errors.append(f"prefix: must begin and end with a slash, got {route.prefix!r}")
    if not (isfinite(route.timeout) and route.timeout > 0):
        errors.append(f"timeout: must be finite and greater than 0, got {route.timeout!r}")
    if route.maximum_attempts < 1:
        errors.append(f"maximum_attempts: must be at least 1, got {route.maximum_attempts!r}")
    for item in route.services:
        if item.service not in known_services:
            errors.append(f"services: {item.service!r} is not defined in this catalogue")
        if not item.weight >= 0:
            errors.append(
                f"services: weight of {item.service!r} must be at least 0, got {item.weight!r}"
            )
    if not sum(item.weight for item in route.services) > 0:
        errors.append("services: sum of weights must be greater than 0")
    return errors
