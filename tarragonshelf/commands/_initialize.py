"""Forming the first voter set, once in a fleet's life."""

import asyncio

from ..consensus import Member, Membership
from ..control import ControlStatus, Done, Initialize, StatusRequest
from ..utils import compute_digest
from ._operator import OperatorClient, RefusedError

INITIALIZE_SECONDS = 5.0


async def initialize_fleet(client: OperatorClient) -> Membership:
    """Make all controls of the settings the first voters.

    Raises
    ------
    RefusedError
        If a control does not answer, or holds state of another voter set already. Nothing is
        formed then from those that are empty.
    """
    statuses = await asyncio.gather(
        *(client.ask(address, StatusRequest()) for address in client.addresses)
    )
    silent = [a for a, item in zip(client.addresses, statuses, strict=True) if item is None]
    if silent:
        raise RefusedError(f"controls do not answer: {', '.join(silent)}")
    membership = _create_membership(client.addresses, statuses)
    identities = sorted(membership.identities)
    cluster = compute_digest(*(identity.encode() for identity in identities))
    for status in statuses:
        if status.is_initialized and status.membership.identities != membership.identities:
            raise RefusedError(f"control {status.vm!r} belongs to a formed fleet already")
    for address in client.addresses:
        answer = await client.ask(address, Initialize(cluster, membership), INITIALIZE_SECONDS)
        if not isinstance(answer, Done):
            raise RefusedError(f"control at {address} did not take the voter set: {answer}")
    return membership


def _create_membership(addresses: list[str], statuses: list[ControlStatus]) -> Membership:
    pairs = zip(addresses, statuses, strict=True)
    return Membership(
        tuple(Member(item.identity, item.vm, address, voting=True) for address, item in pairs)
    )
