"""Targets whose bytes never end: the entry of the own interface lives, and serves others."""

import asyncio
import contextlib
import os

import pytest
from aiohttp import ClientConnectionError, ClientSession, ClientTimeout

from .processes import read_memory_mb, start_fleet
from .test_callers_beyond_limits import BLOCK_BYTES, HANG_SECONDS, wait_for
from .test_misbehaving_fleet_clients import (
    LIMITS,
    MAXIMUM_DESCRIPTORS,
    MEMORY_MB,
    OpenFleet,
)

TARGETS = 3
SLOTS = 20
CALLERS = TARGETS * SLOTS
TROUBLE_SECONDS = 8.0
ANNOUNCEMENT_SECONDS = 1.0

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Each kind: what a target sends once, and what it repeats until its connection is closed.
ENDLESS = {
    "large-chunks": (CHUNKED, b"%x\r\n%s\r\n" % (BLOCK_BYTES, bytes(BLOCK_BYTES))),
    "small-chunks": (CHUNKED, b"c\r\n%s\r\n" % bytes(12) * 4000),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 1600),
}


class EndlessTargets:
    """Targets of a service that answer every request without end."""

    def __init__(self, fleet: OpenFleet, kind: str):
        self.fleet = fleet
        self.head, self.part = ENDLESS[kind]

    async def __aenter__(self):
        self._servers = [
            await asyncio.start_server(self._serve, "127.0.0.1", 0) for _ in range(TARGETS)
        ]
        self._announcing = asyncio.create_task(self._announce())
        return self

    async def __aexit__(self, *error):
        self._announcing.cancel()
        for server in self._servers:
            server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while True:
                writer.write(self.part)
                await writer.drain()
        writer.close()

    async def _announce(self) -> None:
        url = f"http://{self.fleet.entry['http']}/announcements"
        async with ClientSession() as session:
            for sequence in range(1, 1000):
                for server in self._servers:
                    host, port = server.sockets[0].getsockname()
                    announcement = {
                        "service": "rondas",
                        "address": f"{host}:{port}",
                        "data_centre": "norte-1",
                        "slots": SLOTS,
                        "state": "ready",
                        "incarnation": 1,
                        "sequence": sequence,
                        "registrars": [],
                    }
                    with contextlib.suppress(ClientConnectionError):
                        await session.post(url, json=announcement)
                await asyncio.sleep(ANNOUNCEMENT_SECONDS)


async def look_up(fleet: OpenFleet, session: ClientSession) -> None:
    """Send one request after another, whatever becomes of them."""
    url = f"http://{fleet.entry['http']}/rondas"
    while True:
        with contextlib.suppress(ClientConnectionError, TimeoutError):
            async with session.get(url) as response:
                await response.read()
        await asyncio.sleep(0.01)


async def play(fleet: OpenFleet, kind: str) -> None:
    pid = fleet.entry["pid"]
    timeout = ClientTimeout(total=HANG_SECONDS)
    async with ClientSession(timeout=timeout) as session:
        await wait_for(lambda: fleet.ask(session))
        async with EndlessTargets(fleet, kind):
            callers = [asyncio.create_task(look_up(fleet, session)) for _ in range(CALLERS)]
            await asyncio.sleep(TROUBLE_SECONDS)
            descriptors = len(os.listdir(f"/proc/{pid}/fd"))
            for task in callers:
                task.cancel()
            await asyncio.wait(callers)
            await wait_for(lambda: fleet.ask(session))
        peak = read_memory_mb(pid, "VmHWM")
        print(f"peak {peak:.0f} MB, {descriptors} descriptors")
        assert peak <= MEMORY_MB
        assert descriptors <= MAXIMUM_DESCRIPTORS


@pytest.mark.process
@pytest.mark.parametrize("kind", ENDLESS)
def test_entry_survives_targets_without_end(kind):
    """Guards against an entry that keeps all that faulty targets send, until it has no memory."""
    with start_fleet(controls=1, entries=1, targets=4, options=LIMITS) as description:
        asyncio.run(play(OpenFleet(description), kind))
