"""Callers that flood, that read slowly, or whose bodies stay incomplete; one of each at a time."""

import asyncio
import contextlib
import socket

from aiohttp import ClientSession

from ._accounts import LIMITED, AccountDraws
from ._history import SentRequest
from ._site import HOST
from ._traffic import Caller, create_caller_session

# Range of the time between two bad callers of a kind, and of the time for which each stays.
PAUSE_SECONDS = (1.0, 6.0)
STAY_SECONDS = (3.0, 6.0)
# Together these send some 50 requests per second, several times what any account may run.
FLOOD_CALLERS, FLOOD_PAUSE_SECONDS = 8, 0.1
# The slow caller reads so much at a time, into a receive buffer of the same size.
READ_BYTES, READ_PAUSE_SECONDS = 4096, 0.1
SLOW_HEAD = "GET /lists/1 HTTP/1.1\r\nResponse-Bytes: 2000000\r\n"
SHORT_HEAD = "POST /orders/1 HTTP/1.1\r\nContent-Length: 90000\r\n"
SHORT_BODY_BYTES = 89_990


class BadCallers:
    """Sends requests with keys of some accounts until cancelled; ``caller`` sends the floods."""

    def __init__(self, caller: Caller, draws: AccountDraws):
        self.caller = caller
        self.draws = draws
        self.random = draws.random
        self._count = 0

    async def run(self) -> None:
        """Run one bad caller of each kind at a time."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat(self._flood))
            group.create_task(self._repeat(self._stay, SLOW_HEAD))
            group.create_task(self._repeat(self._stay, SHORT_HEAD, bytes(SHORT_BODY_BYTES)))

    async def _repeat(self, act, *arguments) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(self.random.uniform(*STAY_SECONDS)):
                    await act(*arguments)

    async def _flood(self) -> None:
        keys = self.draws.accounts[self.random.choice(LIMITED)].keys
        async with create_caller_session() as session, asyncio.TaskGroup() as group:
            for _ in range(FLOOD_CALLERS if keys else 0):
                group.create_task(self._send_many(session, keys[0]))

    async def _send_many(self, session: ClientSession, key: str) -> None:
        while True:
            await self.caller.send(session, key=key)
            await asyncio.sleep(self.random.uniform(0.0, 2 * FLOOD_PAUSE_SECONDS))

    async def _stay(self, head: str, body: bytes = b"") -> None:
        """Send a request, and read slowly until the connection closes.

        One with an incomplete body is not recorded as sent, so that a target must not run it.
        """
        caller, key = self.caller, self.draws.steady_key
        entry, self._count = self.random.choice(caller.site.entries), self._count + 1
        name, now = f"bad-{self._count}", asyncio.get_running_loop().time()
        if not body:
            caller.history.sent[name] = SentRequest(name, True, entry, now, status=0, key=key)
        connection = socket.create_connection((entry, caller.site.front_port), timeout=1.0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        reader, writer = await asyncio.open_connection(sock=connection, limit=READ_BYTES)
        fields = f"Host: {HOST}\r\nRequest-Id: {name}\r\nAuthorization: Token {key}\r\n"
        try:
            writer.write(f"{head}{fields}\r\n".encode() + body)
            while await reader.read(READ_BYTES):
                await asyncio.sleep(READ_PAUSE_SECONDS)
        finally:
            writer.transport.abort()
