"""The settings file of a process: what both roles read from it."""

from pathlib import Path
from typing import Any

import orjson

from ..forwarding import RetryBudgetSettings
from ._values import MalformedError, read_integer, read_list, read_seconds, read_table, read_text

FILE_VARIABLE = "TARRAGONSHELF_NODE_FILE"
# Internal ports are closed to callers and targets, so the connections between our processes
# need no secret of the operators' own here.
NETWORK_SECRET = b"closed network between the processes of a site"

# Where the platform states no budget for repeats.
RETRY_RATIO = 0.1
RETRY_SLACK = 20.0
RETRY_WINDOW_SECONDS = 10.0


def read_settings(path: str) -> dict[str, Any]:
    """Return the fields of a settings file; raises ``OSError`` or ``MalformedError``."""
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
    """Return the bounds, which stand as a table, or as texts ``name=value``."""
    bounds = fields.get("bounds") or {}
    if isinstance(bounds, dict):
        return {name: str(value) for name, value in bounds.items()}
    pairs = (read_text(item, "bounds").partition("=") for item in bounds)
    return {name: value for name, _, value in pairs}


def read_budget_terms(bounds: dict[str, str]) -> RetryBudgetSettings:
    """Return how many repeats the site allows."""
    return RetryBudgetSettings(
        ratio=float(bounds.get("retry_budget_ratio", RETRY_RATIO)),
        slack=float(bounds.get("retry_budget_slack", RETRY_SLACK)),
        window=read_bound(bounds, "budget_window", RETRY_WINDOW_SECONDS),
    )


def read_bound(bounds: dict[str, str], name: str, default: float) -> float:
    """Return a bound in seconds."""
    return read_seconds(bounds[name], f"bounds.{name}") if name in bounds else default


def _read_ports(fields: dict[str, Any]) -> list[int]:
    ports = read_list(fields.get("internal_ports"), "internal_ports")
    return [read_integer(port, "internal_ports", least=1) for port in ports]


def read_peer_port(fields: dict[str, Any]) -> int:
    """Return the port of hubs, the first of the range and the same on all VMs."""
    return _read_ports(fields)[0]


def get_own_address(fields: dict[str, Any], port: int) -> str:
    """Return an address on this VM."""
    own = read_text(fields.get("ip"), "ip")
    return f"{own}:{port}"
