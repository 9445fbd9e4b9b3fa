"""Reads the parts of a settings file that entries and controls share."""

from pathlib import Path
from typing import Any

import orjson

from ..forwarding import HedgingSettings, RetryBudgetSettings
from ._values import (
    MAXIMUM_PORT,
    MalformedError,
    read_integer,
    read_list,
    read_number,
    read_seconds,
    read_table,
    read_text,
)

FILE_VARIABLE = "TARRAGONSHELF_NODE_FILE"
# The platform closes internal ports to callers and targets, so the connections between processes
# need no secret from the operators. The handshake still requires a value.
NETWORK_SECRET = b"closed network between the processes of a site"

# The smaller reading of the unit, which is safe with both.
BYTES_PER_MB = 1_000_000

# Retry budget if the platform states none.
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_RETRY_SLACK = 20.0
DEFAULT_RETRY_WINDOW_SECONDS = 10.0
# Below the median most hedges would be in vain. Above 0.99 an entry, which measures a few hundred
# response times of a route, knows too few of them.
MINIMUM_HEDGING_QUANTILE = 0.5
MAXIMUM_HEDGING_QUANTILE = 0.99


def read_settings(path: str) -> dict[str, Any]:
    """Return the fields of a settings file; raise ``OSError`` or ``MalformedError``."""
    try:
        return read_table(orjson.loads(Path(path).read_bytes()), "settings")
    except orjson.JSONDecodeError as error:
        raise MalformedError(f"settings: {error}") from error


def read_seed_vms(fields: dict[str, Any]) -> tuple[str, ...]:
    """Return the IP addresses of the hubs that the file names."""
    seeds = read_list(fields.get("seeds"), "seeds")
    return tuple(read_text(seed, "seeds").rpartition(":")[0] for seed in seeds)


def read_seed_hubs(fields: dict[str, Any]) -> tuple[str, ...]:
    """Return the peer addresses of the hubs that the file names."""
    port = read_peer_port(fields)
    return tuple(f"{vm}:{port}" for vm in read_seed_vms(fields))


def read_bounds(fields: dict[str, Any]) -> dict[str, str]:
    """Return the bounds, which are a table or a list of ``name=value`` strings."""
    bounds = fields.get("bounds") or {}
    if isinstance(bounds, dict):
        return {name: str(value) for name, value in bounds.items()}
    pairs = (read_text(item, "bounds").partition("=") for item in bounds)
    return {name: value for name, _, value in pairs}


def read_memory_bytes(fields: dict[str, Any]) -> int | None:
    """Return the memory of the process, or None if it is not stated."""
    value = read_table(fields.get("limits") or {}, "limits").get("memory_mb")
    if value is None:
        return None
    return read_integer(value, "limits.memory_mb", minimum=1) * BYTES_PER_MB


def read_maximum_descriptors(fields: dict[str, Any]) -> int | None:
    """Return how many descriptors the process may open, or None if it is not stated."""
    value = read_table(fields.get("limits") or {}, "limits").get("max_fds")
    return None if value is None else read_integer(value, "limits.max_fds", minimum=1)


def read_retry_budget(bounds: dict[str, str]) -> RetryBudgetSettings:
    """Return the retry budget of the site."""
    return RetryBudgetSettings(
        ratio=float(bounds.get("retry_budget_ratio", DEFAULT_RETRY_RATIO)),
        slack=float(bounds.get("retry_budget_slack", DEFAULT_RETRY_SLACK)),
        window=read_bound(bounds, "budget_window", DEFAULT_RETRY_WINDOW_SECONDS),
    )


def read_hedging(fields: dict[str, Any]) -> HedgingSettings | None:
    """Return the limit of early hedged requests, or None if the file states none."""
    if fields.get("hedging") is None:
        return None
    table = read_table(fields["hedging"], "hedging")
    unknown = sorted(set(table) - {"share", "quantile"})
    if unknown:
        raise MalformedError(f"hedging.{unknown[0]}: is not a setting")
    share = _read_number_between(table.get("share"), "hedging.share", 0.0, 1.0)
    if "quantile" not in table:
        return HedgingSettings(share)
    quantile = _read_number_between(
        table["quantile"], "hedging.quantile", MINIMUM_HEDGING_QUANTILE, MAXIMUM_HEDGING_QUANTILE
    )
    return HedgingSettings(share, quantile)


def _read_number_between(value: Any, field_path: str, minimum: float, maximum: float) -> float:
    number = read_number(value, field_path)
    if not minimum <= number <= maximum:
        raise MalformedError(f"{field_path}: {number} is not from {minimum} to {maximum}")
    return number


def read_bound(bounds: dict[str, str], name: str, default: float) -> float:
    """Return a bound in seconds."""
    return read_seconds(bounds[name], f"bounds.{name}") if name in bounds else default


def _read_ports(fields: dict[str, Any]) -> list[int]:
    ports = read_list(fields.get("internal_ports"), "internal_ports")
    if not ports:
        raise MalformedError("internal_ports: is empty")
    return [
        read_integer(port, "internal_ports", minimum=1, maximum=MAXIMUM_PORT) for port in ports
    ]


def read_peer_port(fields: dict[str, Any]) -> int:
    """Return the peer port of hubs: the first internal port, the same on all VMs."""
    return _read_ports(fields)[0]


def read_relay_port(fields: dict[str, Any]) -> int:
    """Return the peer port of entries: the last internal port, the same on all VMs."""
    return _read_ports(fields)[-1]


def get_own_address(fields: dict[str, Any], port: int) -> str:
    """Return the address of a port on this VM."""
    own_ip = read_text(fields.get("ip"), "ip")
    return f"{own_ip}:{port}"
