"""Creates a control process from a settings file."""

from typing import Any

from ..hub import HubRecord
from ..replication import FaultTolerance
from ..site import HubService, HubSettings
from ._documents import DocumentReader
from ._hub_requests import PlatformHubRequestHandler
from ._settings import (
    NETWORK_SECRET,
    get_own_address,
    read_bounds,
    read_maximum_descriptors,
    read_memory_bytes,
    read_peer_port,
    read_retry_budget,
    read_seed_vms,
)
from ._values import read_integer, read_table, read_text

# Port for metrics, as in deploy/system.toml. Each role has its own, as two may share a VM.
METRICS_PORT = 9101


def create_service(fields: dict[str, Any]) -> HubService:
    """Return the control's service."""
    return HubService(
        create_hub_settings(fields),
        reader=DocumentReader(),
        request_handler=PlatformHubRequestHandler(),
        secret=NETWORK_SECRET,
    )


def reload_service(service: HubService, fields: dict[str, Any]) -> None:
    """Apply the settings that may change while the process runs."""
    service.reload(read_seed_vms(fields), read_fault_tolerance(fields))


def create_hub_settings(fields: dict[str, Any]) -> HubSettings:
    """Return the settings of a hub; raise ``MalformedError`` for a missing or invalid field."""
    listen = read_table(fields.get("listen"), "listen")
    api_address = read_text(listen.get("control"), "listen.control")
    own_ip = read_text(fields.get("ip"), "ip")
    return HubSettings(
        name=read_text(fields.get("node_name"), "node_name"),
        record=HubRecord(
            vm=own_ip,
            address=f"{own_ip}:{read_peer_port(fields)}",
            announcements=api_address,
            data_centre=read_text(fields.get("zone"), "zone"),
        ),
        regions=dict(read_table(fields.get("zones"), "zones")),
        seeds=read_seed_vms(fields),
        is_first_start=fields.get("bootstrap") is True,
        data_folder=read_text(fields.get("data_dir"), "data_dir"),
        api_address=api_address,
        metrics_address=get_own_address(fields, METRICS_PORT),
        peer_listen_address=read_text(fields.get("peer_listen", ""), "peer_listen"),
        budget=read_retry_budget(read_bounds(fields)),
        tolerance=read_fault_tolerance(fields),
        memory_bytes=read_memory_bytes(fields),
        maximum_descriptors=read_maximum_descriptors(fields),
    )


def read_fault_tolerance(fields: dict[str, Any]) -> FaultTolerance:
    """Return what may be lost at once; one machine if the file does not state it."""
    if fields.get("fault_tolerance") is None:
        return FaultTolerance()
    table = read_table(fields["fault_tolerance"], "fault_tolerance")
    machines, zones, regions = (
        read_integer(table.get(name) or 0, f"fault_tolerance.{name}", minimum=0)
        for name in ("machines", "zones", "regions")
    )
    return FaultTolerance(machines, zones, regions)
