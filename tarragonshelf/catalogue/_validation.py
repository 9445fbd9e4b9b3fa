"""Validation of a parsed catalogue."""

from collections import Counter
from math import isfinite

from ._messages import Catalogue, ClientAccount, Route


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
    errors += _find_account_errors(catalogue.accounts or ())
    return tuple(errors)


def _find_account_errors(accounts: tuple[ClientAccount, ...]) -> list[str]:
    """Return the errors of all accounts; none of them contains a key or its digest."""
    errors = []
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for index, account in enumerate(accounts):
        place = f"accounts[{index}]"
        if account.name in names:
            errors.append(f"{place}: {account.name!r} stands twice")
        names.add(account.name)
        others = {holders.setdefault(digest, account.name) for digest in account.key_digests}
        errors += (
            f"{place}: {account.name!r} shares a key with {name!r}"
            for name in sorted(others - {account.name})
        )
        for field, value in (("rate", account.rate), ("burst", account.burst)):
            if not (isfinite(value) and value >= 0):
                errors.append(f"{place}.{field}: is not a number from 0")
    return errors


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
