"""Targets that send without end, at each place of a response: bounded work, and a verdict."""

import asyncio
import contextlib

import h11
import pytest

from ...forwarding import AttemptOutcome
from .. import (
    ExchangeFailedError,
    RawHeaders,
    ResponseDialect,
    ResponseProblem,
    ResponseResources,
    TargetConnection,
)
from .._resources import SLICE_SECONDS, TURN_READ_BYTES

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK_BYTES = 64 << 10
MEBIBYTE = 1 << 20
# Time for one event of the parser, by the clock of these tests.
EVENT_SECONDS = 0.00001
# What a turn may parse: one slice, and a few events of each connection that was read.
EVENTS_IN_A_SLICE = round(SLICE_SECONDS / EVENT_SECONDS)
PROMPT_EVENTS = 20
CONNECTIONS = 12


def repeat(part: bytes) -> bytes:
    return part * max(1, BLOCK_BYTES // len(part))


def chunk(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


SMALL_FIELD = b"a:\r\n"
# What a target sends once, what it repeats until its connection is closed, and the verdict.
ENDLESS = {
    "empty-lines": (b"", b"\r\n", ResponseProblem.MALFORMED),
    "status-line": (b"HTTP/1.1 200 ", b"x", ResponseProblem.MALFORMED),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", ResponseProblem.ENDLESS),
    "interim-fields": (b"HTTP/1.1 103 Early Hints\r\n", SMALL_FIELD, ResponseProblem.ENDLESS),
    "switching-protocols": (b"HTTP/1.1 101 Switching\r\n\r\n", b"x", ResponseProblem.MALFORMED),
    "field-name": (HEAD, b"x", ResponseProblem.MALFORMED),
    "field-value": (HEAD + b"A: ", b"x", ResponseProblem.MALFORMED),
    "folded-value": (HEAD + b"A: b\r\n", b" b\r\n", ResponseProblem.ENDLESS),
    "small-fields": (HEAD, SMALL_FIELD, ResponseProblem.ENDLESS),
    "body-to-the-end": (HEAD + b"\r\n", b"x", ResponseProblem.ENDLESS),
    "long-body": (HEAD + b"Content-Length: 9999999999\r\n\r\n", b"x", ResponseProblem.TOO_LARGE),
    "large-chunks": (CHUNKED, chunk(BLOCK_BYTES), ResponseProblem.ENDLESS),
    "small-chunks": (CHUNKED, chunk(200), ResponseProblem.ENDLESS),
    "chunk-size": (CHUNKED, b"0", ResponseProblem.MALFORMED),
    "chunk-extension": (CHUNKED + b"1;", b"x", ResponseProblem.MALFORMED),
    "extensions": (CHUNKED, b"1;" + b"x" * 4000 + b"\r\nx\r\n", ResponseProblem.ENDLESS),
    "trailer": (CHUNKED + b"0\r\na: ", b"x", ResponseProblem.MALFORMED),
    "trailers": (CHUNKED + b"0\r\n", SMALL_FIELD, ResponseProblem.ENDLESS),
}


class OpenDialect(ResponseDialect):
    """Takes every response for one to the request."""

    def is_response_to(self, headers: RawHeaders, status: int, request_id: bytes) -> bool:
        return True

    def names_request(self, headers: RawHeaders, request_id: bytes) -> bool:
        return True

    def find_problem(self, status: int, headers: RawHeaders) -> str:
        return ""

    def get_idle_seconds(self, headers: RawHeaders) -> float:
        return 5.0


class ScriptedTarget:
    """Sends some bytes, then a part again and again until the connection is closed."""

    def __init__(self, head: bytes, part: bytes = b""):
        self.head = head
        self.part = repeat(part) if part else b""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *error):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while self.part:
                writer.write(self.part)
                await writer.drain()
                await asyncio.sleep(0)
            await reader.read()
        except OSError:
            pass
        finally:
            writer.close()


async def send(target: ScriptedTarget, resources: ResponseResources, source: str, **options):
    """Return the response of a target, or the error with which the exchange failed."""
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: TargetConnection(OpenDialect(), resources, source, **options),
        "127.0.0.1",
        target.port,
    )
    request = h11.Request(method="GET", target="/x", headers=[("Host", "h")])
    try:
        return await connection.exchange(request, b"", b"")
    except ExchangeFailedError as error:
        return error
    finally:
        connection.close()


