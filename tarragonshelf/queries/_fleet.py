"""Status and configuration of the fleet, as reported by its processes."""

from dataclasses import dataclass
from typing import Any

from ..commands import OperatorClient, RefusedError, list_attached_entries
from ..configuration import assemble_document
from ..control import (
    ConfigurationRequest,
    ControlStatus,
    FetchChunks,
    Followed,
    UnresolvedOrders,
    UnresolvedRequest,
)
from ..entry import EntryStatus
from ..ledger import KeyRecord

CHUNKS_PER_CALL = 64


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Status of all reachable controls and of one entry.

    ``silent`` holds the VMs of the members that did not answer.
    """

    controls: tuple[ControlStatus, ...]
    entry: EntryStatus | None
    silent: tuple[str, ...]


async def fetch_fleet_status(client: OperatorClient) -> FleetStatus:
    """Return the status of the fleet; raise ``RefusedError`` if no control answers."""
    controls = await client.fetch_control_statuses()
    if not controls:
        raise RefusedError(f"no control answers at {', '.join(client.addresses)}")
    newest = max(controls, key=lambda item: (item.is_current, item.term, item.commit))
    reached = {item.identity for item in controls}
    silent = sorted(
        member.vm for member in newest.membership.members if member.identity not in reached
    )
    return FleetStatus(tuple(controls), await client.fetch_entry_status(controls), tuple(silent))


async def fetch_unresolved_orders(client: OperatorClient) -> tuple[KeyRecord, ...]:
    """Return all orders with an unknown outcome; raise ``RefusedError``."""
    answer: UnresolvedOrders = await client.submit(UnresolvedRequest())
    return answer.records


async def fetch_configuration(client: OperatorClient) -> tuple[Followed, dict[str, Any]]:
    """Return the state of the configuration in force and its document.

    Raises
    ------
    RefusedError
        If the leader refuses or does not answer, or a newer version replaced chunks of the
        document while they were fetched.
    """
    followed: Followed = await client.submit(ConfigurationRequest())
    manifest = followed.configuration.manifest
    contents: dict[str, bytes] = {}
    for first in range(0, len(manifest), CHUNKS_PER_CALL):
        wanted = FetchChunks(manifest[first : first + CHUNKS_PER_CALL])
        chunks = await client.submit(wanted)
        contents |= {chunk.digest: chunk.content for chunk in chunks.items}
    missing = [digest for digest in manifest if digest not in contents]
    if missing:
        raise RefusedError(
            f"{len(missing)} chunks of the configuration were replaced while it was fetched"
        )
    return followed, assemble_document([contents[digest] for digest in manifest])


def format_status(status: FleetStatus) -> list[str]:
    """Return the status as human-readable lines."""
    lines = [_format_control(item) for item in status.controls]
    lines += [f"control {vm}: does not answer" for vm in status.silent]
    for entry in list_attached_entries(status.controls):
        lines.append(f"entry {entry.vm} ({entry.data_centre}): version {entry.version} in force")
    unresolved = max(item.unresolved for item in status.controls)
    lines.append(f"orders unresolved: {unresolved}")
    if status.entry is not None:
        lines += _format_view(status.entry)
    return lines


def _format_control(status: ControlStatus) -> str:
    warning = "" if status.is_current else " ISOLATED: no contact with a leader or a majority;"
    voters = len(status.membership.voters)
    return (
        f"control {status.vm}: {status.role} in term {status.term},{warning}"
        f" commit {status.commit}, {voters} voters,"
        f" configuration {status.configuration.version}"
    )


def _format_view(view: EntryStatus) -> list[str]:
    lines = [f"as entry {view.vm} sees it:"]
    for service in view.services:
        lines.append(
            f"service {service.name}: {service.healthy} of {service.ready} ready targets healthy,"
            f" floor {service.floor}"
        )
    for target in view.targets:
        if target.is_ejected:
            lines.append(f"target {target.address} ({target.service}): ejected: {target.reason}")
        elif target.state != "ready":
            lines.append(f"target {target.address} ({target.service}): {target.state}")
    return lines
