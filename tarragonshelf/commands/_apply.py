"""Putting a document in force."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ..configuration import ApplyConfiguration, ApplyResult, ApplyState, split_document
from ..control import ConfigurationRequest, Followed
from ._operator import OperatorClient, list_attached

IN_FORCE_SECONDS = 6.0
POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class LaggingEntry:
    """An entry that has an older version in force."""

    vm: str
    version: int


@dataclass(frozen=True, slots=True)
class Applied:
    """The fleet's answer to a document, and how far it is in force."""

    result: ApplyResult
    in_force: int
    lagging: tuple[LaggingEntry, ...]


async def apply_document(
    client: OperatorClient,
    content: dict[str, Any],
    *,
    change_id: str,
    base_version: int | None = None,
) -> Applied:
    """Submit a document and wait until it is in force in every entry, at most 6 s.

    Parameters
    ----------
    client : OperatorClient
        Reaches the fleet.
    content : dict
        A checked document.
    change_id : str
        The same for every resend of one change.
    base_version : int, optional
        The version to replace; the one in force where it is left out.

    Raises
    ------
    RefusedError
        If no leader answers in time.
    """
    followed: Followed = await client.submit(ConfigurationRequest())
    if base_version is None:
        base_version = followed.configuration.version
    chunks = split_document(content)
    manifest = tuple(chunk.digest for chunk in chunks)
    held = set(followed.configuration.manifest)
    missing = tuple(chunk for chunk in chunks if chunk.digest not in held)
    command = ApplyConfiguration(change_id, base_version, client.operator, manifest, missing)
    result = await client.submit(command)
    if result.state == ApplyState.INCOMPLETE:
        command = ApplyConfiguration(change_id, base_version, client.operator, manifest, chunks)
        result = await client.submit(command)
    if result.state != ApplyState.ACCEPTED:
        return Applied(result, 0, ())
    return await _wait_in_force(client, result)


async def _wait_in_force(client: OperatorClient, result: ApplyResult) -> Applied:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + IN_FORCE_SECONDS
    while True:
        versions = await _collect_versions(client)
        lagging = tuple(
            LaggingEntry(vm, version)
            for vm, version in sorted(versions.items())
            if version < result.version
        )
        applied = Applied(result, len(versions) - len(lagging), lagging)
        if (versions and not lagging) or loop.time() >= deadline:
            return applied
        await asyncio.sleep(POLL_SECONDS)


async def _collect_versions(client: OperatorClient) -> dict[str, int]:
    """Return the version that each attached entry has in force, as its control knows it."""
    attached = list_attached(await client.ask_controls())
    return {entry.vm: entry.version for entry in attached}
