"""Clients that misbehave at the project's own interface: its processes live, and serve others."""

import asyncio
import contextlib
import itertools
import json
import os
from pathlib import Path

import pytest
from aiohttp import ClientConnectionError, ClientSession, ClientTimeout

from .processes import list_processes, read_memory_mb, start_fleet
from .test_callers_beyond_limits import (
    BLOCK_BYTES,
    CROWD_SECONDS,
    HANG_SECONDS,
    SMALL_CHUNKS,
    send_crowd,
    send_repeated,
    wait_for,
)

# The memory that a control may use at the size to design for.
MEMORY_MB = 256
MAXIMUM_DESCRIPTORS = 200
LIMITS = ("--memory_mb", str(MEMORY_MB), "--maximum_descriptors", str(MAXIMUM_DESCRIPTORS))
MAXIMUM_LOG_BYTES = 8 << 20
MANY = 2 * MAXIMUM_DESCRIPTORS
MAXIMUM_BODY_BYTES = 1 << 20

# For how long targets work on an order whose caller leaves.
ORDER_SECONDS = 4.0

HEAD = b"POST /rondas HTTP/1.1\r\nHost: h\r\nIdempotency-Key: crowd\r\n"

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
DECLARED = b"Content-Length: %d\r\n\r\n" % MAXIMUM_BODY_BYTES


class OpenFleet:
    """One control, one entry and targets as separate processes, with clients at one address."""

    def __init__(self, description: dict):
        self.processes = description["processes"]
        self.entry = list_processes(description, "entry")[0]
        self.control = list_processes(description, "control")[0]
        self.address = ""
        self._orders = itertools.count()

    def find_address(self, door: tuple[str, str]) -> str:
        """Return the address of a port: of a role, and its name in the settings."""
        role, port = door
        return json.loads(Path(getattr(self, role)["settings"]).read_text())[port]

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def ask(self, session: ClientSession) -> bool:
        """Return whether an order runs and the daemons report that they live.

        A connection beyond the limit may be closed; its client tries again.
        """
        with contextlib.suppress(ClientConnectionError):
            return await self._ask(session)
        return False

    async def _ask(self, session: ClientSession) -> bool:
        headers = {"Idempotency-Key": f"ordinary-{next(self._orders)}", "Connection": "close"}
        url = f"http://{self.entry['http']}/rondas"
        async with session.post(url, headers=headers, data=b"x") as response:
            if response.status != 200:
                return False
        for process in self.processes:
            url = f"http://{process['administration']}/health/live"
            async with session.get(url, headers={"Connection": "close"}) as response:
                if response.status != 200:
                    return False
        return True


def create_announcements():
    """Return a factory of blocks of announcements of targets that do not exist."""
    numbers = itertools.count()

    def create() -> bytes:
        block = b""
        for number in itertools.islice(numbers, 50):
            host = f"127.{1 + number // 65536}.{number // 256 % 256}.{number % 256}"
            announcement = {
                "service": "rondas",
                "address": f"{host}:9",
                "data_centre": "n" * 200,
                "slots": 3,
                "state": "ready",
                "incarnation": 1,
                "sequence": 1,
                "registrars": [],
            }
            body = json.dumps(announcement).encode()
            block += b"POST /announcements HTTP/1.1\r\nHost: h\r\n"
            block += b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        return block

    return create


ODD_REQUESTS = {
    "absolute-url": (b"GET http://h/rondas HTTP/1.1\r\n", b"200"),
    "key-not-utf-8": (b"POST /rondas HTTP/1.1\r\nIdempotency-Key: \xff\r\n", b"400"),
    "long-deadline": (
        b"GET /rondas HTTP/1.1\r\nTarragonshelf-Deadline: " + b"9" * 5000 + b"\r\n",
        b"200",
    ),
    "account-not-utf-8": (b"GET /rondas HTTP/1.1\r\nTarragonshelf-Account: \xff\r\n", b"200"),
}


