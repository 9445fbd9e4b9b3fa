"""Callers over real sockets: each gets its own answer, and a stop cuts nothing off."""

import asyncio
import socket
from random import Random

import h11
from aiohttp import web_protocol

from ...catalogue import CatalogueCopy, compress_content
from ...edge import EdgeNode, EdgeSettings, HubReceived
from ...forwarding import RetryBudgetSettings
from ...hub.tests.fakes import FakeReader
from ...platform._entry_calls import EntryDialect
from ...registry import TargetEntry, TargetNews, TargetState
from ...telemetry import Metrics
from .._caller_port import CallerPort
from .._forwarder import Forwarder
from .._pool import ConnectionPool


class Site:
    """An entry's caller port before one target, both on loopback."""

    def __init__(self, *, work: float = 0.0):
        self.work = work
        self.seen: list[bytes] = []
        self.broken = 0
        self.reports: list[str] = []

    async def __aenter__(self):
        self._target = await asyncio.start_server(self._serve_target, "127.0.0.1", 0)
        host, port = self._target.sockets[0].getsockname()[:2]
        settings = EdgeSettings(
            vm="e0",
            address="e0:80",
            data_centre="z",
            topology={"z": "r"},
            hubs=(),
            budget=RetryBudgetSettings(ratio=0.2, slack=50.0, window=10.0),
            address_lifetime_seconds=1.5,
        )
        self.node = EdgeNode(settings=settings, reader=FakeReader(), random=Random(1))
        address = f"{host}:{port}"
        target = TargetEntry("i-1", 1, 1, TargetState.READY, address, "s", "z", 3)
        for message in (CatalogueCopy(3, compress_content(b"3")), TargetNews((target,))):
            self.node.handle(0.0, HubReceived("", message))
        dialect = EntryDialect()
        self.pool = ConnectionPool(dialect)
        forwarder = Forwarder(
            context=self.node,
            pool=self.pool,
            dialect=dialect,
            flush=self.node.take_pending,
            report=lambda event, **fields: self.reports.append(event),
            ask=self.ask,
        )
        self.port = CallerPort(
            node=self.node,
            forwarder=forwarder,
            dialect=dialect,
            report=lambda event, **fields: self.reports.append(event),
            metrics=Metrics(),
        )
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        await self.port.start(f"{self.address[0]}:{self.address[1]}")
        return self

    async def ask(self, service: str) -> bool:
        """Grant every repeat, as a hub with a full pool does."""
        return True

    async def __aexit__(self, *error):
        await self.port.stop(0.5)
        self.pool.close()
        self._target.close()

    async def _serve_target(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length)
                self.seen.append(head + body)
                identity = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
                wait = asyncio.ensure_future(reader.read(1)) if self.work else None
                if wait is not None:
                    done, _ = await asyncio.wait({wait}, timeout=self.work)
                    if done:
                        self.broken += 1
                        return
                    wait.cancel()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: %s\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (identity, len(identity), identity)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    async def connect(self):
        return await asyncio.open_connection(*self.address)


def write_request(identity: str, *, method="GET", path="/x", headers=(), body=b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Request-Id: {identity}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader) -> tuple[int, bytes, dict]:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    parser.send(h11.EndOfMessage())
    status, headers, body = 0, {}, b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await asyncio.wait_for(reader.read(1), 2.0))
        elif isinstance(event, h11.Response):
            status, headers = event.status_code, dict(event.headers)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body, headers
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionError("closed")


def run(work):
    return asyncio.run(work)


