"""Calls to peers that run in the background."""

import asyncio
from collections.abc import Callable

from ..base import Message
from ._connection import CallTimeoutError, UnreachableError
from ._links import PeerLinks


class PeerCalls:
    """Makes calls to peers, and passes on how each of them ended.

    Parameters
    ----------
    links : PeerLinks
        Connections to the peers.
    timeout : float
        Time-out of a call in seconds, once there is a connection.
    on_end : callable
        Called with the address, the request, the reply or None, and why there is none.
    """

    def __init__(
        self,
        links: PeerLinks,
        *,
        timeout: float,
        on_end: Callable[[str, Message, Message | None, str], None],
    ):
        self.links = links
        self.timeout = timeout
        self.on_end = on_end
        self._tasks: set[asyncio.Task] = set()

    def start(self, address: str, request: Message) -> None:
        """Start a call in the background."""
        task = asyncio.get_running_loop().create_task(self._call(address, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the calls that are under way; their end is not passed on."""
        for task in self._tasks:
            task.cancel()

    async def _call(self, address: str, request: Message) -> None:
        reply, problem = None, ""
        try:
            reply = await self.links.get(address).call(request, self.timeout)
        except (UnreachableError, CallTimeoutError) as error:
            problem = str(error)
        self.on_end(address, request, reply, problem)