class TurnMeter:
    """Counts what is parsed in each turn of the event loop, with a clock that it moves."""

    def __init__(self, monkeypatch):
        self.now = 0.0
        self.events = 0
        self.longest_turn = 0
        next_event = h11.Connection.next_event

        def count(parser):
            self.now += EVENT_SECONDS
            self.events += 1
            return next_event(parser)

        monkeypatch.setattr(h11.Connection, "next_event", count)

    def read_clock(self) -> float:
        return self.now

    def watch(self) -> None:
        self.longest_turn = max(self.longest_turn, self.events)
        self.events = 0
        asyncio.get_running_loop().call_soon(self.watch)


class TestTurns:
    @pytest.mark.parametrize("size", [1, 12, 200])
    def test_all_responses_together_take_a_bounded_part_of_a_turn(self, size, monkeypatch):
        """Guards against an entry that stands still while it parses many endless responses."""

        async def test():
            meter = TurnMeter(monkeypatch)
            resources = ResponseResources(read_clock=meter.read_clock)
            meter.watch()
            async with ScriptedTarget(CHUNKED, chunk(size)) as target:
                sent = [send(target, resources, f"t{n % 3}") for n in range(CONNECTIONS)]
                tasks = [asyncio.create_task(item) for item in sent]
                await asyncio.wait(tasks, timeout=1.0)
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks)
            assert meter.longest_turn > 0
            bound = EVENTS_IN_A_SLICE + CONNECTIONS * PROMPT_EVENTS
            assert meter.longest_turn <= bound, meter.longest_turn
            assert resources.reserved_bytes == 0

        asyncio.run(test())

    def test_large_responses_together_read_a_bounded_number_of_bytes(self):
        resources = ResponseResources()
        connections = [TargetConnection(OpenDialect(), resources, "t") for _ in range(60)]
        for connection in connections:
            resources.set_large(connection, True)
        sizes = [len(resources.get_read_buffer(item)) for item in connections]
        assert sum(sizes) <= TURN_READ_BYTES
        for connection in connections[1:]:
            resources.set_large(connection, False)
        assert len(resources.get_read_buffer(connections[0])) == BLOCK_BYTES

    def test_a_response_beside_endless_ones_of_another_target_is_served(self):
        whole = CHUNKED + chunk(12) * 20_000 + b"0\r\n\r\n"

        async def test():
            resources = ResponseResources()
            async with (
                ScriptedTarget(CHUNKED, chunk(12)) as faulty,
                ScriptedTarget(whole) as sound,
            ):
                endless = [
                    asyncio.create_task(send(faulty, resources, "faulty"))
                    for _ in range(CONNECTIONS)
                ]
                response = await asyncio.wait_for(send(sound, resources, "sound"), 30.0)
                assert response.body == b"x" * 240_000
                for task in endless:
                    task.cancel()
                await asyncio.wait(endless)

        asyncio.run(test())


