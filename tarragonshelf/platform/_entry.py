"""The entry that a settings file describes."""

from typing import Any

from ..edge import EdgeSettings
from ..site import EdgeAddresses, EdgeService
from ._documents import DocumentReader
from ._entry_calls import EntryDialect, EntryQuestions
from ._settings import (
    NETWORK_SECRET,
    get_own_address,
    read_bound,
    read_bounds,
    read_budget_terms,
    read_seed_hubs,
)
from ._values import read_table, read_text

# The port for metrics, as in deploy/system.toml; one for each role, as two may share a VM.
METRICS_PORT = 9100
# Addresses are asked for again after so long, so that a planned stop is known in time.
ADDRESS_SECONDS = 1.5
# Where the platform does not say how long a stop may take.
GRACE_SECONDS = 6.0
# Where the platform does not say which share of working targets must get requests.
FLOOR_SHARE = 0.7


def create_service(fields: dict[str, Any]) -> EdgeService:
    """Return the entry's service."""
    settings, addresses = create_edge_settings(fields)
    return EdgeService(
        settings,
        addresses,
        reader=DocumentReader(),
        dialect=EntryDialect(),
        questions=EntryQuestions(settings.address_lifetime_seconds),
        secret=NETWORK_SECRET,
    )


def reload_service(service: EdgeService, fields: dict[str, Any]) -> None:
    """Take over what may change while the process runs."""
    service.reload(read_seed_hubs(fields))


def create_edge_settings(fields: dict[str, Any]) -> tuple[EdgeSettings, EdgeAddresses]:
    """Return the settings of an entry; raises ``MalformedError``."""
    listen = read_table(fields.get("listen"), "listen")
    bounds = read_bounds(fields)
    callers = read_text(listen.get("front"), "listen.front")
    questions = [listen[name] for name in ("ready", "directory") if listen.get(name)]
    settings = EdgeSettings(
        vm=read_text(fields.get("node_name"), "node_name"),
        address=callers,
        data_centre=read_text(fields.get("zone"), "zone"),
        topology=dict(read_table(fields.get("zones"), "zones")),
        hubs=read_seed_hubs(fields),
        budget=read_budget_terms(bounds),
        floor_share=float(bounds.get("floor_share", FLOOR_SHARE)),
        grace_seconds=read_bound(bounds, "grace", GRACE_SECONDS),
        address_lifetime_seconds=min(
            ADDRESS_SECONDS, read_bound(bounds, "ttl_max", ADDRESS_SECONDS)
        ),
    )
    addresses = EdgeAddresses(
        callers=callers,
        questions=tuple(dict.fromkeys(questions)),
        metrics=get_own_address(fields, METRICS_PORT),
    )
    return settings, addresses
