"""Commands to the leader."""

import asyncio

from ..base import Message
from ..control import LeaderFinder, Refused
from ..transport import CallTimeoutError, PeerLinks, UnreachableError

TRY_SECONDS = 0.8
PAUSE_SECONDS = 0.05


class LeaderClient:
    """Submits commands to the leader, wherever it is.

    Parameters
    ----------
    links : PeerLinks
        Links to the controls.
    addresses : list of str
        Peer addresses of all controls.
    """

    def __init__(self, links: PeerLinks, addresses: list[str]):
        self.links = links
        self.finder = LeaderFinder(addresses)

    async def submit(self, message: Message, timeout: float) -> Message | None:
        """Return the result, or None if there was none in ``timeout`` seconds.

        After None the command may have been carried out, and may still be.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while (remaining := deadline - loop.time()) > 0:
            address = self.finder.address
            answer = await self._try(address, message, min(remaining, TRY_SECONDS))
            if answer is None:
                self.finder.handle_unreachable(address)
            elif not isinstance(answer, Refused) or not self.finder.handle_refusal(
                address, answer
            ):
                return answer
            await asyncio.sleep(min(PAUSE_SECONDS, max(0.0, deadline - loop.time())))
        return None

    async def _try(self, address: str, message: Message, timeout: float) -> Message | None:
        link = self.links.get(address)
        try:
            return await asyncio.wait_for(link.call(message, timeout), timeout)
        except (UnreachableError, CallTimeoutError, TimeoutError):
            return None