class TestVerdicts:
    @pytest.mark.parametrize("kind", ENDLESS)
    def test_endless_response_ends_with_a_verdict_on_its_target(self, kind):
        """Guards against responses that are read until the request's deadline."""
        head, part, problem = ENDLESS[kind]

        async def test():
            resources = ResponseResources()
            async with ScriptedTarget(head, part) as target:
                sent = send(target, resources, "t", maximum_response=MEBIBYTE)
                error = await asyncio.wait_for(sent, 30.0)
            assert (error.problem, error.outcome) == (problem, AttemptOutcome.UNUSABLE)
            assert resources.reserved_bytes == 0

        asyncio.run(test())

    def test_bytes_after_the_end_close_the_connection(self):
        async def test():
            resources = ResponseResources()
            head = HEAD + b"Content-Length: 2\r\n\r\nok"
            async with ScriptedTarget(head, b"x") as target:
                response = await asyncio.wait_for(send(target, resources, "t"), 30.0)
            assert (response.status, response.body) == (200, b"ok")
            assert resources.reserved_bytes == 0

        asyncio.run(test())

    def test_second_response_beyond_the_framing_allowance_is_a_failure(self):
        async def test():
            resources = ResponseResources()
            async with ScriptedTarget(CHUNKED, chunk(1)) as target:
                tasks = [asyncio.create_task(send(target, resources, "t")) for _ in range(4)]
                ended = asyncio.as_completed(tasks, timeout=30.0)
                for _ in range(len(tasks) - 1):
                    assert (await next(ended)).problem == ResponseProblem.ENDLESS
                (holder,) = (task for task in tasks if not task.done())
                holder.cancel()
                await asyncio.wait({holder})
                # The response that had the place did not end.
                error = await asyncio.wait_for(send(target, resources, "t"), 30.0)
                assert error.problem == ResponseProblem.ENDLESS

        asyncio.run(test())


class TestWholeResponses:
    @pytest.mark.parametrize(
        "content",
        [chunk(1) * 100_000, chunk(12) * 50_000, chunk(200) * 5000, chunk(1 << 20)],
        ids=["1", "12", "200", "1-MiB"],
    )
    def test_response_in_chunks_of_any_size_is_served_in_calm(self, content):
        """Guards against limits that a whole response inside all others meets."""

        async def test():
            async with ScriptedTarget(CHUNKED + content + b"0\r\n\r\n") as target:
                response = await asyncio.wait_for(send(target, ResponseResources(), "t"), 30.0)
            assert len(response.body) == content.count(b"x")

        asyncio.run(test())

    @pytest.mark.parametrize("chunks", [17, 18, 100, 5000])
    def test_connection_is_used_again_after_a_response_in_small_chunks(self, chunks):
        """Guards against a connection that is kept, but not read any more."""
        whole = CHUNKED + chunk(1) * chunks + b"0\r\n\r\n"

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(whole)
            writer.close()

        async def test():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: TargetConnection(OpenDialect(), ResponseResources(), "t"), *address
            )
            request = h11.Request(method="GET", target="/x", headers=[("Host", "h")])
            for _ in range(3):
                exchange = connection.exchange(request, b"", b"")
                response = await asyncio.wait_for(exchange, 30.0)
                assert (len(response.body), connection.is_reusable) == (chunks, True)
            connection.close()
            server.close()

        asyncio.run(test())

    @pytest.mark.parametrize("fields", [SMALL_FIELD * 2000, b"a: %s\r\n" % (b"x" * 1000) * 60])
    def test_large_head_and_large_trailers_are_served(self, fields):
        async def test():
            head = HEAD + fields + b"Transfer-Encoding: chunked\r\n\r\n"
            async with ScriptedTarget(head + chunk(5) + b"0\r\n" + fields + b"\r\n") as target:
                response = await asyncio.wait_for(send(target, ResponseResources(), "t"), 30.0)
            assert (response.status, response.body) == (200, b"xxxxx")

        asyncio.run(test())


class TestSharedMemory:
    def test_faulty_target_displaces_no_response_of_another(self):
        """Guards against responses that are given up for those of a faulty target."""

        async def test():
            resources = ResponseResources(maximum_bytes=MEBIBYTE)
            sound = resources.open("sound", lambda reason: None)
            assert resources.reserve(sound, BLOCK_BYTES)
            async with ScriptedTarget(HEAD + b"\r\n", b"x") as target:
                sent = [send(target, resources, "faulty") for _ in range(CONNECTIONS)]
                tasks = [asyncio.create_task(item) for item in sent]
                while resources.reserved_bytes <= MEBIBYTE - BLOCK_BYTES:
                    await asyncio.sleep(0)
                assert resources.reserve(sound, 2 * BLOCK_BYTES)
                await asyncio.wait(tasks, timeout=30.0)
                assert all(task.result().problem == ResponseProblem.NO_MEMORY for task in tasks)

        asyncio.run(test())
