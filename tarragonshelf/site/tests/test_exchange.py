"""A connection accepts only complete responses that belong to its request."""

import asyncio
import struct

import h11
import pytest

from ...exchange import ExchangeFailedError, TargetConnection
from ...forwarding import AttemptOutcome
from ...platform._entry_http import PlatformDialect
from ...registry import TargetEntry, TargetState
from .._pool import ConnectionPool

OWN_HEADERS = b"Request-Id: q1\r\nResponse-Stamp: s\r\n"
UNRELATED_HEADERS = b"Request-Id: other\r\nResponse-Stamp: s\r\n"
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS + b"Content-Length: 2\r\n\r\nok"


class ScriptedTarget:
    """Writes the next part for each request, then keeps, closes or resets the connection."""

    def __init__(self, *parts: bytes, ending: str = "keep", wait: float = 0.0):
        self.parts = list(parts)
        self.ending = ending
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
                if self.ending == "close":
                    writer.close()
                    return
                if self.ending == "reset":
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
        finally:
            writer.close()


async def exchange(target: ScriptedTarget, connection: TargetConnection | None = None):
    pool = ConnectionPool(PlatformDialect(), lambda target: 4)
    if connection is None:
        connection = await pool.get(target.target, is_repeatable=True)
    request = h11.Request(method="GET", target="/x", headers=[("Host", "h"), ("Request-Id", "q1")])
    response = await asyncio.wait_for(connection.exchange(request, b"", b"q1"), 2.0)
    return connection, response


def run(test):
    return asyncio.run(test)


class TestCompleteResponses:
    def test_response_with_a_content_length(self):
        async def test():
            async with ScriptedTarget(COMPLETE_RESPONSE) as target:
                connection, response = await exchange(target)
                assert connection.is_reusable
                return response

        response = run(test())
        assert (response.status, response.body) == (200, b"ok")

    def test_chunked_response(self):
        async def test():
            content = b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
            async with ScriptedTarget(content + b"2\r\nok\r\n0\r\n\r\n") as target:
                return await exchange(target)

        assert run(test())[1].body == b"ok"

    def test_response_that_ends_with_its_connection(self):
        async def test():
            content = b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS + b"\r\nok"
            async with ScriptedTarget(content, ending="close") as target:
                connection, response = await exchange(target)
                assert not connection.is_reusable
                return response

        assert run(test()).body == b"ok"

    def test_response_to_another_request_is_skipped(self):
        async def test():
            extra = b"HTTP/1.1 200 OK\r\n" + UNRELATED_HEADERS + b"Content-Length: 3\r\n\r\nbad"
            async with ScriptedTarget(extra + COMPLETE_RESPONSE) as target:
                return await exchange(target)

        assert run(test())[1].body == b"ok"

    def test_connection_is_not_reused_after_trailing_bytes(self):
        async def test():
            async with ScriptedTarget(COMPLETE_RESPONSE + b"HTTP/1.1 200 OK\r\n") as target:
                connection, response = await exchange(target)
                assert not connection.is_reusable
                return response

        assert run(test()).body == b"ok"

    def test_idle_connection_that_receives_bytes_is_closed(self):
        async def test():
            async with ScriptedTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE, wait=0.05) as target:
                connection, _ = await exchange(target)
                assert connection.is_reusable
                await asyncio.sleep(0.2)
                return connection

        assert not run(test()).is_open


