"""Responses outside HTTP never reach the caller, whatever carried the request."""

import asyncio
from dataclasses import replace
from unittest import mock

import pytest

from ...avoidance import EvidenceKind
from ...exchange import ExchangeFailedError
from ...forwarding import AttemptOutcome, ForwardRequest, RefusalReason, RelayOutcome
from ...forwarding.tests.fakes import FakeContext, create_route
from ...platform._entry_http import PlatformDialect
from ...relaying import RelayHeader, RelayResponse
from .. import _relay_server
from .._forwarder import Forwarder
from .._pool import ConnectionPool
from .test_exchange import COMPLETE_RESPONSE, OWN_HEADERS, ScriptedTarget, exchange
from .test_relay import Fixture, Target, create_content

LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def write_response(
    line: bytes = b"HTTP/1.1 200 OK", headers: bytes = LENGTH, body: bytes = b"ok"
) -> bytes:
    return line + b"\r\n" + OWN_HEADERS + headers + b"\r\n" + body


CHUNKS = b"2\r\nok\r\n0\r\n\r\n"
# 101 would switch to a protocol that was not requested.
STATUS_LINES = [
    b"HTTP/1.1 " + status + b" OK"
    for status in b"000|099|600|999|1000|-20|2OO|20||101".split(b"|")
]
STATUS_LINES += b"HTTP/1.1|HTTP/1.1 200 O\x01K|HTTP/2.0 200 OK|200 OK|".split(b"|")
FIELDS = b"X: a\x01b|X: a\x7fb|X: a\x00b|X: a\rb|X : a|: a|no colon|Content-Length: 3".split(b"|")
LENGTHS = b"2, 3|+2|-2|0x2".split(b"|")
CODINGS = [LENGTH + CHUNKED, CHUNKED + CHUNKED, b"Transfer-Encoding: gzip, chunked\r\n"]
SIZES = b"0x2|-2| 2||z|1".split(b"|")
TRAILERS = b"no colon|X: a\x01b|X: a\x00b".split(b"|")
MALFORMED = [
    *(write_response(line) for line in STATUS_LINES),
    *(write_response(headers=LENGTH + field + b"\r\n") for field in FIELDS),
    *(write_response(headers=b"Content-Length: " + size + b"\r\n") for size in LENGTHS),
    *(write_response(headers=headers, body=CHUNKS) for headers in CODINGS),
    *(write_response(headers=CHUNKED, body=size + CHUNKS[1:]) for size in SIZES),
    *(write_response(headers=CHUNKED, body=CHUNKS[:-2] + line + b"\r\n\r\n") for line in TRAILERS),
    write_response(b"HTTP/1.0 200 OK", CHUNKED, CHUNKS),
    # The status of a response to another request is as much a sign of trouble.
    b"HTTP/1.1 999 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n" + COMPLETE_RESPONSE,
]


class TestConnection:
    # Guards against a status that no caller can read, and a body whose end target and caller see
    # at different places.
    @pytest.mark.parametrize("is_reused", [False, True])
    @pytest.mark.parametrize("content", MALFORMED)
    def test_malformed_response_fails_the_attempt_and_closes_its_connection(
        self, content, is_reused
    ):
        async def test():
            parts = [COMPLETE_RESPONSE, content] if is_reused else [content]
            async with ScriptedTarget(*parts) as target:
                connection = None
                if is_reused:
                    connection, _ = await exchange(target)
                with pytest.raises(ExchangeFailedError) as failure:
                    await exchange(target, connection)
                assert failure.value.outcome == AttemptOutcome.UNUSABLE
                if connection is not None:
                    assert not connection.is_open
                    assert not connection.is_reusable

        asyncio.run(test())

    # Guards against a check that costs answers: a fold may be replaced by a space (RFC 9112, 5.2),
    # and equal lengths, extensions of chunks, trailers and interim responses are valid.
    @pytest.mark.parametrize(
        "content",
        [
            write_response(headers=b"X: a\r\n b\r\n" + LENGTH),
            write_response(headers=b"X: \xe9\tb\r\n" + LENGTH),
            write_response(headers=LENGTH + LENGTH),
            write_response(b"HTTP/1.1 200", LENGTH),
            write_response(b"HTTP/1.1 599 Odd", LENGTH),
            write_response(headers=CHUNKED, body=b"2;x=1\r\nok\r\n0\r\nX: a\r\n\r\n"),
            b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + COMPLETE_RESPONSE,
        ],
    )
    def test_unusual_but_valid_response_is_accepted(self, content):
        async def test():
            async with ScriptedTarget(content) as target:
                return await exchange(target)

        assert asyncio.run(test())[1].body == b"ok"


