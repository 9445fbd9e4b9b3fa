"""Targets in trouble whose bytes never end: bounded memory, and the truth for the caller."""

import asyncio

import pytest

from ...forwarding import AttemptOutcome
from ...platform._entry_calls import EntryDialect
from ...registry import TargetEntry, TargetState
from .. import _exchange
from .._exchange import AnswerBuffers, ExchangeFailedError
from .._pool import ConnectionPool
from .test_exchange import OWN, exchange

ANSWER = b"HTTP/1.1 200 OK\r\n" + OWN
FOREIGN = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
)
MEBIBYTE = 1 << 20


class EndlessTarget:
    """Answers with a head and then the same bytes until the caller closes."""

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
            # Bounded here too, so that a caller that never closes fails the test.
            while self.written < 4 * _exchange.MAXIMUM_ANSWER_BYTES:
                writer.write(self.part)
                self.written += len(self.part)
                await writer.drain()
        except ConnectionError:
            self.is_closed.set()
        finally:
            writer.close()


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        ("head", "part"),
        [
            (b"", b"\x00" * 8192),
            (ANSWER, b"X-More: " + b"x" * 500 + b"\r\n"),
            (ANSWER + b"\r\n", b"x" * 65536),
            (ANSWER + b"Content-Length: 99999999999\r\n\r\n", b"x" * 65536),
            (
                ANSWER + b"Transfer-Encoding: chunked\r\n\r\n",
                b"10000\r\n" + b"x" * 65536 + b"\r\n",
            ),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            (b"", FOREIGN * 100),
        ],
        ids=["garbage", "head", "close-ended", "length", "chunks", "interim", "foreign"],
    )
    def test_the_connection_is_closed_and_nothing_is_kept(self, head, part, monkeypatch):
        monkeypatch.setattr(_exchange, "MAXIMUM_ANSWER_BYTES", MEBIBYTE)

        async def work():
            async with EndlessTarget(head, part) as target:
                pool = ConnectionPool(EntryDialect())
                connection = await pool.get(target.target, is_repeatable=True)
                with pytest.raises(ExchangeFailedError) as failure:
                    await exchange(target, connection)
                await asyncio.wait_for(target.is_closed.wait(), 2.0)
                assert failure.value.outcome == AttemptOutcome.UNUSABLE
                assert pool.buffers.held == 0
                assert not connection.is_open

        asyncio.run(work())

    def test_many_at_once_share_one_bound(self, monkeypatch):
        monkeypatch.setattr(_exchange, "MAXIMUM_BUFFERED_BYTES", MEBIBYTE)

        async def work():
            async with EndlessTarget(ANSWER + b"\r\n", b"x" * 65536) as target:
                pool = ConnectionPool(EntryDialect())
                connections = [await pool.get(target.target, is_repeatable=True) for _ in range(4)]
                ends = [exchange(target, connection) for connection in connections]
                results = await asyncio.gather(*ends, return_exceptions=True)
                assert all(isinstance(item, ExchangeFailedError) for item in results)
                assert pool.buffers.held == 0

        asyncio.run(work())


class TestAnswerBuffers:
    def test_what_was_released_may_be_taken_again(self):
        buffers = AnswerBuffers()
        assert buffers.take(_exchange.MAXIMUM_BUFFERED_BYTES)
        assert not buffers.take(1)
        buffers.release(_exchange.MAXIMUM_BUFFERED_BYTES)
        assert buffers.take(1)
