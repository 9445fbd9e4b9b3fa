"""Applies a configuration document and waits for its rollout."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ..configuration import ApplyConfiguration, ApplyResult, ApplyState, split_document
from ..control import ConfigurationRequest, Followed
from ._operator import OperatorClient, list_attached_entries

ROLLOUT_TIMEOUT_SECONDS = 6.0
POLL_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class LaggingEntry:
    """An attached entry that still has an older version in force."""

    vm: str
    version: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Result of applying a document, and the progress of its rollout.

    ``in_force`` is the number of attached entries that have the version or a newer one in force.
    """

    result: ApplyResult
    in_force: int
    lagging: tuple[LaggingEntry, ...]


async def apply_document(
    client: OperatorClient,
    content: dict[str, Any],
    *,
    change_id: str,
    base_version: int | None = None,
) -> RolloutStatus:
    """Submit a document and wait at most 6 s until it is in force in every attached entry.

    Parameters
    ----------
    client : OperatorClient
        Connection to the fleet.
    content : dict
        A validated document.
    change_id : str
        Identifies the change; a resend after a lost reply has to use the same value.
    base_version : int, optional
        The version to replace, by default the version in force.

    Raises
    ------
    RefusedError
        If the leader refuses a call, or no leader answers in time.
    """
    followed: Followed = await client.submit(ConfigurationRequest())
    if base_version is None:
        base_version = followed.configuration.version
    chunks = split_document(content)
    manifest = tuple(chunk.digest for chunk in chunks)
    stored_digests = set(followed.configuration.manifest)
    missing = tuple(chunk for chunk in chunks if chunk.digest not in stored_digests)
    command = ApplyConfiguration(change_id, base_version, client.operator, manifest, missing)
    result = await client.submit(command)
    if result.state == ApplyState.INCOMPLETE:
        command = ApplyConfiguration(change_id, base_version, client.operator, manifest, chunks)
        result = await client.submit(command)
    if result.state != ApplyState.ACCEPTED:
        return RolloutStatus(result, 0, ())
    return await _wait_for_rollout(client, result)


async def _wait_for_rollout(client: OperatorClient, result: ApplyResult) -> RolloutStatus:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + ROLLOUT_TIMEOUT_SECONDS
    while True:
        versions = await _fetch_entry_versions(client)
        lagging = tuple(
            LaggingEntry(vm, version)
            for vm, version in sorted(versions.items())
            if version < result.version
        )
        rollout = RolloutStatus(result, len(versions) - len(lagging), lagging)
        if (versions and not lagging) or loop.time() >= deadline:
            return rollout
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _fetch_entry_versions(client: OperatorClient) -> dict[str, int]:
    """Return the version in force of each attached entry, as last reported to its control."""
    attached = list_attached_entries(await client.fetch_control_statuses())
    return {entry.vm: entry.version for entry in attached}
