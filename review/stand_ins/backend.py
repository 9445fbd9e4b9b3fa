"""A backend that announces itself and runs requests."""

import asyncio
import contextlib
import json
import secrets
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from .client import send_request
from .http import Message, read_message, write_message

HEARTBEAT_SECONDS = 1.5
CONFIRMATION_SECONDS = 1.0
FURTHER_TRIES = 4


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request that a backend received; times in seconds."""

    backend: str
    request_id: str
    path: str
    at: float
    deadline_ms: int
    outcome: str


class Backend:
    """One backend.

    Parameters
    ----------
    name : str
        Its id.
    service, zone : str
        What it runs, and where.
    host : str
        Loopback address to listen on.
    list_controls : callable
        Returns the addresses of the nodes that serve the control interface.
    work_seconds : float
        How long it works on a request.
    random : Random
        Chooses which node is called first.
    slots : int
        Requests that it runs at the same time.
    first_node : str
        Node that is called first, if not a random one.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        list_controls: Callable[[], list[str]],
        *,
        work_seconds: float,
        random: Random,
        slots: int = 3,
        first_node: str = "",
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.list_controls = list_controls
        self.work_seconds = work_seconds
        self.random = random
        self.slots = slots
        self.state = "ready"
        self.exchanges: list[Exchange] = []
        # Called with a request after its slot was taken; returns True if it has answered.
        self.intercept: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.confirmed_at: float | None = None
        self.beat_address = first_node
        self.last_node = ""
        self.is_up = False
        self._born = 0
        self._sequence = 0
        self._address = ""
        self._semaphore = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._beats: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Where it serves."""
        return self._address

    async def start(self, name: str = "") -> None:
        """Begin a lifetime, under another id if one is given, and announce it."""
        self.name = name or self.name
        self.state, self._sequence, self.confirmed_at = "ready", 0, None
        self._born = int(time.time() * 1000)
        self._semaphore = asyncio.Semaphore(self.slots)
        port = int(self._address.rpartition(":")[2]) if self._address else 0
        self._server = await asyncio.start_server(self._serve, self.host, port, limit=1 << 20)
        port = self._server.sockets[0].getsockname()[1]
        self._address = f"{self.host}:{port}"
        self.is_up = True
        self._beats = asyncio.create_task(self._keep_announcing())

    def crash(self) -> None:
        """End without a word: all connections are reset."""
        self.is_up = False
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    def stop_announcing(self) -> None:
        """Send no further heartbeat."""
        if self._beats is not None:
            self._beats.cancel()

    async def _keep_announcing(self) -> None:
        while True:
            begun = time.monotonic()
            await self.announce()
            await asyncio.sleep(max(0.0, HEARTBEAT_SECONDS - (time.monotonic() - begun)))

    async def announce(self) -> bool:
        """Send one heartbeat, to other nodes if one fails; return whether it was confirmed."""
        self._sequence += 1
        status = {"state": self.state, "seq": self._sequence, "warmup_left": "0ms"}
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        body = {"address": self._address, "born": self._born, "info": info, "status": status}
        return await self.call("heartbeat", body)

    async def leave(self, first: str = "") -> tuple[str, float] | None:
        """Say that it leaves; return the node that confirmed and when, or None.

        The node ``first`` is called first, if one is given.
        """
        body = {"born": self._born}
        if first:
            self.beat_address = first
        return (self.last_node, time.monotonic()) if await self.call("leave", body) else None

    async def call(self, action: str, body: dict) -> bool:
        """Send a call about itself; return whether a node confirmed it."""
        nodes = self.list_controls()
        nodes = self.random.sample(nodes, len(nodes))
        if self.beat_address:
            nodes = [self.beat_address, *(item for item in nodes if item != self.beat_address)]
        for node in nodes[:FURTHER_TRIES]:
            answer = await send_request(
                node,
                "POST",
                f"/v1/instances/{self.name}/{action}",
                host=node,
                body=json.dumps(body).encode(),
                give_up_seconds=CONFIRMATION_SECONDS,
            )
            if 200 <= answer.status < 300 and len(answer.body) <= 4096:
                self.last_node = node
                with contextlib.suppress(ValueError):
                    self.beat_address = json.loads(answer.body).get("beat_addr") or ""
                return True
            if node == self.beat_address:
                self.beat_address = ""
        return False

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, reader, writer) -> bool:
        """Run a request and answer it; return whether the connection can be kept."""
        method, path, _ = request.start.split(" ", 2)
        request_id = request.headers.get("request-id", "")
        echo = {"Request-Id": request_id} if request_id else {}
        if request.headers.get("expect-instance", self.name) != self.name:
            refusal = {**echo, "Not-Executed": "1", "Instance-Id": self.name}
            writer.write(write_message("HTTP/1.1 421 Misdirected Request", refusal, b""))
            return True
        if not request_id:
            writer.write(write_message("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"}, b""))
            return True
        deadline_ms = int(request.headers.get("deadline-ms", "0"))
        arrived_at = time.monotonic()
        async with self._semaphore:
            self._record(request_id, path, arrived_at, deadline_ms, "begun")
            if self.intercept is not None and await self.intercept(request, writer):
                return False
            lost = asyncio.create_task(reader.read(1))
            await asyncio.wait({lost}, timeout=self.work_seconds)
            if lost.done():
                self._record(request_id, path, time.monotonic(), deadline_ms, "dropped")
                return False
            lost.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await lost
        stamp = f"{self.name}.{secrets.token_hex(4)}"
        headers = {**echo, "Response-Stamp": stamp, "Instance-Id": self.name}
        writer.write(write_message("HTTP/1.1 200 OK", headers, f"{method} {path}".encode()))
        await writer.drain()
        self._record(request_id, path, time.monotonic(), deadline_ms, "answered")
        return True

    def _record(self, request_id: str, path: str, at: float, deadline_ms: int, outcome) -> None:
        self.exchanges.append(Exchange(self.name, request_id, path, at, deadline_ms, outcome))
