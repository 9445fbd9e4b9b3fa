"""The operator's document: routes and services as columns and rows."""

from typing import Any

import orjson

from ..catalogue import (
    CallerLimits,
    Catalogue,
    CatalogueReader,
    Route,
    ServiceSpec,
    UnreadableCatalogueError,
    WeightedService,
)
from ._values import (
    MalformedError,
    read_integer,
    read_list,
    read_number,
    read_seconds,
    read_table,
    read_text,
    read_version,
)

REPEATABLE_KIND = "safe"
KINDS = frozenset({REPEATABLE_KIND, "unsafe"})
LOWEST_PRIORITY = 9


class DocumentReader(CatalogueReader):
    """Reads documents in the platform's form."""

    def read(self, content: bytes) -> Catalogue:
        """Return the catalogue of a document; raises ``UnreadableCatalogueError``."""
        try:
            document = read_table(orjson.loads(content), "document")
            routes = _read_rows(document.get("routes"), "routes")
            services = _read_rows(document.get("services"), "services")
            return Catalogue(
                version=read_version(document.get("version"), "version"),
                routes=tuple(_read_route(row, f"routes[{i}]") for i, row in enumerate(routes)),
                services=tuple(
                    _read_service(row, f"services[{i}]") for i, row in enumerate(services)
                ),
                limits=_read_limits(read_table(document.get("limits"), "limits")),
            )
        except (orjson.JSONDecodeError, MalformedError) as error:
            raise UnreadableCatalogueError(str(error)) from error


def read_document_version(content: bytes) -> int:
    """Return the version that a document claims; raises ``UnreadableCatalogueError``."""
    return DocumentReader().read(content).version


def _read_rows(value: Any, place: str) -> list[dict[str, Any]]:
    """Return rows as tables without what is null, which means omitted."""
    table = read_table(value, place)
    columns = [
        read_text(name, f"{place}.columns")
        for name in read_list(table.get("columns"), f"{place}.columns")
    ]
    rows = []
    for index, row in enumerate(read_list(table.get("rows"), f"{place}.rows")):
        values = read_list(row, f"{place}.rows[{index}]")
        if len(values) != len(columns):
            raise MalformedError(f"{place}.rows[{index}]: has {len(values)} values")
        pairs = zip(columns, values, strict=True)
        rows.append({name: item for name, item in pairs if item is not None})
    return rows


def _read_route(row: dict[str, Any], place: str) -> Route:
    kind = read_text(row.get("kind"), f"{place}.kind")
    if kind not in KINDS:
        raise MalformedError(f"{place}.kind: {kind!r} is unknown")
    timeout = read_seconds(row.get("timeout"), f"{place}.timeout")
    objective = timeout
    if "target_latency" in row:
        objective = read_seconds(row["target_latency"], f"{place}.target_latency")
    return Route(
        name=read_text(row.get("name"), f"{place}.name"),
        host=read_text(row.get("host"), f"{place}.host"),
        prefix=read_text(row.get("path_prefix"), f"{place}.path_prefix"),
        is_repeatable=kind == REPEATABLE_KIND,
        timeout=timeout,
        objective=objective,
        priority=read_integer(row.get("priority", LOWEST_PRIORITY), f"{place}.priority"),
        maximum_attempts=read_integer(row.get("max_attempts", 1), f"{place}.max_attempts"),
        services=_read_shares(row, place),
    )


def _read_shares(row: dict[str, Any], place: str) -> tuple[WeightedService, ...]:
    if "traffic_split" not in row:
        return (WeightedService(read_text(row.get("service"), f"{place}.service"), 1.0),)
    place = f"{place}.traffic_split"
    parts = [read_table(item, place) for item in read_list(row["traffic_split"], place)]
    return tuple(
        WeightedService(
            read_text(part.get("service"), f"{place}.service"),
            read_number(part.get("weight"), f"{place}.weight"),
        )
        for part in parts
    )


def _read_service(row: dict[str, Any], place: str) -> ServiceSpec:
    return ServiceSpec(
        read_text(row.get("name"), f"{place}.name"),
        read_integer(row.get("max_conns", 1), f"{place}.max_conns"),
    )


def _read_limits(table: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        maximum_header=read_integer(table.get("max_header_bytes"), "limits.max_header_bytes"),
        maximum_body=read_integer(table.get("max_body_bytes"), "limits.max_body_bytes"),
        header_seconds=read_seconds(table.get("header_timeout"), "limits.header_timeout"),
        idle_seconds=read_seconds(table.get("idle_timeout"), "limits.idle_timeout"),
    )