class MalformedTarget(Target):
    """A target whose responses have no valid status."""

    async def _respond(self, reader, writer, body: bytes) -> None:
        writer.write(write_response(b"HTTP/1.1 999 OK"))


class TestForwarder:
    # Guards against an order that runs twice, and a repeatable request that is lost.
    @pytest.mark.parametrize("is_repeatable", [True, False])
    def test_only_a_repeatable_request_goes_to_another_target(self, is_repeatable):
        context = FakeContext("a", "b")
        route = create_route(is_repeatable=is_repeatable)

        async def test():
            malformed = ScriptedTarget(write_response(b"HTTP/1.1 999 OK"))
            async with malformed, ScriptedTarget(COMPLETE_RESPONSE) as working:
                pool = ConnectionPool(PlatformDialect(), lambda target: 4)
                context.targets = [
                    replace(held, address=server.target.address)
                    for held, server in zip(context.targets, (malformed, working), strict=True)
                ]
                forwarder = Forwarder(
                    context=context,
                    pool=pool,
                    dialect=PlatformDialect(),
                    flush=lambda: None,
                    report=lambda event, **fields: None,
                    **dict.fromkeys(("request_retry", "request_permit", "return_permit", "relay")),
                )
                now = asyncio.get_running_loop().time()
                request = ForwardRequest("q1", route, "s", now, now + 2.0)
                result = await forwarder.forward(request, create_content())
                pool.close()
                return result, len(working.requests)

        result, repeats = asyncio.run(test())
        assert ("a", EvidenceKind.BROKEN) in context.evidence
        assert repeats == is_repeatable
        if is_repeatable:
            assert (result.target, result.answer.status) == ("b", 200)
        else:
            assert (result.reason, result.has_run) == (RefusalReason.MAY_HAVE_RUN, True)


def check_relayed(status, headers):
    """Check that a response that a relay has accepted counts as a broken relay."""
    reply = RelayResponse(1, status, headers, 0, b"", "i-1", 1, 1, 3)

    async def test():
        async with Fixture(Target()) as fixture:
            return await fixture.send(create_content())

    with mock.patch.object(_relay_server, "_create_reply", return_value=(reply, b"")):
        ended = asyncio.run(test())
    assert (ended.outcome, ended.answer) == (RelayOutcome.BROKEN, None)


class TestRelays:
    # Guards against an invalid status of a target that the relay passes on.
    def test_relayed_request_counts_as_possibly_run(self):
        async def test():
            target = MalformedTarget()
            async with Fixture(target) as fixture:
                return await fixture.send(create_content()), target.received

        ended, received = asyncio.run(test())
        assert ended.outcome == RelayOutcome.REFUSED
        assert ended.refusal.has_run
        assert len(received) == 1

    # Guards against a relay of an earlier build, which passes such a response on.
    @pytest.mark.parametrize("status", [0, 99, 101, 600, 1000])
    def test_invalid_status_of_a_relay_is_not_passed_on(self, status):
        check_relayed(status, ())

    @pytest.mark.parametrize("field", [(b"X", b"a\x01b"), (b"X", b"a\r\nY: b"), (b"X Y", b"a")])
    def test_invalid_field_of_a_relay_is_not_passed_on(self, field):
        check_relayed(200, (RelayHeader(*field),))
