"""Operator commands on VMs and orders."""

from ..control import Retire, SetDrained
from ..ledger import ClaimResult, ClaimState, OrderKey, ResolveKey
from ._operator import OperatorClient, RefusedError


async def set_drained(client: OperatorClient, vm: str, *, drained: bool) -> None:
    """Drain an entry VM, or end its draining; raise ``RefusedError``."""
    await client.submit(SetDrained(vm, drained))


async def retire_vm(client: OperatorClient, vm: str) -> None:
    """Remove the replica of a VM from the voter set permanently; raise ``RefusedError``."""
    await client.submit(Retire(vm))


async def settle_order(client: OperatorClient, key: str, *, ran: bool) -> ClaimState:
    """Resolve an unresolved order: record whether it ran.

    Parameters
    ----------
    client : OperatorClient
        Connection to the fleet.
    key : str
        ``ACCOUNT|ROUTE|KEY`` as printed by the ``unresolved`` command.
    ran : bool
        Whether the order ran. If not, a resend of the order may run.

    Raises
    ------
    RefusedError
        If the key is malformed, no unresolved order has it, or the leader does not answer.
    """
    parts = key.split("|")
    if len(parts) != 3:
        raise RefusedError(f"key {key!r} is not of the form ACCOUNT|ROUTE|KEY")
    result: ClaimResult = await client.submit(
        ResolveKey(OrderKey(*parts), ran=ran, operator=client.operator)
    )
    if result.state == ClaimState.UNKNOWN:
        raise RefusedError(f"no unresolved order has the key {key!r}")
    return result.state
