"""Callers that flood, that read slowly, or whose bodies stay incomplete; one of each at a time."""

import asyncio
import contextlib
import socket
from random import Random

from aiohttp import ClientSession

from ._accounts import LIMITED
from ._history import SentRequest
from ._site import HOST, Site
from ._traffic import Caller

# Range of the time between two bad callers of a kind, and of the time for which each stays.
PAUSE_SECONDS = (1.0, 6.0)
STAY_SECONDS = (3.0, 6.0)
# Together these send some 50 requests per second, several times what any account may run.
FLOOD_CALLERS = 8
FLOOD_PAUSE_SECONDS = 0.1
RESPONSE_BYTES = 2_000_000
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 4096
READ_PAUSE_SECONDS = 0.1
BODY_BYTES = 90_000
MISSING_BYTES = 10


class BadCallers:
    """Sends requests with keys of the newest accounts until cancelled.

    Parameters
    ----------
    caller : Caller
        Sends the requests of the flood.
    random : Random
        Selects times, entries and accounts.
    """

    def __init__(self, site: Site, caller: Caller, random: Random):
        self.site = site
        self.caller = caller
        self.random = random
        self._count = 0

    async def run(self) -> None:
        """Run one bad caller of each kind at a time."""
        async with asyncio.TaskGroup() as group:
            for act in (self._flood, self._read_slowly, self._send_short_body):
                group.create_task(self._repeat(act))

    async def _repeat(self, act) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(self.random.uniform(*STAY_SECONDS)):
                    await act()

    async def _flood(self) -> None:
        """Send many requests of one account until cancelled."""
        accounts = self.caller.accounts.accounts
        keys = accounts[self.random.choice(LIMITED)].keys
        if not keys:
            return
        async with ClientSession() as session, asyncio.TaskGroup() as group:
            for _ in range(FLOOD_CALLERS):
                group.create_task(self._send_many(session, keys[0]))

    async def _send_many(self, session: ClientSession, key: str) -> None:
        while True:
            await self.caller.send(session, key=key)
            await asyncio.sleep(self.random.uniform(0.0, 2 * FLOOD_PAUSE_SECONDS))

    async def _read_slowly(self) -> None:
        """Read a large response in small pieces."""
        entry, key = self.random.choice(self.site.entries), self.caller.accounts.steady_key
        self._count += 1
        sent = SentRequest(f"slow-{self._count}", True, entry, _get_time(), key=key, status=0)
        self.caller.history.sent[sent.request_id] = sent
        head = f"Request-Id: {sent.request_id}\r\nResponse-Bytes: {RESPONSE_BYTES}\r\n"
        reader, writer = await self._open(entry, f"GET /lists/1 HTTP/1.1\r\n{head}", key)
        try:
            while await reader.read(READ_BYTES):
                await asyncio.sleep(READ_PAUSE_SECONDS)
        finally:
            writer.transport.abort()

    async def _send_short_body(self) -> None:
        """Send all but the end of a body and keep the connection open.

        No request with this id is recorded, so a target that runs it violates a guarantee.
        """
        entry, key = self.random.choice(self.site.entries), self.caller.accounts.steady_key
        self._count += 1
        head = f"Request-Id: short-{self._count}\r\nContent-Length: {BODY_BYTES}\r\n"
        reader, writer = await self._open(entry, f"POST /orders/1 HTTP/1.1\r\n{head}", key)
        try:
            writer.write(bytes(BODY_BYTES - MISSING_BYTES))
            await reader.read()
        finally:
            writer.transport.abort()

    async def _open(self, entry: str, head: str, key: str):
        """Connect with a small receive buffer and send the head of a request."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        try:
            address = (entry, self.site.front_port)
            await asyncio.get_running_loop().sock_connect(connection, address)
        except BaseException:
            connection.close()
            raise
        reader, writer = await asyncio.open_connection(sock=connection, limit=READ_BYTES)
        writer.write(f"{head}Host: {HOST}\r\nAuthorization: Token {key}\r\n\r\n".encode())
        return reader, writer


def _get_time() -> float:
    return asyncio.get_running_loop().time()
