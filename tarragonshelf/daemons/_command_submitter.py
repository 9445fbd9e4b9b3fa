"""Submission of commands to the leader, also in the background."""

import asyncio
from collections.abc import Callable

from ..base import Message
from ..control import PERMANENT_REASONS, Refused
from ._leader_client import LeaderClient

RETRY_INTERVAL_SECONDS = 0.25
SUBMIT_TIMEOUT_SECONDS = 2.0


class CommandSubmitter:
    """Submits commands to the leader and keeps track of those in the background.

    Parameters
    ----------
    client : LeaderClient
        Sends commands to the leader.
    report : callable
        Called with an event name and fields when a background command is refused for good.
    """

    def __init__(self, client: LeaderClient, *, report: Callable[..., None]):
        self.client = client
        self.report = report
        self._tasks: set[asyncio.Task] = set()

    @property
    def under_way(self) -> int:
        """Number of background commands that are retried until they are acknowledged."""
        return len(self._tasks)

    async def submit(self, command: Message, timeout: float) -> Message | None:
        """Submit a command and return its result, or None if there is none in time."""
        return await self.client.submit(command, timeout)

    def submit_in_background(self, command: Message) -> None:
        """Submit a command in the background, and retry until it is acknowledged.

        A command that is refused for good is reported and given up.
        """
        task = asyncio.get_running_loop().create_task(self._submit_until_acknowledged(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def submit_once_in_background(self, command: Message) -> None:
        """Submit a command in the background without a retry after the time-out."""
        task = asyncio.get_running_loop().create_task(
            self.client.submit(command, SUBMIT_TIMEOUT_SECONDS)
        )
        task.add_done_callback(lambda finished: finished.cancelled() or finished.exception())

    async def wait_until_acknowledged(self, timeout: float) -> None:
        """Wait until all background commands are acknowledged, at most ``timeout`` seconds."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout)

    async def _submit_until_acknowledged(self, command: Message) -> None:
        while True:
            result = await self.client.submit(command, SUBMIT_TIMEOUT_SECONDS)
            if result is not None and not isinstance(result, Refused):
                return
            if isinstance(result, Refused) and result.reason in PERMANENT_REASONS:
                self.report(
                    "command_refused",
                    command=type(command).__name__,
                    reason=result.reason,
                    problem=result.detail,
                )
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
