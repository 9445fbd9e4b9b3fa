"""Only whole answers that belong to the request are taken from a target's bytes."""

import asyncio
import struct

import h11
import pytest

from ...forwarding import AttemptOutcome
from ...platform._entry_calls import EntryDialect
from ...registry import TargetEntry, TargetState
from .._exchange import ExchangeFailedError, TargetConnection
from .._pool import ConnectionPool

OWN = b"Request-Id: q1\r\nResponse-Stamp: s\r\n"
FOREIGN = b"Request-Id: other\r\nResponse-Stamp: s\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 2\r\n\r\nok"


class ScriptedTarget:
    """Writes some bytes for each request, then does what the script says."""

    def __init__(self, *parts: bytes, ends: str = "keep", wait: float = 0.0):
        self.parts = list(parts)
        self.ends = ends
        self.wait = wait
        self.requests: list[bytes] = []
        self.connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        address = f"{host}:{port}"
        self.target = TargetEntry("i-1", 1, 1, TargetState.READY, address, "s", "z", 3)
        return self

    async def __aexit__(self, *error):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(head)
                writer.write(self.parts.pop(0) if self.parts else b"")
                await writer.drain()
                if self.ends == "close":
                    writer.close()
                    return
                if self.ends == "reset":
                    await asyncio.sleep(0.02)
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(1, 13, linger)
                    writer.close()
                    return
                if self.wait:
                    await asyncio.sleep(self.wait)
                    writer.write(self.parts.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError):
            return


async def exchange(target: ScriptedTarget, connection: TargetConnection | None = None):
    pool = ConnectionPool(EntryDialect())
    if connection is None:
        connection = await pool.get(target.target, is_repeatable=True)
    request = h11.Request(method="GET", target="/x", headers=[("Host", "h"), ("Request-Id", "q1")])
    answer = await asyncio.wait_for(connection.exchange(request, b"", b"q1"), 2.0)
    return connection, answer


def run(work):
    return asyncio.run(work)


class TestWholeAnswers:
    def test_an_answer_with_a_length(self):
        async def work():
            async with ScriptedTarget(WHOLE) as target:
                return await exchange(target)

        connection, answer = run(work())
        assert (answer.status, answer.body) == (200, b"ok")
        assert connection.is_reusable

    def test_an_answer_in_chunks(self):
        async def work():
            content = b"HTTP/1.1 200 OK\r\n" + OWN + b"Transfer-Encoding: chunked\r\n\r\n"
            async with ScriptedTarget(content + b"2\r\nok\r\n0\r\n\r\n") as target:
                return await exchange(target)

        assert run(work())[1].body == b"ok"

    def test_an_answer_that_ends_with_its_connection(self):
        async def work():
            content = b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\nok"
            async with ScriptedTarget(content, ends="close") as target:
                return await exchange(target)

        connection, answer = run(work())
        assert answer.body == b"ok"
        assert not connection.is_reusable

    def test_an_extra_answer_before_is_skipped(self):
        async def work():
            extra = b"HTTP/1.1 200 OK\r\n" + FOREIGN + b"Content-Length: 3\r\n\r\nbad"
            async with ScriptedTarget(extra + WHOLE) as target:
                return await exchange(target)

        assert run(work())[1].body == b"ok"

    def test_bytes_after_an_answer_end_the_connection(self):
        async def work():
            async with ScriptedTarget(WHOLE + b"HTTP/1.1 200 OK\r\n") as target:
                return await exchange(target)

        connection, answer = run(work())
        assert answer.body == b"ok"
        assert not connection.is_reusable

    def test_bytes_while_idle_end_the_connection(self):
        async def work():
            async with ScriptedTarget(WHOLE, WHOLE, wait=0.05) as target:
                connection, _ = await exchange(target)
                assert connection.is_reusable
                await asyncio.sleep(0.2)
                return connection

        assert not run(work()).is_open


class TestBrokenAnswers:
    @pytest.mark.parametrize(
        ("content", "ends"),
        [
            (b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 9\r\n\r\nok", "close"),
            (b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 9\r\n\r\nok", "reset"),
            (b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\nok", "reset"),
            (b"HTTP/1.1 200 OK\r\n" + OWN + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok", "close"),
            (b"\x00\x01 nothing in the protocol\r\n\r\n", "keep"),
            (b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok", "keep"),
            (b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Encoding: gzip\r\n\r\n", "close"),
            (b"", "close"),
            (b"", "reset"),
        ],
    )
    def test_nothing_that_is_not_whole_is_taken(self, content, ends):
        async def work():
            async with ScriptedTarget(content, ends=ends) as target:
                await exchange(target)

        with pytest.raises(ExchangeFailedError) as failure:
            run(work())
        assert failure.value.outcome in (AttemptOutcome.BROKEN, AttemptOutcome.UNUSABLE)

    def test_a_broken_connection_is_never_sent_on_again(self):
        async def work():
            async with ScriptedTarget(WHOLE, b"", ends="keep") as target:
                connection, _ = await exchange(target)
                target.ends = "reset"
                with pytest.raises(ExchangeFailedError):
                    await exchange(target, connection)
                return target

        target = run(work())
        assert (target.connections, len(target.requests)) == (1, 2)


class TestPool:
    def test_a_connection_is_reused_until_it_is_too_old(self):
        async def work():
            async with ScriptedTarget(WHOLE, WHOLE) as target:
                pool = ConnectionPool(EntryDialect())
                connection, _ = await exchange(target)
                pool.put(target.target, connection)
                same = await pool.get(target.target, is_repeatable=False)
                assert same is connection
                pool.put(target.target, connection)
                connection.idle_since -= 2.5
                fresh = await pool.get(target.target, is_repeatable=False)
                assert fresh is not connection
                again = await pool.get(target.target, is_repeatable=True)
                assert again is connection

        run(work())
