"""Bootstraps the first voter set, which happens once in the life of a fleet."""

import asyncio

from ..consensus import Member, Membership
from ..control import ControlStatus, Done, Initialize, StatusRequest
from ..utils import compute_digest
from ._operator import OperatorClient, RefusedError

INITIALIZE_TIMEOUT_SECONDS = 5.0


async def initialize_fleet(client: OperatorClient) -> Membership:
    """Bootstrap a voter set of all controls of the settings.

    Raises
    ------
    RefusedError
        If a control does not answer, or already belongs to another voter set; in both cases no
        control is initialized. Also if a control refuses the voter set; the controls before it
        are initialized then, and the command can be repeated.
    """
    statuses = await asyncio.gather(
        *(client.call(address, StatusRequest()) for address in client.addresses)
    )
    unresponsive = [a for a, item in zip(client.addresses, statuses, strict=True) if item is None]
    if unresponsive:
        raise RefusedError(f"controls do not answer: {', '.join(unresponsive)}")
    membership = _create_membership(client.addresses, statuses)
    identities = sorted(membership.identities)
    cluster = compute_digest(*(identity.encode() for identity in identities))
    for status in statuses:
        if status.is_initialized and status.membership.identities != membership.identities:
            raise RefusedError(f"control {status.vm!r} already belongs to another voter set")
    for address in client.addresses:
        answer = await client.call(
            address, Initialize(cluster, membership), INITIALIZE_TIMEOUT_SECONDS
        )
        if not isinstance(answer, Done):
            raise RefusedError(f"control at {address} did not accept the voter set: {answer}")
    return membership


def _create_membership(addresses: list[str], statuses: list[ControlStatus]) -> Membership:
    pairs = zip(addresses, statuses, strict=True)
    return Membership(
        tuple(Member(item.identity, item.vm, address, voting=True) for address, item in pairs)
    )
