"""The settings file of a process, decoded into the product's own settings."""

from pathlib import Path
from typing import Any

import orjson

from ..edge import EdgeSettings
from ..hub import HubRecord
from ..site import EdgeAddresses, HubSettings
from ._values import MalformedError, read_integer, read_list, read_seconds, read_table, read_text

FILE_VARIABLE = "TARRAGONSHELF_NODE_FILE"
# The port for metrics, as in deploy/system.toml; one for each role, as two may share a VM.
ENTRY_METRICS_PORT = 9100
CONTROL_METRICS_PORT = 9101
# Addresses are asked for again after so long, so that a planned stop is known in time.
ADDRESS_SECONDS = 1.5
# Where the platform states no budget for repeats.
RETRY_RATIO = 0.1
RETRY_SLACK = 20.0
RETRY_WINDOW_SECONDS = 10.0
# Internal ports are closed to callers and targets, so the connections between our processes
# need no secret of the operators' own here.
NETWORK_SECRET = b"closed network between the processes of a site"


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
    port = _read_peer_port(fields)
    return tuple(f"{vm}:{port}" for vm in read_seed_vms(fields))


def create_edge_settings(fields: dict[str, Any]) -> tuple[EdgeSettings, EdgeAddresses]:
    """Return the settings of an entry; raises ``MalformedError``."""
    listen = read_table(fields.get("listen"), "listen")
    bounds = _read_bounds(fields)
    callers = read_text(listen.get("front"), "listen.front")
    questions = [listen[name] for name in ("ready", "directory") if listen.get(name)]
    settings = EdgeSettings(
        vm=read_text(fields.get("node_name"), "node_name"),
        address=callers,
        data_centre=read_text(fields.get("zone"), "zone"),
        places=dict(read_table(fields.get("zones"), "zones")),
        hubs=read_seed_hubs(fields),
        retry_ratio=float(bounds.get("retry_budget_ratio", RETRY_RATIO)),
        retry_slack=float(bounds.get("retry_budget_slack", RETRY_SLACK)),
        retry_window=_read_bound(bounds, "budget_window", RETRY_WINDOW_SECONDS),
        address_seconds=min(ADDRESS_SECONDS, _read_bound(bounds, "ttl_max", ADDRESS_SECONDS)),
    )
    addresses = EdgeAddresses(
        callers=callers,
        questions=tuple(dict.fromkeys(questions)),
        metrics=_get_own_address(fields, ENTRY_METRICS_PORT),
    )
    return settings, addresses


def create_hub_settings(fields: dict[str, Any]) -> HubSettings:
    """Return the settings of a hub; raises ``MalformedError``."""
    listen = read_table(fields.get("listen"), "listen")
    calls = read_text(listen.get("control"), "listen.control")
    own = read_text(fields.get("ip"), "ip")
    return HubSettings(
        name=read_text(fields.get("node_name"), "node_name"),
        record=HubRecord(
            vm=own,
            address=f"{own}:{_read_peer_port(fields)}",
            announcements=calls,
            data_centre=read_text(fields.get("zone"), "zone"),
        ),
        places=dict(read_table(fields.get("zones"), "zones")),
        seeds=read_seed_vms(fields),
        is_first_start=fields.get("bootstrap") is True,
        data_folder=read_text(fields.get("data_dir"), "data_dir"),
        calls=calls,
        metrics=_get_own_address(fields, CONTROL_METRICS_PORT),
    )


def _read_bounds(fields: dict[str, Any]) -> dict[str, str]:
    """Return the bounds, which stand as a table, or as texts ``name=value``."""
    bounds = fields.get("bounds") or {}
    if isinstance(bounds, dict):
        return {name: str(value) for name, value in bounds.items()}
    pairs = (read_text(item, "bounds").partition("=") for item in bounds)
    return {name: value for name, _, value in pairs}


def _read_bound(bounds: dict[str, str], name: str, default: float) -> float:
    return read_seconds(bounds[name], f"bounds.{name}") if name in bounds else default


def _read_ports(fields: dict[str, Any]) -> list[int]:
    ports = read_list(fields.get("internal_ports"), "internal_ports")
    return [read_integer(port, "internal_ports", least=1) for port in ports]


def _read_peer_port(fields: dict[str, Any]) -> int:
    """Return the port of hubs, the first of the range and the same on all VMs."""
    return _read_ports(fields)[0]


def _get_own_address(fields: dict[str, Any], port: int) -> str:
    own = read_text(fields.get("ip"), "ip")
    return f"{own}:{port}"
