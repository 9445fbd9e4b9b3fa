"""Attempts over real sockets, at targets that break connections or send incomplete answers."""

import asyncio

import pytest
from multidict import CIMultiDict

from ...execution import Attempt, AttemptEnded, AttemptResult
from ...execution.tests.fakes import LOOKUP, ORDER, create_request, create_target
from .._upstream import Upstream

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort"
UNBOUNDED = b"HTTP/1.1 200 OK\r\n\r\nopen end"
INCOMPLETE_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class FakeTarget:
    """A server that answers each request with the next of some scripted answers.

    None means that the request is never answered; ``end`` closes the connection and the server.
    """

    def __init__(self, *answers: bytes | None):
        self.answers = list(answers)
        self.requests: list[tuple[int, bytes]] = []
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            await self._answer(reader, writer)
        finally:
            writer.close()

    async def _answer(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        while True:
            try:
                request = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return
            self.requests.append((number, request))
            answer = self.answers.pop(0) if self.answers else b"end"
            if answer is None:
                await reader.read()
                return
            if answer == b"end":
                self._server.close()
                return
            writer.write(answer)
            if answer in (SHORT, UNBOUNDED, INCOMPLETE_CHUNKED):
                return


async def run_with_timeout(upstream: Upstream, request, attempt: Attempt) -> AttemptEnded:
    """Run one attempt and cancel it after its time-out, as the runner does."""
    task = asyncio.ensure_future(upstream.run(request, attempt, CIMultiDict(), b""))
    done, _ = await asyncio.wait({task}, timeout=attempt.timeout)
    if done:
        return task.result()
    task.cancel()
    return AttemptEnded(attempt.number, AttemptResult.TIMED_OUT)


async def run_attempts(
    target: FakeTarget, *, route=LOOKUP, count: int = 1, timeout: float = 5.0
) -> list[AttemptEnded]:
    """Run attempts one after another and return how each ended."""
    address = await target.start()
    upstream = Upstream(maximum_answer=1000)
    ended = []
    try:
        for number in range(count):
            attempt = Attempt(number, create_target(address), timeout, timeout)
            request = create_request(route, key="k")
            ended.append(await run_with_timeout(upstream, request, attempt))
    finally:
        upstream.stop()
        await target.stop()
    return ended


def run(target: FakeTarget, **options) -> list[AttemptEnded]:
    return asyncio.run(run_attempts(target, **options))


class TestUpstream:
    def test_a_complete_answer_is_returned(self):
        (ended,) = run(FakeTarget(COMPLETE))
        assert (ended.kind, ended.answer.body) == (AttemptResult.ANSWERED, b"whole")

    @pytest.mark.parametrize(
        ("answer", "kind"),
        [
            (SHORT, AttemptResult.BROKEN),
            (INCOMPLETE_CHUNKED, AttemptResult.BROKEN),
            (UNBOUNDED, AttemptResult.UNUSABLE),
        ],
        ids=["short", "chunk", "open"],
    )
    def test_an_answer_that_may_be_incomplete_is_not_returned(self, answer, kind):
        (ended,) = run(FakeTarget(answer))
        assert (ended.kind, ended.answer) == (kind, None)

    # Guards against a status that no caller can read, on new and reused connections.
    @pytest.mark.parametrize("route", [LOOKUP, ORDER])
    @pytest.mark.parametrize("line", b"000|099|600|999|1000|2OO|20||101".split(b"|"))
    def test_an_answer_with_an_invalid_status_is_not_returned(self, line, route):
        answer = b"HTTP/1.1 " + line + b" OK\r\nContent-Length: 0\r\n\r\n"
        for count, answers in ((1, (answer,)), (2, (COMPLETE, answer))):
            target = FakeTarget(*answers, COMPLETE)
            ended = run(target, route=route, count=count + 1, timeout=1.0)
            assert ended[-2].kind == AttemptResult.BROKEN
            assert ended[-1].kind == AttemptResult.ANSWERED
            assert target.requests[-1][0] > target.requests[-2][0]

    @pytest.mark.parametrize(
        "fields",
        b"X: a\x01b|X: a\x7fb|X : a|no colon|Content-Length: 3|Transfer-Encoding: chunked".split(
            b"|"
        ),
    )
    def test_an_answer_with_malformed_fields_is_not_returned(self, fields):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + fields
        (ended,) = run(FakeTarget(head + b"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"), timeout=1.0)
        assert ended.kind == AttemptResult.BROKEN

    def test_a_refusal_status_proves_that_the_request_was_not_run(self):
        (ended,) = run(FakeTarget(REFUSAL))
        assert ended.kind == AttemptResult.REFUSED

    def test_a_refused_connection_proves_that_the_request_was_not_run(self):
        target = FakeTarget()

        async def check():
            address = await target.start()
            await target.stop()
            upstream = Upstream(maximum_answer=1000)
            attempt = Attempt(1, create_target(address), 5.0, 5.0)
            try:
                return await upstream.run(create_request(LOOKUP), attempt, CIMultiDict(), b"")
            finally:
                upstream.stop()

        assert asyncio.run(check()).kind == AttemptResult.NOT_SENT

    def test_a_broken_reused_connection_does_not_prove_that_the_request_was_not_run(self):
        # The request is sent again on a new connection, which is refused, but it had already been
        # sent on the first one.
        target = FakeTarget(COMPLETE, b"end")
        first, second = run(target, count=2)
        assert first.kind == AttemptResult.ANSWERED
        assert second.kind == AttemptResult.BROKEN

    def test_the_connection_of_a_timed_out_attempt_is_not_reused(self):
        target = FakeTarget(COMPLETE, None, COMPLETE)
        kinds = [ended.kind for ended in run(target, count=3, timeout=0.5)]
        assert kinds == [AttemptResult.ANSWERED, AttemptResult.TIMED_OUT, AttemptResult.ANSWERED]
        assert [number for number, _ in target.requests] == [1, 1, 2]

    def test_each_order_gets_a_new_connection(self):
        target = FakeTarget(COMPLETE, COMPLETE)
        run(target, route=ORDER, count=2)
        assert [number for number, _ in target.requests] == [1, 2]

    def test_an_oversized_answer_is_not_returned(self):
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000
        (ended,) = run(FakeTarget(large))
        assert (ended.kind, ended.answer) == (AttemptResult.UNUSABLE, None)

    # Guards against answers that are read until the deadline and count as good ones.
    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 100,
            b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 5000,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 2000,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"a:\r\n" * 5000,
        ],
        ids=["interim", "fields", "chunks", "trailers"],
    )
    def test_an_answer_without_end_ends_the_attempt(self, answer):
        (ended,) = run(FakeTarget(answer))
        assert (ended.kind, ended.answer) == (AttemptResult.ENDLESS, None)
