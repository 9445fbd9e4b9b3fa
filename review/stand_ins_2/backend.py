"""A backend that follows the users' pages; cases override what it does with a request."""

import asyncio
import itertools
import json
import time
from dataclasses import dataclass, field

from .site import Record, Site, call

HEARTBEAT_SECONDS = 1.5
# Requests that wait for a slot, for each slot; a further one is rejected.
QUEUE_PER_SLOT = 4
# Stated in ``Keep-Alive``; idle connections are closed after it.
IDLE_SECONDS = 10


@dataclass
class Request:
    """A request as it reached a backend."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    at: float = field(default_factory=time.monotonic)

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty text."""
        return next((value for key, value in self.headers if key == name), "")


class Backend:
    """One lifetime of a backend; ``work_seconds`` is how long it works on a request."""

    _numbers = itertools.count(1)

    def __init__(self, site: Site, record: Record, service: str, *, zone: str = "z-a"):
        self.site = site
        self.record = record
        self.service = service
        self.zone = zone
        self.identity = f"i-{next(self._numbers):08x}"
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.work_seconds = 0.05
        self.slots = 3
        self._free_slots = asyncio.Semaphore(self.slots)
        self._held = 0
        self.arrivals: list[Request] = []
        self.runs: list[Request] = []
        self.acknowledged: dict[str, float] = {}
        self.address = ""
        self._sequence = 0
        self._beat_address = ""
        self._server: asyncio.Server | None = None
        self._beat_task: asyncio.Task | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Begin to listen and to send heartbeats."""
        host = self.site.backend_address
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._beat_task = asyncio.create_task(self._keep_beating())

    def stop(self) -> None:
        """End at once, as in a crash."""
        self._beat_task.cancel()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def describe(self) -> dict:
        """Return the body of a ping."""
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": self._sequence, "warmup_left": "0ms"},
        }

    async def beat(self) -> bool:
        """Send one heartbeat; return whether a control acknowledged it."""
        self._sequence += 1
        state, body = self.state, self.describe()
        controls = [f"{item}:{self.site.control_port}" for item in self.site.controls]
        addresses = [self._beat_address, *controls] if self._beat_address else controls
        path = f"/v1/instances/{self.identity}/heartbeat"
        for address in addresses:
            status, content = await call(address, path, json.dumps(body).encode())
            if 200 <= status < 300:
                self._beat_address = json.loads(content or b"{}").get("beat_addr", "")
                if state not in self.acknowledged:
                    self.acknowledged[state] = time.monotonic()
                    self.record.add("heartbeat_acknowledged", backend=self.identity, state=state)
                return True
        return False

    async def _keep_beating(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_SECONDS):
                    request = await _read_request(reader)
                if not await self._answer(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection stays open."""
        identity = request.get("request-id")
        if request.path == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.identity}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if request.get("expect-instance") not in ("", self.identity):
            self._write(writer, 421, identity, b"", "Not-Executed: 1\r\n")
            return True
        if not identity:
            self._write(writer, 400, "", b"", "Not-Executed: 1\r\n")
            return True
        self.arrivals.append(request)
        if self._held >= self.slots * (1 + QUEUE_PER_SLOT):
            self._write(writer, 503, identity, b"", "Not-Executed: 1\r\n")
            return True
        self._held += 1
        try:
            async with self._free_slots:
                return await self.run(request, writer)
        finally:
            self._held -= 1

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it; return whether the connection stays open."""
        self.record_run(request)
        await asyncio.sleep(self.work_seconds)
        self.write_success(writer, request)
        return True

    def record_run(self, request: Request) -> None:
        """Record that this backend began to work on a request."""
        self.runs.append(request)
        self.record.add(
            "run",
            backend=self.identity,
            service=self.service,
            request=request.get("request-id"),
            method=request.method,
            path=request.path,
            tenant=request.get("tenant"),
            size=len(request.body),
        )

    def write_success(self, writer: asyncio.StreamWriter, request: Request) -> None:
        """Write the answer to a request that has run."""
        identity = request.get("request-id")
        stamp = f"Response-Stamp: {self.identity}.{identity}\r\n"
        self._write(writer, 200, identity, f"done {identity}".encode(), stamp)

    def _write(
        self, writer: asyncio.StreamWriter, status: int, identity: str, body: bytes, extra: str
    ) -> None:
        named = f"Request-Id: {identity}\r\n" if identity else ""
        head = f"HTTP/1.1 {status} Status\r\n{named}{extra}Keep-Alive: timeout={IDLE_SECONDS}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    headers = []
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.append((name.strip().lower(), value.strip()))
    size = int(dict(headers).get("content-length", "0"))
    return Request(method, path, headers, await reader.readexactly(size))
