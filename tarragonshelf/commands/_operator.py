"""The operator's side of calls to the fleet."""

import asyncio
from collections.abc import Iterable

from ..base import Message
from ..control import AttachedEntry, ControlStatus, Refused, StatusRequest
from ..daemons._leader_client import LeaderClient
from ..entry import EntryStatus
from ..telemetry import create_clock
from ..transport import CallTimeoutError, PeerLinks, UnreachableError

CALL_SECONDS = 10.0
STATUS_SECONDS = 2.0


class RefusedError(Exception):
    """The fleet refused a command, or did not answer it."""


def list_attached(controls: Iterable[ControlStatus]) -> list[AttachedEntry]:
    """Return the attached entries by VM, each as the control that heard it last knows it."""
    latest: dict[str, AttachedEntry] = {}
    for entry in (entry for status in controls for entry in status.entries):
        if entry.vm not in latest or entry.age < latest[entry.vm].age:
            latest[entry.vm] = entry
    return [latest[vm] for vm in sorted(latest)]


class OperatorClient:
    """Calls controls and entries for an operator.

    Parameters
    ----------
    operator : str
        Who acts; goes into what the fleet remembers of a change.
    secret : bytes
        The fleet secret.
    addresses : list of str
        Peer addresses of some controls.
    """

    def __init__(self, *, operator: str, secret: bytes, addresses: list[str]):
        self.operator = operator
        self.addresses = addresses
        self.links = PeerLinks(
            vm=f"operator {operator}", role="operator", secret=secret, clock=create_clock()
        )
        self._leader = LeaderClient(self.links, addresses)

    async def submit(self, message: Message, timeout: float = CALL_SECONDS) -> Message:
        """Return the leader's result; raises ``RefusedError``."""
        result = await self._leader.submit(message, timeout)
        if result is None:
            raise RefusedError(f"no leader answered within {timeout} s; the outcome is unknown")
        if isinstance(result, Refused):
            raise RefusedError(result.detail or str(result.reason))
        return result

    async def ask(self, address: str, message: Message, timeout: float = STATUS_SECONDS):
        """Return one process's answer, or None if it gave none."""
        try:
            return await self.links.get(address).call(message, timeout)
        except (UnreachableError, CallTimeoutError):
            return None

    async def ask_controls(self) -> list[ControlStatus]:
        """Return what each control sees that can be reached."""
        answers = await asyncio.gather(
            *(self.ask(address, StatusRequest()) for address in self.addresses)
        )
        found = {item.identity: item for item in answers if isinstance(item, ControlStatus)}
        known = {member.address for item in found.values() for member in item.membership.members}
        more = await asyncio.gather(
            *(self.ask(address, StatusRequest()) for address in known - set(self.addresses))
        )
        found |= {item.identity: item for item in more if isinstance(item, ControlStatus)}
        return sorted(found.values(), key=lambda item: item.vm)

    async def ask_entry(self, controls: list[ControlStatus]) -> EntryStatus | None:
        """Return the view of the first entry that answers."""
        for entry in list_attached(controls):
            status = await self.ask(entry.peer, StatusRequest())
            if isinstance(status, EntryStatus):
                return status
        return None

    def close(self) -> None:
        """Close all connections."""
        self.links.close()


def create_operator_client(
    *, operator: str, secret: bytes, addresses: list[str]
) -> OperatorClient:
    """Return a client for one command."""
    return OperatorClient(operator=operator, secret=secret, addresses=addresses)
