"""Commands on VMs and orders."""

from ..control import Retire, SetDrained
from ..ledger import ClaimResult, ClaimState, OrderKey, ResolveKey
from ._operator import OperatorClient, RefusedError


async def set_drained(client: OperatorClient, vm: str, *, drained: bool) -> None:
    """Take an entry VM out of use, or back in; raises ``RefusedError``."""
    await client.submit(SetDrained(vm, drained))


async def retire_vm(client: OperatorClient, vm: str) -> None:
    """Remove a VM's replica from the voters for good; raises ``RefusedError``."""
    await client.submit(Retire(vm))


async def settle_order(client: OperatorClient, key: str, *, ran: bool) -> ClaimState:
    """Say of an unresolved order whether it ran.

    Parameters
    ----------
    client : OperatorClient
        Reaches the fleet.
    key : str
        ``ACCOUNT|ROUTE|KEY`` as the query of unresolved orders prints it.
    ran : bool
        Whether the order ran. If not, a resend may run.

    Raises
    ------
    RefusedError
        If the key is malformed or no unresolved order has it.
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
