"""Creates an entry process from a settings file."""

from typing import Any

from ..edge import EdgeSettings
from ..site import EdgeAddresses, EdgeService
from ._documents import DocumentReader
from ._entry_http import PlatformDialect, PlatformDiscoveryHandler
from ._settings import (
    NETWORK_SECRET,
    get_own_address,
    read_bound,
    read_bounds,
    read_hedging,
    read_maximum_descriptors,
    read_memory_bytes,
    read_relay_port,
    read_retry_budget,
    read_seed_hubs,
)
from ._values import read_table, read_text

# Port for metrics, as in deploy/system.toml. Each role has its own, as two may share a VM.
METRICS_PORT = 9100
# Callers may use an address for at most this long before they resolve it again, so that they learn
# of a planned stop in time.
MAXIMUM_ADDRESS_LIFETIME_SECONDS = 1.5
# Used if the platform states no grace period for a stop.
DEFAULT_GRACE_SECONDS = 6.0
# Used if the platform does not state which share of the working targets must get requests.
DEFAULT_FLOOR_SHARE = 0.7


def create_service(fields: dict[str, Any]) -> EdgeService:
    """Return the entry's service."""
    settings, addresses = create_edge_settings(fields)
    return EdgeService(
        settings,
        addresses,
        reader=DocumentReader(),
        dialect=PlatformDialect(),
        discovery_handler=PlatformDiscoveryHandler(settings.address_lifetime_seconds),
        secret=NETWORK_SECRET,
    )


def reload_service(service: EdgeService, fields: dict[str, Any]) -> None:
    """Apply the settings that may change while the process runs."""
    service.reload(read_seed_hubs(fields))


def create_edge_settings(fields: dict[str, Any]) -> tuple[EdgeSettings, EdgeAddresses]:
    """Return the settings and addresses of an entry; raise ``MalformedError``."""
    listen = read_table(fields.get("listen"), "listen")
    bounds = read_bounds(fields)
    caller_address = read_text(listen.get("front"), "listen.front")
    discovery = [listen[name] for name in ("ready", "directory") if listen.get(name)]
    settings = EdgeSettings(
        vm=read_text(fields.get("node_name"), "node_name"),
        address=caller_address,
        data_centre=read_text(fields.get("zone"), "zone"),
        regions=dict(read_table(fields.get("zones"), "zones")),
        hubs=read_seed_hubs(fields),
        relay_address=get_own_address(fields, read_relay_port(fields)),
        budget=read_retry_budget(bounds),
        floor_share=float(bounds.get("floor_share", DEFAULT_FLOOR_SHARE)),
        grace_seconds=read_bound(bounds, "grace", DEFAULT_GRACE_SECONDS),
        address_lifetime_seconds=min(
            MAXIMUM_ADDRESS_LIFETIME_SECONDS,
            read_bound(bounds, "ttl_max", MAXIMUM_ADDRESS_LIFETIME_SECONDS),
        ),
        hedging=read_hedging(fields),
    )
    addresses = EdgeAddresses(
        callers=caller_address,
        discovery=tuple(dict.fromkeys(discovery)),
        metrics=get_own_address(fields, METRICS_PORT),
        # Not a field of the platform; for VMs with several addresses.
        source=read_text(fields.get("source_ip", ""), "source_ip"),
        memory_bytes=read_memory_bytes(fields),
        maximum_descriptors=read_maximum_descriptors(fields),
    )
    return settings, addresses
