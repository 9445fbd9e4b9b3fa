"""Links to peers by address, and commands to the leader."""

import asyncio

from ..base import Message
from ..control import LeaderFinder, Refused
from ..transport import (
    CallTimeoutError,
    Connection,
    FrameCodec,
    Link,
    UnreachableError,
    create_codec,
)
from ..utils import HybridClock

TRY_SECONDS = 0.8
PAUSE_SECONDS = 0.05


class PeerLinks:
    """One link for each address that was asked for.

    Parameters
    ----------
    vm, role : str
        Who connects.
    secret : bytes
        The fleet secret.
    """

    def __init__(self, *, vm: str, role: str, secret: bytes, clock: HybridClock, handler=None):
        self.vm = vm
        self.role = role
        self.secret = secret
        self.clock = clock
        self.handler = handler or (lambda connection, frame: None)
        self.frames = FrameCodec(create_codec())
        self._links: dict[str, Link] = {}

    def get(self, address: str) -> Link:
        """Return the link to an address."""
        if address not in self._links:
            self._links[address] = Link(
                vm=self.vm,
                role=self.role,
                secret=self.secret,
                address=address,
                frames=self.frames,
                clock=self.clock,
                handler=self.handler,
            )
        return self._links[address]

    async def open(self, address: str) -> Connection:
        """Return a new connection to an address; raises ``UnreachableError``."""
        return await self.get(address).open()

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()


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
                self.finder.note_failed(address)
            elif not isinstance(answer, Refused) or not self.finder.note_refused(address, answer):
                return answer
            await asyncio.sleep(min(PAUSE_SECONDS, max(0.0, deadline - loop.time())))
        return None

    async def _try(self, address: str, message: Message, timeout: float) -> Message | None:
        link = self.links.get(address)
        try:
            return await asyncio.wait_for(link.call(message, timeout), timeout)
        except (UnreachableError, CallTimeoutError, TimeoutError):
            return None
