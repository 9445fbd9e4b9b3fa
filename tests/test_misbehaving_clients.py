"""Clients that misbehave at any port of a site: its processes live, and serve others.

The site, its limits and the senders of incomplete requests are those of
``test_callers_beyond_limits``. A crowd here also uses the ports for metrics and between processes,
and a bound holds for the control and the entry, whichever of them is crowded.
"""

import asyncio
import contextlib
import gzip
import itertools
import json
import os
import random
import struct
from collections.abc import Callable
from pathlib import Path

import pytest
from aiohttp import ClientConnectionError, ClientSession, web

from .processes import read_memory_mb
from .test_callers_beyond_limits import (
    BLOCK_BYTES,
    CHUNKED_HEAD,
    CONTROL,
    CROWD_SECONDS,
    CROWDS,
    ENTRY,
    HANG_SECONDS,
    HEAD,
    LARGE_CHUNK,
    MAXIMUM_BODY_BYTES,
    MAXIMUM_DESCRIPTORS,
    MAXIMUM_HEADER_BYTES,
    MEMORY_MB,
    OTHER_CROWDS,
    SMALL_CHUNKS,
    Site,
    create_document,
    modules,  # noqa: F401
    send_crowd,
    send_declared,
    send_repeated,
    wait_for,
)

# Ports of a VM, in addition to those of the settings.
METRICS_PORTS = {CONTROL: 9101, ENTRY: 9100}
# A process writes at most 60 lines a second of an event; an ordinary line has a few hundred bytes.
MAXIMUM_LOG_BYTES = 8 << 20
# Evidence that a request of a working target failed; the crowd's work may make it slow.
BLAME = {"broken", "error", "unreachable", "refused", "unusable"}
REPEATING_CLIENTS = 20
RESPONSE_SECONDS = 1.0
LARGE_DOCUMENT_BYTES = 2 << 20
LONG_NAME = "n" * 200
LONG_PATH_BYTES = 60_000


