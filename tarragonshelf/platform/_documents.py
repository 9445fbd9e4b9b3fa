"""Reads the operator's document, whose routes, services and tenants are columns and rows."""

from collections.abc import Callable
from typing import Any

import orjson

from ..catalogue import (
    CallerLimits,
    Catalogue,
    CatalogueReader,
    ClientAccount,
    Route,
    ServiceSpec,
    UnreadableCatalogueError,
    WeightedService,
)
from ._values import (
    MalformedError,
    compute_key_digest,
    read_flag,
    read_integer,
    read_list,
    read_name,
    read_number,
    read_seconds,
    read_table,
    read_text,
    read_version,
)

REPEATABLE_KINDS = frozenset({"safe", "download"})
KINDS = REPEATABLE_KINDS | {"unsafe"}
LOWEST_PRIORITY = 9


class DocumentReader(CatalogueReader):
    """Reads documents in the platform's format."""

    def read(self, content: bytes) -> Catalogue:
        """Return the catalogue of a document; raise ``UnreadableCatalogueError``."""
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
                accounts=_read_accounts(document.get("tenants")),
            )
        except (orjson.JSONDecodeError, MalformedError) as error:
            raise UnreadableCatalogueError(str(error)) from error


def read_document_version(content: bytes) -> int:
    """Return the version of a document; raise ``UnreadableCatalogueError``."""
    return DocumentReader().read(content).version


def _read_rows(value: Any, field_path: str) -> list[dict[str, Any]]:
    """Return each row as a table from column names to values; null values are left out."""
    table = read_table(value, field_path)
    columns = [
        read_text(name, f"{field_path}.columns")
        for name in read_list(table.get("columns"), f"{field_path}.columns")
    ]
    rows = []
    for index, row in enumerate(read_list(table.get("rows"), f"{field_path}.rows")):
        values = read_list(row, f"{field_path}.rows[{index}]")
        if len(values) != len(columns):
            raise MalformedError(f"{field_path}.rows[{index}]: has {len(values)} values")
        pairs = zip(columns, values, strict=True)
        rows.append({name: item for name, item in pairs if item is not None})
    return rows


def _read_route(row: dict[str, Any], field_path: str) -> Route:
    kind = read_text(row.get("kind"), f"{field_path}.kind")
    if kind not in KINDS:
        raise MalformedError(f"{field_path}.kind: is unknown")
    timeout = read_seconds(row.get("timeout"), f"{field_path}.timeout")
    objective = timeout
    if "target_latency" in row:
        objective = read_seconds(row["target_latency"], f"{field_path}.target_latency")
    return Route(
        name=read_text(row.get("name"), f"{field_path}.name"),
        host=read_text(row.get("host"), f"{field_path}.host"),
        prefix=read_text(row.get("path_prefix"), f"{field_path}.path_prefix"),
        is_repeatable=kind in REPEATABLE_KINDS,
        timeout=timeout,
        objective=objective,
        priority=read_integer(row.get("priority", LOWEST_PRIORITY), f"{field_path}.priority"),
        maximum_attempts=read_integer(row.get("max_attempts", 1), f"{field_path}.max_attempts"),
        services=_read_traffic_split(row, field_path),
        is_public=read_flag(row.get("public", False), f"{field_path}.public"),
    )


def _read_traffic_split(row: dict[str, Any], field_path: str) -> tuple[WeightedService, ...]:
    if "traffic_split" not in row:
        return (WeightedService(read_text(row.get("service"), f"{field_path}.service"), 1.0),)
    field_path = f"{field_path}.traffic_split"
    parts = [read_table(item, field_path) for item in read_list(row["traffic_split"], field_path)]
    return tuple(
        WeightedService(
            read_text(part.get("service"), f"{field_path}.service"),
            read_number(part.get("weight"), f"{field_path}.weight"),
        )
        for part in parts
    )


def _read_service(row: dict[str, Any], field_path: str) -> ServiceSpec:
    maximum_connections = None
    if "max_conns" in row:
        maximum_connections = read_integer(row["max_conns"], f"{field_path}.max_conns")
    return ServiceSpec(read_text(row.get("name"), f"{field_path}.name"), maximum_connections)


def _read_limits(table: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        maximum_header=read_integer(table.get("max_header_bytes"), "limits.max_header_bytes"),
        maximum_body=read_integer(table.get("max_body_bytes"), "limits.max_body_bytes"),
        header_seconds=read_seconds(table.get("header_timeout"), "limits.header_timeout"),
        idle_seconds=read_seconds(table.get("idle_timeout"), "limits.idle_timeout"),
    )


def _read_accounts(table: Any) -> tuple[ClientAccount, ...] | None:
    """Return the client accounts, or None if the document contains no tenants."""
    if table is None:
        return None
    rows = _read_rows(table, "tenants")
    return tuple(_read_account(row, f"tenants[{i}]") for i, row in enumerate(rows))


def _read_account(row: dict[str, Any], field_path: str) -> ClientAccount:
    """Return the account of a row. Errors contain no values, as any of them may be a key."""

    def read(name: str, default: Any, read_value: Callable[[Any, str], Any]) -> Any:
        try:
            return read_value(row.get(name, default), f"{field_path}.{name}")
        except MalformedError:
            raise MalformedError(f"{field_path}.{name}: cannot be read") from None

    return ClientAccount(
        name=read("name", None, _read_account_name),
        key_digests=read("api_keys", [], _read_key_digests),
        rate=read("rate_per_s", 0, read_number),
        burst=read("burst", 0, read_number),
        priority=None if "priority" not in row else read("priority", None, read_integer),
    )


def _read_account_name(value: Any, field_path: str) -> str:
    """Return the name of an account, which is written to a header."""
    name = read_name(value, field_path)
    if not name or name != name.strip():
        raise MalformedError(f"{field_path}: is empty or begins or ends with a space")
    return name


def _read_key_digests(value: Any, field_path: str) -> tuple[bytes, ...]:
    keys = [read_text(key, field_path) for key in read_list(value, field_path)]
    if not all(keys):
        raise MalformedError(f"{field_path}: a key is empty")
    return tuple(compute_key_digest(key.encode()) for key in keys)