class TestRequests:
    def test_pipelined_requests_get_their_answers_in_order(self):
        async def work():
            async with Site() as site:
                reader, writer = await site.connect()
                writer.write(write_request("q1") + write_request("q2"))
                return [(await read_answer(reader))[:2] for _ in range(2)]

        assert run(work()) == [(200, b"q1"), (200, b"q2")]

    def test_a_chunked_body_arrives_whole_and_the_path_unchanged(self):
        async def work():
            async with Site() as site:
                reader, writer = await site.connect()
                headers = ("Transfer-Encoding: chunked", "Deadline-Ms: 500")
                chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                path = "/x/%2F?a=%20b"
                writer.write(
                    write_request("q1", method="POST", path=path, headers=headers, body=chunks)
                )
                await read_answer(reader)
                return site.seen[0]

        seen = run(work())
        assert seen.startswith(b"POST /x/%2F?a=%20b HTTP/1.1\r\n")
        assert seen.endswith(b"\r\n\r\nabcde")
        assert b"Expect-Instance: i-1" in seen
        assert 0 < int(seen.split(b"Deadline-Ms: ")[1].split(b"\r\n")[0]) <= 500

    def test_a_path_with_bytes_that_the_protocol_forbids_reaches_no_target(self):
        async def work():
            async with Site() as site:
                reader, writer = await site.connect()
                writer.write(write_request("q1").replace(b"/x", b"/x/\xff\xe9", 1))
                status = (await read_answer(reader))[0]
                return status, site.seen

        status, seen = run(work())
        assert (status, seen) == (400, [])

    def test_a_caller_that_leaves_takes_its_request_along(self):
        async def work():
            async with Site(work=1.0) as site:
                _, writer = await site.connect()
                writer.write(write_request("q1"))
                await asyncio.sleep(0.2)
                writer.close()
                await asyncio.sleep(0.3)
                return site.broken

        assert run(work()) == 1

    def test_a_request_without_a_route_is_told_so(self):
        async def work():
            async with Site() as site:
                reader, writer = await site.connect()
                writer.write(write_request("q1").replace(b"Host: h", b"Host: other"))
                return (await read_answer(reader))[0]

        assert run(work()) == 404

    def test_a_deadline_is_kept(self):
        async def work():
            async with Site(work=1.5) as site:
                reader, writer = await site.connect()
                writer.write(write_request("q1", headers=("Deadline-Ms: 200",)))
                loop = asyncio.get_running_loop()
                began = loop.time()
                status, _, headers = await read_answer(reader)
                return status, loop.time() - began < 1.0, b"retry-after" in headers

        assert run(work()) == (504, True, False)


class TestStops:
    def test_what_is_under_way_is_finished_and_idle_connections_close(self):
        async def work():
            async with Site(work=0.3) as site:
                busy_reader, busy = await site.connect()
                idle_reader, idle = await site.connect()
                busy.write(write_request("q1"))
                await asyncio.sleep(0.1)
                site.port.is_closing = True
                stopping = asyncio.ensure_future(site.port.stop(2.0))
                status, body, headers = await read_answer(busy_reader)
                await stopping
                rest = await asyncio.wait_for(idle_reader.read(), 1.0)
                idle.close()
                return status, body, headers.get(b"connection"), rest

        assert run(work()) == (200, b"q1", b"close", b"")

    def test_a_request_that_arrives_just_as_the_port_closes_is_answered(self, monkeypatch):
        """Planned stop, incident 793e: taken, passed on, and given up."""
        stops = []

        async def work():
            async with Site(work=0.5) as site:
                receive = web_protocol.RequestHandler.data_received

                def receive_and_stop(handler, data):
                    receive(handler, data)
                    stops.append(asyncio.ensure_future(site.port.stop(2.0)))

                monkeypatch.setattr(web_protocol.RequestHandler, "data_received", receive_and_stop)
                reader, writer = await site.connect()
                writer.write(write_request("q1"))
                answer = await read_answer(reader)
                await asyncio.gather(*stops)
                return answer[:2], site.broken

        assert run(work()) == ((200, b"q1"), 0)

    def test_connections_that_idle_for_too_long_are_closed(self):
        async def work():
            async with Site() as site:
                reader, writer = await site.connect()
                writer.write(write_request("q1"))
                await read_answer(reader)
                site.port.sweep(100.0)
                assert not reader.at_eof()
                site.port.sweep(100.0 + 15.0 + 1.5)
                return await asyncio.wait_for(reader.read(), 1.0)

        assert run(work()) == b""
