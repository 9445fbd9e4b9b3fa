"""Brings commands to the ledger until they are acknowledged."""

import asyncio

from ..base import Message
from ..control import Refused
from ._peers import LeaderClient

RETRY_SECONDS = 0.25
TRY_SECONDS = 2.0


class Courier:
    """Submits commands, some of them in the background.

    Parameters
    ----------
    client : LeaderClient
        Reaches the leader.
    """

    def __init__(self, client: LeaderClient):
        self.client = client
        self._tasks: set[asyncio.Task] = set()

    @property
    def under_way(self) -> int:
        """How many commands are not acknowledged yet."""
        return len(self._tasks)

    async def submit(self, command: Message, timeout: float) -> Message | None:
        """Submit a command and return its result, or None if there was none in time."""
        return await self.client.submit(command, timeout)

    def post(self, command: Message) -> None:
        """Submit a command in the background until it is acknowledged."""
        task = asyncio.get_running_loop().create_task(self._deliver(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def post_once(self, command: Message) -> None:
        """Submit a command in the background and let it go if it gets lost."""
        task = asyncio.get_running_loop().create_task(self.client.submit(command, TRY_SECONDS))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def finish(self, timeout: float) -> None:
        """Wait until all commands are acknowledged, at most ``timeout`` seconds."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout)

    async def _deliver(self, command: Message) -> None:
        while True:
            result = await self.client.submit(command, TRY_SECONDS)
            if result is not None and not isinstance(result, Refused):
                return
            await asyncio.sleep(RETRY_SECONDS)