class TestInvalidResponses:
    @pytest.mark.parametrize(
        ("content", "ending"),
        [
            (b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS + b"Content-Length: 9\r\n\r\nok", "close"),
            (b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS + b"Content-Length: 9\r\n\r\nok", "reset"),
            (b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS + b"\r\nok", "reset"),
            (
                b"HTTP/1.1 200 OK\r\n"
                + OWN_HEADERS
                + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok",
                "close",
            ),
            (b"\x00\x01 nothing in the protocol\r\n\r\n", "keep"),
            (b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok", "keep"),
            (b"HTTP/1.1 200 OK\r\n" + OWN_HEADERS + b"Content-Encoding: gzip\r\n\r\n", "close"),
            (b"", "close"),
            (b"", "reset"),
        ],
    )
    def test_incomplete_or_invalid_response_fails_the_attempt(self, content, ending):
        async def test():
            async with ScriptedTarget(content, ending=ending) as target:
                await exchange(target)

        with pytest.raises(ExchangeFailedError) as failure:
            run(test())
        assert failure.value.outcome in (AttemptOutcome.BROKEN, AttemptOutcome.UNUSABLE)

    # Guards against a response that is cut within its head and passed on as complete.
    @pytest.mark.parametrize("ending", ["close", "reset"])
    def test_response_that_is_cut_within_its_head_fails_the_attempt(self, ending):
        head = COMPLETE_RESPONSE.partition(b"\r\n\r\n")[0] + b"\r\n\r"

        async def test():
            passed = []
            for size in range(1, len(head) + 1):
                async with ScriptedTarget(head[:size], ending=ending) as target:
                    try:
                        await exchange(target)
                        passed.append(head[:size])
                    except ExchangeFailedError as error:
                        assert error.outcome in (AttemptOutcome.BROKEN, AttemptOutcome.UNUSABLE)
            return passed

        assert run(test()) == []

    def test_failed_request_is_not_sent_again_by_the_connection(self):
        async def test():
            async with ScriptedTarget(COMPLETE_RESPONSE, b"", ending="keep") as target:
                connection, _ = await exchange(target)
                target.ending = "reset"
                with pytest.raises(ExchangeFailedError):
                    await exchange(target, connection)
                return target

        target = run(test())
        assert (target.connections, len(target.requests)) == (1, 2)


class TestRepeatedRefusals:
    """A target that writes an earlier refusal once more proves nothing about a later request."""

    # Guards against a caller that is told "not run" for a request that runs.
    @pytest.mark.parametrize("status", [421, 429, 503])
    def test_refusal_that_names_no_request_is_no_proof_on_a_reused_connection(self, status):
        async def test():
            refusal = f"HTTP/1.1 {status} No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            async with ScriptedTarget(COMPLETE_RESPONSE, refusal.encode()) as target:
                connection, _ = await exchange(target)
                await exchange(target, connection)

        with pytest.raises(ExchangeFailedError) as failure:
            run(test())
        assert failure.value.outcome == AttemptOutcome.UNUSABLE

    def test_refusal_that_names_the_earlier_request_is_skipped(self):
        async def test():
            refusal = b"HTTP/1.1 503 No\r\nRequest-Id: q0\r\nNot-Executed: 1\r\n"
            refusal += b"Content-Length: 0\r\n\r\n"
            async with ScriptedTarget(COMPLETE_RESPONSE, refusal + COMPLETE_RESPONSE) as target:
                connection, _ = await exchange(target)
                return await exchange(target, connection)

        assert run(test())[1].status == 200

    def test_refusal_on_a_new_connection_needs_no_id(self):
        async def test():
            refusal = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            async with ScriptedTarget(refusal) as target:
                return await exchange(target)

        assert run(test())[1].status == 503


class TestPool:
    def test_idle_limit_for_reuse_depends_on_repeatability(self):
        async def test():
            async with ScriptedTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE) as target:
                pool = ConnectionPool(PlatformDialect(), lambda target: 4)
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

        run(test())

    def test_connections_above_the_idle_limit_are_closed(self):
        """A target that is reused by many entries accepts only so many connections of all."""

        async def test():
            async with ScriptedTarget(*3 * [COMPLETE_RESPONSE]) as target:
                limits = [4]
                pool = ConnectionPool(PlatformDialect(), lambda target: limits[0])
                connections = [(await exchange(target))[0] for _ in range(3)]
                for connection in connections[:2]:
                    pool.put(target.target, connection)
                limits[0] = 1
                pool.put(target.target, connections[2])
                return [connection.is_open for connection in connections]

        assert run(test()) == [False, False, True]


REFUSAL_HEAD = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 5\r\n"


class TestHeadsOfFailedExchanges:
    """A target that turns a request away says so in the head, whatever follows."""

    @pytest.mark.parametrize(
        ("response", "ending"),
        [
            (OWN_HEADERS + b"Content-Length: 9\r\n\r\nok", "close"),
            (OWN_HEADERS + b"Content-Length: 9\r\n\r\nok", "reset"),
            (b"Content-Length: 9\r\n\r\nok", "close"),
            (OWN_HEADERS + b"Transfer-Encoding: chunked\r\n\r\nx!\r\n", "keep"),
            (OWN_HEADERS + b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", "keep"),
        ],
    )
    def test_head_of_an_incomplete_refusal_is_kept(self, response, ending):
        async def test():
            async with ScriptedTarget(REFUSAL_HEAD + response, ending=ending) as target:
                with pytest.raises(ExchangeFailedError) as failure:
                    await exchange(target)
                return failure.value

        error = run(test())
        assert error.outcome in (AttemptOutcome.BROKEN, AttemptOutcome.UNUSABLE)
        assert PlatformDialect().read_pause(error.head).seconds == 5.0

    def test_head_of_a_response_to_another_request_is_not_kept(self):
        response = REFUSAL_HEAD + UNRELATED_HEADERS + b"Content-Length: 9\r\n\r\nok"

        async def test():
            async with ScriptedTarget(response, ending="close") as target:
                with pytest.raises(ExchangeFailedError) as failure:
                    await exchange(target)
                return failure.value

        assert run(test()).head is None

    def test_head_that_names_no_request_is_not_kept_on_a_used_connection(self):
        response = REFUSAL_HEAD + b"Content-Length: 9\r\n\r\nok"

        async def test():
            async with ScriptedTarget(COMPLETE_RESPONSE, response, ending="keep") as target:
                connection, _ = await exchange(target)
                task = asyncio.ensure_future(exchange(target, connection))
                await asyncio.sleep(0.1)
                connection.close()
                with pytest.raises(ExchangeFailedError) as failure:
                    await task
                return failure.value

        assert run(test()).head is None

    def test_failed_exchange_without_a_response_has_no_head(self):
        async def test():
            async with ScriptedTarget(b"", ending="close") as target:
                with pytest.raises(ExchangeFailedError) as failure:
                    await exchange(target)
                return failure.value

        assert run(test()).head is None