@pytest.mark.process
def test_odd_requests_are_answered_and_count_against_no_target():
    """Guards against requests that raise an error while they are sent on."""

    async def ask(fleet: OpenFleet, head: bytes) -> bytes:
        reader, writer = await fleet.connect()
        writer.write(head + b"Host: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        try:
            return (await reader.read()).split()[1]
        finally:
            writer.close()

    with start_fleet(controls=1, entries=1, targets=4) as description:
        fleet = OpenFleet(description)
        fleet.address = fleet.entry["http"]
        statuses = {
            name: asyncio.run(ask(fleet, head)) for name, (head, _) in ODD_REQUESTS.items()
        }
        log = Path(fleet.entry["log"]).read_text()
    assert statuses == {name: status for name, (_, status) in ODD_REQUESTS.items()}
    assert '"kind":"broken"' not in log


async def read_held_bytes(fleet: OpenFleet, session: ClientSession) -> float:
    """Return how many bytes the entry holds for callers."""
    url = f"http://{fleet.entry['administration']}/metrics"
    async with session.get(url) as response:
        lines = (await response.text()).splitlines()
    values = [line.split()[-1] for line in lines if "caller_bytes_held" in line and line[0] != "#"]
    return float(values[0])


async def leave_order(fleet: OpenFleet) -> None:
    fleet.address = fleet.entry["http"]
    async with ClientSession() as session:
        _, writer = await fleet.connect()
        writer.write(HEAD + DECLARED + bytes(MAXIMUM_BODY_BYTES))
        await writer.drain()
        await asyncio.sleep(ORDER_SECONDS / 4)
        writer.transport.abort()
        await asyncio.sleep(ORDER_SECONDS / 4)
        assert await read_held_bytes(fleet, session) >= MAXIMUM_BODY_BYTES

        async def is_released() -> bool:
            return await read_held_bytes(fleet, session) < MAXIMUM_BODY_BYTES

        await wait_for(is_released)


@pytest.mark.process
def test_body_of_an_order_counts_until_the_order_ends():
    """Guards against memory for orders whose callers have left, which nobody counts."""
    options = (*LIMITS, "--work", str(ORDER_SECONDS))
    with start_fleet(controls=1, entries=1, targets=4, options=options) as description:
        asyncio.run(leave_order(OpenFleet(description)))


async def play(fleet: OpenFleet, door: tuple[str, str], callers: int, send) -> None:
    fleet.address = fleet.find_address(door)
    timeout = ClientTimeout(total=HANG_SECONDS)
    async with ClientSession(timeout=timeout) as session:
        await wait_for(lambda: fleet.ask(session))
        writers = await send_crowd(fleet, callers, send)
        try:
            pids = [process["pid"] for process in fleet.processes]
            descriptors = [len(os.listdir(f"/proc/{pid}/fd")) for pid in pids]
            peaks = [read_memory_mb(pid, "VmHWM") for pid in pids]
            print(f"peaks {peaks} MB, {descriptors} descriptors")
            # The crowd still holds its connections.
            await wait_for(lambda: fleet.ask(session))
        finally:
            for writer in writers:
                writer.transport.abort()
        await wait_for(lambda: fleet.ask(session))
        peaks = [read_memory_mb(pid, "VmHWM") for pid in pids]
        logs = [Path(process["log"]).stat().st_size for process in fleet.processes]
        print(f"peaks at the end {peaks} MB, logs {logs} bytes")
        assert max(peaks) <= MEMORY_MB
        assert max(descriptors) <= MAXIMUM_DESCRIPTORS
        assert max(logs) <= MAXIMUM_LOG_BYTES


def send_announcements():
    create = create_announcements()

    async def send(writer: asyncio.StreamWriter) -> None:
        async with asyncio.timeout(CROWD_SECONDS):
            while True:
                writer.write(create())
                await writer.drain()

    return send


HTTP, ADMINISTRATION, PEER = ("entry", "http"), ("entry", "administration"), ("entry", "peer")
CROWDS = {
    "half-heads": (HTTP, MANY, send_repeated(HEAD, len(HEAD))),
    "head": (HTTP, 60, send_repeated(b"A: %s\r\n" % (b"x" * 4000), 64 << 20, HEAD)),
    "empty-lines": (HTTP, 60, send_repeated(b"\r\n" * (BLOCK_BYTES // 2), 64 << 20)),
    "bodies": (
        HTTP,
        MANY,
        send_repeated(bytes(MAXIMUM_BODY_BYTES - 1), MAXIMUM_BODY_BYTES - 1, HEAD + DECLARED),
    ),
    "chunks-small": (HTTP, 60, send_repeated(SMALL_CHUNKS, 6 << 20, HEAD + CHUNKED)),
    "announcements": (HTTP, 20, send_announcements()),
    "administration": (ADMINISTRATION, MANY, send_repeated(HEAD, len(HEAD))),
    "control": (("control", "administration"), MANY, send_repeated(HEAD, len(HEAD))),
    "entry-peers": (PEER, MANY, send_repeated(b"\x00\x00\x00\x64x", 5)),
    "control-peers": (("control", "peer"), MANY, send_repeated(b"\x00\x00\x00\x64x", 5)),
}


@pytest.mark.process
@pytest.mark.parametrize("crowd", CROWDS)
def test_fleet_survives_a_crowd(crowd):
    """Guards against a port of the own interface without limits."""
    with start_fleet(controls=1, entries=1, targets=4, options=LIMITS) as description:
        asyncio.run(play(OpenFleet(description), *CROWDS[crowd]))
