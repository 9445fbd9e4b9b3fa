"""A faulty target sends bytes without end: memory stays bounded and the attempt fails."""

import asyncio

import pytest

from ...exchange import ExchangeFailedError, ResponseResources, _connection
from ...forwarding import AttemptOutcome
from ...platform._entry_http import PlatformDialect
from ...registry import TargetEntry, TargetState
from .._pool import ConnectionPool
from .test_exchange import OWN_HEADERS, exchange

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS
UNRELATED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
)
MEBIBYTE = 1 << 20


class EndlessTarget:
    """Sends a head and then the same bytes until the connection is closed."""

    def __init__(self, head: bytes, part: bytes):
        self.head = head
        self.part = part
        self.written = 0
        self.is_closed = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.target = TargetEntry("i-1", 1, 1, TargetState.READY, f"{host}:{port}", "s", "z", 3)
        return self

    async def __aexit__(self, *error):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            # Limited here too, so that the test fails if the connection is never closed.
            # Sockets buffer less.
            while self.written < 64 * _connection.MAXIMUM_RESPONSE_BYTES:
                writer.write(self.part)
                self.written += len(self.part)
                await writer.drain()
        except ConnectionError:
            self.is_closed.set()
        finally:
            writer.close()


class TestEndlessResponses:
    @pytest.mark.parametrize(
        ("head", "part"),
        [
            (b"", b"\x00" * 8192),
            (RESPONSE_HEAD, b"X-More: " + b"x" * 500 + b"\r\n"),
            (RESPONSE_HEAD + b"\r\n", b"x" * 65536),
            (RESPONSE_HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 65536),
            (
                RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                b"10000\r\n" + b"x" * 65536 + b"\r\n",
            ),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            (b"", UNRELATED_RESPONSE * 100),
        ],
        ids=["garbage", "head", "close-ended", "length", "chunks", "interim", "unrelated"],
    )
    def test_connection_is_closed_and_buffers_are_released(self, head, part, monkeypatch):
        monkeypatch.setattr(_connection, "MAXIMUM_RESPONSE_BYTES", MEBIBYTE)

        async def test():
            async with EndlessTarget(head, part) as target:
                pool = ConnectionPool(PlatformDialect(), lambda target: 4)
                connection = await pool.get(target.target, is_repeatable=True)
                with pytest.raises(ExchangeFailedError) as failure:
                    await exchange(target, connection)
                await asyncio.wait_for(target.is_closed.wait(), 2.0)
                assert failure.value.outcome == AttemptOutcome.UNUSABLE
                assert pool.resources.reserved_bytes == 0
                assert not connection.is_open

        asyncio.run(test())

    def test_connections_share_one_memory_limit(self):
        async def test():
            async with EndlessTarget(RESPONSE_HEAD + b"\r\n", b"x" * 65536) as target:
                resources = ResponseResources(maximum_bytes=MEBIBYTE)
                pool = ConnectionPool(PlatformDialect(), lambda target: 4, resources=resources)
                connections = [await pool.get(target.target, is_repeatable=True) for _ in range(4)]
                exchanges = [exchange(target, connection) for connection in connections]
                results = await asyncio.gather(*exchanges, return_exceptions=True)
                assert all(isinstance(item, ExchangeFailedError) for item in results)
                assert pool.resources.reserved_bytes == 0

        asyncio.run(test())


class TestResponseResources:
    def test_released_bytes_can_be_reserved_again(self):
        async def test():
            resources = ResponseResources(maximum_bytes=MEBIBYTE)
            first = resources.open("i-1", lambda reason: None)
            second = resources.open("i-2", lambda reason: None)
            assert resources.reserve(first, MEBIBYTE)
            assert not resources.reserve(first, 1)
            resources.close(first)
            assert resources.reserve(second, 1)

        asyncio.run(test())
