"""The control that a settings file describes."""

from typing import Any

from ..hub import HubRecord
from ..site import HubService, HubSettings
from ._control_calls import ControlCalls
from ._documents import DocumentReader
from ._settings import (
    NETWORK_SECRET,
    get_own_address,
    read_bounds,
    read_budget_terms,
    read_peer_port,
    read_seed_vms,
)
from ._values import read_table, read_text

# The port for metrics, as in deploy/system.toml; one for each role, as two may share a VM.
METRICS_PORT = 9101


def create_service(fields: dict[str, Any]) -> HubService:
    """Return the control's service."""
    return HubService(
        create_hub_settings(fields),
        reader=DocumentReader(),
        calls=ControlCalls(),
        secret=NETWORK_SECRET,
    )


def reload_service(service: HubService, fields: dict[str, Any]) -> None:
    """Take over what may change while the process runs."""
    service.reload(read_seed_vms(fields))


def create_hub_settings(fields: dict[str, Any]) -> HubSettings:
    """Return the settings of a hub; raises ``MalformedError``."""
    listen = read_table(fields.get("listen"), "listen")
    calls = read_text(listen.get("control"), "listen.control")
    own = read_text(fields.get("ip"), "ip")
    return HubSettings(
        name=read_text(fields.get("node_name"), "node_name"),
        record=HubRecord(
            vm=own,
            address=f"{own}:{read_peer_port(fields)}",
            announcements=calls,
            data_centre=read_text(fields.get("zone"), "zone"),
        ),
        places=dict(read_table(fields.get("zones"), "zones")),
        seeds=read_seed_vms(fields),
        is_first_start=fields.get("bootstrap") is True,
        data_folder=read_text(fields.get("data_dir"), "data_dir"),
        calls=calls,
        metrics=get_own_address(fields, METRICS_PORT),
        listen=read_text(fields.get("peer_listen", ""), "peer_listen"),
        budget=read_budget_terms(read_bounds(fields)),
    )
