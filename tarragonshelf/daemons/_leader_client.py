"""Client of the control cluster."""

import asyncio

from ..base import Message
from ..control import LeaderFinder, Refused
from ..transport import CallTimeoutError, PeerLinks, UnreachableError

ATTEMPT_TIMEOUT_SECONDS = 0.8
RETRY_INTERVAL_SECONDS = 0.05


class LeaderClient:
    """Submits commands to the leader, which it finds by trying the controls in turn.

    Parameters
    ----------
    links : PeerLinks
        Connections to the controls.
    addresses : list of str
        Peer addresses of all controls.
    """

    def __init__(self, links: PeerLinks, addresses: list[str]):
        self.links = links
        self.finder = LeaderFinder(addresses)

    async def submit(self, message: Message, timeout: float) -> Message | None:
        """Submit a command and return its result, or None if there is none in time.

        If the result is None, the command may have been executed or may still be.

        Parameters
        ----------
        message : Message
            The command.
        timeout : float
            Time in seconds for all attempts together.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while (remaining := deadline - loop.time()) > 0:
            address = self.finder.address
            reply = await self._call(address, message, min(remaining, ATTEMPT_TIMEOUT_SECONDS))
            if reply is None:
                self.finder.handle_unreachable(address)
            elif not isinstance(reply, Refused) or not self.finder.handle_refusal(address, reply):
                return reply
            await asyncio.sleep(min(RETRY_INTERVAL_SECONDS, max(0.0, deadline - loop.time())))
        return None

    async def _call(self, address: str, message: Message, timeout: float) -> Message | None:
        link = self.links.get(address)
        try:
            return await asyncio.wait_for(link.call(message, timeout), timeout)
        except (UnreachableError, CallTimeoutError, TimeoutError):
            return None