class OpenSite(Site):
    """A site with clients at several ports, each given by its VM and its name or number."""

    def __init__(self, folder: Path, modules: Path):  # noqa: F811
        super().__init__(folder, modules, MEMORY_MB, MAXIMUM_BODY_BYTES)
        self.doors = itertools.cycle([self.crowded])

    def crowd(self, *doors: tuple[str, str]) -> None:
        """Let each client of the crowd take the next one of some ports."""
        self.doors = itertools.cycle(doors)

    def create_target(self) -> web.Server:
        return web.Server(self._serve, max_headers=MAXIMUM_HEADER_BYTES)

    async def _serve(self, request):
        """Respond as targets do that need an id, or that compress a body on request."""
        names = request.headers.getall("Request-Id", [])
        if not names:
            return web.Response(status=400, headers={"Not-Executed": "1"})
        if "gzip" in request.headers.get("Accept-Encoding", ""):
            headers = {"Request-Id": names[0], "Response-Stamp": "s", "Content-Encoding": "gzip"}
            return web.Response(body=gzip.compress(b"x"), headers=headers)
        if len(names) > 1:
            headers = {"Request-Id": names[-1], "Response-Stamp": "s"}
            return web.Response(text="0", headers=headers)
        return await super()._serve(request)

    def find_address(self, vm: str, port: str) -> tuple[str, int]:
        return vm, METRICS_PORTS[vm] if port == "metrics" else self.ports[port]

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.find_address(*next(self.doors)))

    async def ask(self, session: ClientSession, vm: str, port: str) -> bool:
        """Return whether a port still serves a short request, or begins a handshake.

        A connection beyond the limit may be closed; its client tries again.
        """
        with contextlib.suppress(ClientConnectionError):
            return await self._ask(session, vm, port)
        return False

    async def _ask(self, session: ClientSession, vm: str, port: str) -> bool:
        host, number = self.find_address(vm, port)
        if port == "front":
            return await self.order(session, b"another")
        if port == "peer":
            reader, writer = await asyncio.open_connection(host, number)
            try:
                return bool(await reader.read(1))
            finally:
                writer.transport.abort()
        paths = {"call": "/v1/config/get", "ready": "/v1/ready", "metrics": "/metrics"}
        headers = {"Connection": "close"}
        async with session.get(f"http://{host}:{number}{paths[port]}", headers=headers) as reply:
            return reply.status == 200

    async def put_document(self, session: ClientSession, version: int, size: int) -> None:
        """Put a document in force whose text has at least ``size`` bytes."""
        document = json.loads(create_document(self.maximum_body))
        document["version"] = f"{version:08x}"
        document["routes"]["columns"].append("note")
        document["routes"]["rows"][0].append(random.Random(1).randbytes(size // 2).hex())
        content = json.dumps(document).encode()
        await wait_for(lambda: self._post(session, "/v1/config/put", content))

    def reset_peak(self) -> None:
        for process in self.processes.values():
            Path(f"/proc/{process.pid}/clear_refs").write_text("5")

    def read_peaks_mb(self) -> dict[str, float]:
        return {vm: read_memory_mb(p.pid, "VmHWM") for vm, p in self.processes.items()}

    def count_all_descriptors(self) -> dict[str, int]:
        return {vm: len(os.listdir(f"/proc/{p.pid}/fd")) for vm, p in self.processes.items()}

    def get_log_sizes(self) -> dict[str, int]:
        return {vm: (self.folder / f"{vm}.log").stat().st_size for vm in self.processes}

    def list_blame(self) -> list[str]:
        """Return the log lines by which a request counted as a failure of the target."""
        blame = []
        for line in (self.folder / f"{ENTRY}.log").read_text(errors="replace").splitlines():
            if '"attempt_crashed"' in line or '"attempt_failed"' in line:
                fields = json.loads(line)
                if BLAME & {fields.get("outcome", "broken")}:
                    blame.append(line[:500])
        return blame


def repeat(create_request: Callable[[], bytes]):
    """Return a crowd of clients that send one request after another."""

    async def run(site: OpenSite) -> list:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CROWD_SECONDS

        async def send() -> None:
            while loop.time() < deadline:
                with contextlib.suppress(OSError):
                    reader, writer = await site.connect()
                    try:
                        while loop.time() < deadline:
                            writer.write(create_request())
                            await asyncio.wait_for(writer.drain(), RESPONSE_SECONDS)
                            if not await asyncio.wait_for(reader.read(1 << 20), RESPONSE_SECONDS):
                                break
                    finally:
                        writer.transport.abort()

        async with asyncio.timeout(CROWD_SECONDS + HANG_SECONDS), asyncio.TaskGroup() as group:
            for _ in range(REPEATING_CLIENTS):
                group.create_task(send())
        return []

    return run


def hold(count: int, *senders):
    """Return a crowd that sends incomplete requests of some kinds in turn, and stays connected."""

    async def run(site: OpenSite) -> list:
        kinds = itertools.cycle(senders)

        async def send(writer: asyncio.StreamWriter) -> None:
            await next(kinds)(writer)

        return await send_crowd(site, count, send)

    return run


def ask_with(field: bytes, head: bytes = HEAD):
    """Return a crowd whose requests have an unusual header field."""
    return repeat(lambda: head + field + b"Content-Length: 0\r\n\r\n")


def create_announcement() -> Callable[[], bytes]:
    """Return a factory of blocks of announcements of targets that do not exist."""
    numbers = itertools.count()

    def create() -> bytes:
        block = b""
        for number in itertools.islice(numbers, 50):
            host = f"127.{1 + number // 65536}.{number // 256 % 256}.{number % 256}"
            announcement = {
                "address": f"{host}:9",
                "born": 1700,
                "info": {"service": LONG_NAME, "version": "v1", "zone": LONG_NAME, "slots": 3},
                "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"},
            }
            body = json.dumps(announcement).encode()
            block += b"POST /v1/instances/%d-%s/heartbeat HTTP/1.1\r\nHost: c\r\n" % (
                number,
                LONG_NAME.encode(),
            )
            block += b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        return block

    return create


def send_compressed(path: bytes):
    """Return a sender of a body that grows when it is decompressed."""
    content = gzip.compress(bytes(64 << 20))
    head = b"POST %s HTTP/1.1\r\nHost: c\r\nContent-Encoding: gzip\r\n" % path
    head += b"Content-Length: %d\r\n\r\n" % (len(content) + 1)

    async def send(writer: asyncio.StreamWriter) -> None:
        for at in range(0, len(content), BLOCK_BYTES):
            writer.write(head if at == 0 else b"")
            writer.write(content[at : at + BLOCK_BYTES])
            await writer.drain()

    return send


async def send_unread_read(writer: asyncio.StreamWriter) -> None:
    """Request the document and read none of it."""
    writer.transport.pause_reading()
    writer.write(b"GET /v1/config/get HTTP/1.1\r\nHost: c\r\n\r\n")
    await writer.drain()
    await asyncio.sleep(3.0)


FRONT, READY = (ENTRY, "front"), (ENTRY, "ready")
CALL, CONTROL_METRICS, CONTROL_PEER = (CONTROL, "call"), (CONTROL, "metrics"), (CONTROL, "peer")
ENTRY_METRICS, ENTRY_PEER = (ENTRY, "metrics"), (ENTRY, "peer")
HALF_HEADS = CROWDS["half-heads"][1]
MANY = 2 * MAXIMUM_DESCRIPTORS
NO_ID = HEAD.replace(b"Request-Id: crowd\r\n", b"")
# The length of a frame of a handshake, and less than its content.
HALF_HANDSHAKE = send_repeated(struct.pack(">I", 100) + b"x", 5)
UNKNOWN_PATH = b"GET /y/%%d/%s HTTP/1.1\r\nHost: h%%d.example\r\nRequest-Id: %%d\r\n\r\n" % (
    b"p" * LONG_PATH_BYTES
)
DISTINCT = (
    b"POST /x/%d?q%d=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %d\r\nN-%d-"
    + b"n" * 8000
    + b": 1\r\nContent-Length: 0\r\n\r\n"
)


SHORT_FIELDS = b"a:\r\n" * (BLOCK_BYTES // 4)
# A body after which requests with many fields follow, in the same read of the entry.
WHOLE_BODY = CHUNKED_HEAD + LARGE_CHUNK + b"0\r\n\r\n"
LONG_HEAD = HEAD + b"Content-Length: 0\r\n" + SHORT_FIELDS[: MAXIMUM_HEADER_BYTES // 2] + b"\r\n"


def repeat_numbered(template: bytes):
    """Return a crowd of requests in which each ``%d`` is another number in each request."""
    width = template.count(b"%d")
    numbers = itertools.count()
    return repeat(lambda: template % tuple([next(numbers)] * width))


# Each crowd: the ports that its clients take in turn, and what they do.
OPEN_CROWDS = {
    # Requests that the entry cannot send on, or whose response it cannot use.
    "connection-host": ([FRONT], ask_with(b"Connection: Host\r\n")),
    "connection-id": ([FRONT], ask_with(b"Connection: Request-Id\r\n")),
    "connect": ([FRONT], ask_with(b"", HEAD.replace(b"POST", b"CONNECT"))),
    "compression": ([FRONT], ask_with(b"Accept-Encoding: gzip\r\n")),
    "no-id": ([FRONT], ask_with(b"", NO_ID)),
    "two-ids": ([FRONT], ask_with(b"Request-Id: other\r\n")),
    "unread-responses": ([FRONT], hold(*CROWDS["unread-responses"])),
    # What grows with the number of different requests, or with their size.
    "unknown-paths": ([FRONT], repeat_numbered(UNKNOWN_PATH)),
    "distinct-names": ([FRONT], repeat_numbered(DISTINCT)),
    "short-fields": ([FRONT], hold(60, send_repeated(SHORT_FIELDS, 1 << 20, HEAD))),
    "later-heads": ([FRONT], repeat(lambda: WHOLE_BODY + 3 * LONG_HEAD)),
    "malformed-heads": (
        [FRONT, READY, CALL],
        repeat(lambda: b"GET / HTTP/1.1\r\n\xff: x\r\n\r\n"),
    ),
    "targets": ([CALL], repeat(create_announcement())),
    # Bodies and responses beyond the budget of a server.
    "compressed-bodies": ([CALL], hold(40, send_compressed(b"/v1/config/put"))),
    "compressed-look-ups": ([READY], hold(40, send_compressed(b"/v1/resolve"))),
    "unread-documents": ([CALL], hold(40, send_unread_read)),
    # Connections that never complete a request.
    "entry-metrics": ([ENTRY_METRICS], hold(MANY, HALF_HEADS)),
    "control-metrics": ([CONTROL_METRICS], hold(MANY, HALF_HEADS)),
    "metrics-bodies": ([ENTRY_METRICS], hold(*OTHER_CROWDS["bodies"])),
    "entry-peers": ([ENTRY_PEER], hold(MANY, HALF_HANDSHAKE)),
    "control-peers": ([CONTROL_PEER], hold(MANY, HALF_HANDSHAKE)),
    # All at once.
    "mixed-entry": (
        [FRONT, READY, ENTRY_METRICS, ENTRY_PEER],
        hold(
            MANY,
            HALF_HEADS,
            send_declared(2 << 20, (2 << 20) - 1, BLOCK_BYTES),
            send_repeated(SMALL_CHUNKS, MAXIMUM_BODY_BYTES, CHUNKED_HEAD),
            send_repeated(b"\r\n" * (BLOCK_BYTES // 2), 1 << 20),
            HALF_HANDSHAKE,
        ),
    ),
    "mixed-control": (
        [CALL, CONTROL_METRICS, CONTROL_PEER],
        hold(
            MANY,
            HALF_HEADS,
            send_compressed(b"/v1/config/put"),
            send_unread_read,
            HALF_HANDSHAKE,
        ),
    ),
}


async def play(site: OpenSite, doors: list[tuple[str, str]], run) -> None:
    async with ClientSession(skip_auto_headers=["Accept-Encoding"]) as session:
        await site.begin(session)
        if CALL in doors:
            await site.put_document(session, 2, LARGE_DOCUMENT_BYTES)
        site.reset_peak()
        site.crowd(*doors)
        writers = await run(site)
        try:
            descriptors, peaks = site.count_all_descriptors(), site.read_peaks_mb()
            print(f"peaks {peaks} MB, {descriptors} descriptors")
            # The crowd still holds its connections.
            for vm, port in (FRONT, CALL, *doors):
                await wait_for(lambda vm=vm, port=port: site.ask(session, vm, port))
        finally:
            for writer in writers:
                writer.transport.abort()
        for vm, port in (FRONT, CALL, *doors):
            await wait_for(lambda vm=vm, port=port: site.ask(session, vm, port))
        await wait_for(lambda: site.order(session, bytes(site.maximum_body)))
        peaks, logs, blame = site.read_peaks_mb(), site.get_log_sizes(), site.list_blame()
        print(f"peaks at the end {peaks} MB, logs {logs} bytes, {len(blame)} blamed")
        assert all(process.poll() is None for process in site.processes.values())
        assert max(peaks.values()) <= MEMORY_MB
        assert max(descriptors.values()) <= MAXIMUM_DESCRIPTORS
        assert max(logs.values()) <= MAXIMUM_LOG_BYTES
        assert blame[:3] == []


@pytest.mark.process
@pytest.mark.parametrize("crowd", OPEN_CROWDS)
def test_site_survives_a_crowd(tmp_path, modules, crowd):  # noqa: F811
    """Guards against a port without the limits, and against requests that count as failures."""
    site = OpenSite(tmp_path, modules)
    try:
        asyncio.run(play(site, *OPEN_CROWDS[crowd]))
    finally:
        site.end()


async def send_many_fields(site: OpenSite) -> int:
    """Send a request whose header fields are as many as fit into the limit; return the status."""
    head = HEAD.replace(b"crowd", b"fields") + b"Content-Length: 0\r\n"
    names = [bytes(name) for name in itertools.product(b"abcdefghijklmnop", repeat=3)]
    # The limit counts a name, its value and the four characters around them.
    used = sum(len(line) + 2 for line in head.split(b"\r\n")[1:-1])
    fields = [b"%s: 1\r\n" % name for name in names[: (MAXIMUM_HEADER_BYTES - used) // 8]]
    reader, writer = await site.connect()
    try:
        writer.write(head + b"".join(fields) + b"\r\n")
        return int((await reader.readuntil(b"\r\n")).split()[1])
    finally:
        writer.transport.abort()


async def play_many_fields(site: OpenSite) -> None:
    async with ClientSession(skip_auto_headers=["Accept-Encoding"]) as session:
        await site.begin(session)
        assert await send_many_fields(site) == 200


@pytest.mark.process
def test_largest_legal_head_in_short_fields_is_served(tmp_path, modules):  # noqa: F811
    """Guards against a limit on the number of fields that a head inside the limit meets."""
    site = OpenSite(tmp_path, modules)
    try:
        asyncio.run(play_many_fields(site))
    finally:
        site.end()
