"""Schema and validation of the operators' document."""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any

from expression import Error, Ok, Result
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

_STRICT = ConfigDict(extra="forbid", strict=True)


@dataclass(frozen=True)
class Finding:
    """A validation error of a document or of settings, with its place."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class Region:
    """A region and its data centres."""

    name: str = Field(min_length=1)
    data_centres: tuple[str, ...] = Field(min_length=1)


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class Detection:
    """Trade-off of a service between detection time and false ejections.

    ``false_ejection_rate`` and ``miss_rate`` are error probabilities of one sequential test.
    ``hang_seconds`` is the response time-out while there are too few samples for an adaptive
    one. ``probation_seconds`` is the duration of a target's first ejection.
    """

    false_ejection_rate: float = Field(default=1e-4, gt=0, lt=0.5)
    miss_rate: float = Field(default=1e-2, gt=0, lt=0.5)
    hang_seconds: float = Field(default=1.0, gt=0, le=60)
    probation_seconds: float = Field(default=10.0, gt=0, le=3600)


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class Service:
    """A service; ``floor`` is the minimum number of healthy targets that ejections must leave.

    ``resend_window`` is how long the key of a settled order is kept, in seconds.
    ``refusal_statuses`` are the HTTP statuses that mean that a target did not run the request.
    """

    name: str = Field(min_length=1)
    targets: int = Field(ge=1)
    floor: int = Field(ge=0)
    slots: int = Field(default=3, ge=1)
    resend_window: float = Field(default=86_400.0, gt=0)
    refusal_statuses: tuple[int, ...] = Field(default=(503,))
    detection: Detection = Detection()


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class Route:
    """Route by path prefix and methods; ``deadline_seconds`` bounds the whole request."""

    path: str = Field(pattern="^/")
    service: str
    methods: tuple[str, ...] = Field(default=("GET",), min_length=1)
    not_repeatable: bool = False
    key_required: bool = True
    deadline_seconds: float = Field(default=10.0, gt=0, le=600)

    @property
    def name(self) -> str:
        """The name that identifies the route in keys, logs and metrics."""
        return f"{','.join(self.methods)} {self.path}"


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class Account:
    """A client account; ``rate`` limits its requests per second over the whole fleet."""

    name: str = Field(min_length=1)
    rate: float = Field(gt=0)
    burst: float = Field(default=20.0, ge=1)


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class Document:
    """The whole configuration."""

    name: str = Field(min_length=1)
    regions: tuple[Region, ...] = Field(min_length=1)
    services: tuple[Service, ...] = Field(min_length=1)
    routes: tuple[Route, ...] = Field(min_length=1)
    accounts: tuple[Account, ...] = Field(default=())
    retry_ratio: float = Field(default=0.1, ge=0, le=1)
    address_ttl_seconds: float = Field(default=5.0, gt=0, le=300)
    addresses_per_caller: int = Field(default=3, ge=1)

    def find_region(self, data_centre: str) -> str:
        """Return the region of a data centre, or an empty string if it is in none."""
        for region in self.regions:
            if data_centre in region.data_centres:
                return region.name
        return ""


_ADAPTER = TypeAdapter(Document)


def parse_document(text: str | bytes) -> Result[tuple[Document, dict[str, Any]], list[Finding]]:
    """Parse and validate JSON text; return the document and its content, or all findings."""
    try:
        content = json.loads(text)
    except ValueError as error:
        return Error([Finding("document", f"is not JSON: {error}")])
    if not isinstance(content, dict):
        return Error([Finding("document", "is not a JSON object")])
    return check_document(content).map(lambda document: (document, content))


def check_document(content: dict[str, Any]) -> Result[Document, list[Finding]]:
    """Validate a document; return it, or all findings.

    Rules that relate several values are also checked if other values are invalid, as long as the
    values that they need are well formed.
    """
    findings = []
    document = None
    try:
        document = _ADAPTER.validate_json(json.dumps(content))
    except ValidationError as error:
        findings = describe_errors(error)
    findings += _find_cross_field_errors(content)
    return Error(findings) if findings or document is None else Ok(document)


def describe_errors(error: ValidationError) -> list[Finding]:
    """Return a finding for each error that pydantic reported."""
    errors = [item for item in error.errors() if not _is_secondary_error(item)]
    return [Finding(format_place(item["loc"]), _describe_error(item)) for item in errors]


def format_place(location: tuple[int | str, ...]) -> str:
    """Return a location as text, such as ``services[2].floor``."""
    place = ""
    for part in location:
        if isinstance(part, int):
            place += f"[{part}]"
        else:
            place += f".{part}" if place else part
    return place or "document"


def _is_secondary_error(item: dict[str, Any]) -> bool:
    """Return whether a list is reported as too short only because some items are invalid."""
    return item["type"] == "too_short" and len(item["input"]) >= item["ctx"]["min_length"]


def _describe_error(item: dict[str, Any]) -> str:
    if item["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return "is not a known key"
    if item["type"] == "json_invalid":
        return f"is not JSON: {item['ctx']['error']}"
    if item["type"] in ("missing", "missing_argument"):
        return "is missing"
    return f"{item['msg'][0].lower()}{item['msg'][1:]}, got {item['input']!r}"


def _find_cross_field_errors(content: dict[str, Any]) -> list[Finding]:
    services = _list_objects(content, "services")
    routes = _list_objects(content, "routes")
    accounts = _list_objects(content, "accounts")
    regions = _list_objects(content, "regions")
    findings = [finding for place, item in services for finding in _find_floor_errors(place, item)]
    known_services = {item.get("name") for _, item in services}
    for place, route in routes:
        if isinstance(route.get("service"), str) and route["service"] not in known_services:
            problem = f"service {route['service']!r} does not exist in this document"
            findings.append(Finding(f"{place}.service", problem))
    findings += _find_duplicates(services, "name", lambda item: item.get("name"))
    findings += _find_duplicates(accounts, "name", lambda item: item.get("name"))
    findings += _find_duplicates(regions, "name", lambda item: item.get("name"))
    findings += _find_duplicates(
        routes, "path", lambda item: (item.get("path"), str(item.get("methods")))
    )
    return findings


def _find_floor_errors(place: str, service: dict[str, Any]) -> Iterator[Finding]:
    floor, targets = service.get("floor"), service.get("targets")
    if type(floor) is int and type(targets) is int and floor > targets:
        name = service.get("name")
        problem = f"{floor} exceeds the {targets} targets of service {name!r}"
        yield Finding(f"{place}.floor", problem)


def _find_duplicates(items, field: str, get_identity) -> Iterator[Finding]:
    counts = Counter(get_identity(item) for _, item in items)
    seen = set()
    for place, item in items:
        identity = get_identity(item)
        if counts[identity] > 1 and identity in seen:
            yield Finding(f"{place}.{field}", f"{identity!r} stands twice")
        seen.add(identity)


def _list_objects(content: dict[str, Any], name: str) -> list[tuple[str, dict[str, Any]]]:
    items = content.get(name)
    if not isinstance(items, list):
        return []
    return [(f"{name}[{n}]", item) for n, item in enumerate(items) if isinstance(item, dict)]
