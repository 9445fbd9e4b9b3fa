"""Client for calls of operators to controls and entries."""

import asyncio
from collections.abc import Iterable

from ..base import Message
from ..control import AttachedEntry, ControlStatus, Refused, StatusRequest
from ..daemons._leader_client import LeaderClient
from ..entry import EntryStatus
from ..telemetry import create_clock
from ..transport import CallTimeoutError, PeerLinks, UnreachableError

CALL_TIMEOUT_SECONDS = 10.0
STATUS_TIMEOUT_SECONDS = 2.0


class RefusedError(Exception):
    """The fleet refused a command or did not answer it."""


def list_attached_entries(controls: Iterable[ControlStatus]) -> list[AttachedEntry]:
    """Return the attached entries sorted by VM, each in its most recent state of all controls."""
    latest: dict[str, AttachedEntry] = {}
    for entry in (entry for status in controls for entry in status.entries):
        if entry.vm not in latest or entry.age < latest[entry.vm].age:
            latest[entry.vm] = entry
    return [latest[vm] for vm in sorted(latest)]


class OperatorClient:
    """Calls controls and entries on behalf of an operator.

    Parameters
    ----------
    operator : str
        Name of the operator; stored by the fleet as the author of a change.
    secret : bytes
        The fleet secret.
    addresses : list of str
        Peer addresses of one or more controls.
    """

    def __init__(self, *, operator: str, secret: bytes, addresses: list[str]):
        self.operator = operator
        self.addresses = addresses
        self.links = PeerLinks(
            vm=f"operator {operator}", role="operator", secret=secret, clock=create_clock()
        )
        self._leader = LeaderClient(self.links, addresses)

    async def submit(self, message: Message, timeout: float = CALL_TIMEOUT_SECONDS) -> Message:
        """Submit a call to the leader and return its result.

        Raises
        ------
        RefusedError
            If the leader refuses the call, or none answers within ``timeout`` seconds.
        """
        result = await self._leader.submit(message, timeout)
        if result is None:
            raise RefusedError(f"no leader answered within {timeout} s; the outcome is unknown")
        if isinstance(result, Refused):
            raise RefusedError(result.detail or str(result.reason))
        return result

    async def call(self, address: str, message: Message, timeout: float = STATUS_TIMEOUT_SECONDS):
        """Call one process; return its answer, or None if it does not answer."""
        try:
            return await self.links.get(address).call(message, timeout)
        except (UnreachableError, CallTimeoutError):
            return None

    async def fetch_control_statuses(self) -> list[ControlStatus]:
        """Return the status of each reachable control, also of members not in ``addresses``."""
        answers = await asyncio.gather(
            *(self.call(address, StatusRequest()) for address in self.addresses)
        )
        statuses = {item.identity: item for item in answers if isinstance(item, ControlStatus)}
        member_addresses = {
            member.address for item in statuses.values() for member in item.membership.members
        }
        further_answers = await asyncio.gather(
            *(
                self.call(address, StatusRequest())
                for address in member_addresses - set(self.addresses)
            )
        )
        statuses |= {
            item.identity: item for item in further_answers if isinstance(item, ControlStatus)
        }
        return sorted(statuses.values(), key=lambda item: item.vm)

    async def fetch_entry_status(self, controls: list[ControlStatus]) -> EntryStatus | None:
        """Return the status of the first attached entry that answers, or None."""
        for entry in list_attached_entries(controls):
            status = await self.call(entry.peer, StatusRequest())
            if isinstance(status, EntryStatus):
                return status
        return None

    def close(self) -> None:
        """Close all connections."""
        self.links.close()


def create_operator_client(
    *, operator: str, secret: bytes, addresses: list[str]
) -> OperatorClient:
    """Return a client; the caller has to close it."""
    return OperatorClient(operator=operator, secret=secret, addresses=addresses)
