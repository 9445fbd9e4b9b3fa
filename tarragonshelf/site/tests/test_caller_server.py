"""Callers over real sockets: each gets its own response, and a stop interrupts no request."""

import asyncio
import socket
from dataclasses import replace
from hashlib import sha256
from random import Random

import h11
import pytest
from aiohttp import web_protocol

from ...catalogue import Catalogue, CatalogueCopy, ClientAccount, compress_content
from ...edge import (
    AllowanceDecided,
    AllowanceDecider,
    EdgeNode,
    EdgeSettings,
    HubReceived,
)
from ...forwarding import (
    HedgeDenial,
    HedgeOutcome,
    HedgeResult,
    PermitDecided,
    PermitNeeded,
    RelayAttempt,
    RelayEnded,
    RelayOutcome,
    RespondWith,
    RetryBudgetSettings,
    TargetAnswer,
)
from ...hub.tests.fakes import FakeReader
from ...platform._entry_http import PlatformDialect
from ...registry import TargetEntry, TargetNews, TargetState
from ...relaying import CloseIdleConnections, PathState, RelayRecord
from ...replication import EmitEvent
from ...telemetry import Metrics
from .._caller_server import CallerServer
from .._forwarder import Forwarder
from .._interfaces import RequestContent
from .._pool import ConnectionPool


class Fixture:
    """An entry's caller server in front of one target, both on loopback."""

    def __init__(
        self,
        *,
        work_seconds: float = 0.0,
        target_headers: bytes = b"",
        target_status: bytes = b"200 OK",
        reader: FakeReader | None = None,
        document: bytes = b"3",
    ):
        self.reader = reader or FakeReader()
        self.work_seconds = work_seconds
        self.target_headers = target_headers
        self.target_status = target_status
        self.document = document
        # Accounts whose allowance was asked for.
        self.asked: list[str] = []
        self.received: list[bytes] = []
        self.interrupted = 0
        self.reports: list[str] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self):
        self._target = await asyncio.start_server(self._serve_target, "127.0.0.1", 0)
        host, port = self._target.sockets[0].getsockname()[:2]
        settings = EdgeSettings(
            vm="e0",
            address="e0:80",
            data_centre="z",
            regions={"z": "r"},
            hubs=(),
            budget=RetryBudgetSettings(ratio=0.2, slack=50.0, window=10.0),
            address_lifetime_seconds=1.5,
        )
        self.node = EdgeNode(settings=settings, reader=self.reader, random=Random(1))
        address = f"{host}:{port}"
        target = TargetEntry("i-1", 1, 1, TargetState.READY, address, "s", "z", 3)
        for message in (CatalogueCopy(3, compress_content(self.document)), TargetNews((target,))):
            self.node.handle(0.0, HubReceived("", message))
        dialect = PlatformDialect()
        self.pool = ConnectionPool(dialect, self.node.get_idle_limit)
        self.forwarder = forwarder = Forwarder(
            context=self.node,
            pool=self.pool,
            dialect=dialect,
            flush=self.flush,
            report=lambda event, **fields: self.reports.append(event),
            request_retry=self.request_retry,
            request_permit=self.request_permit,
            return_permit=lambda target: None,
            relay=self.relay,
        )
        self.server = CallerServer(
            node=self.node,
            forwarder=forwarder,
            dialect=dialect,
            report=lambda event, **fields: self.reports.append(event),
            metrics=Metrics(),
            request_allowance=self.request_allowance,
        )
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        await self.server.start(f"{self.address[0]}:{self.address[1]}")
        return self

    def flush(self) -> None:
        """Close idle connections as the entry's service does; there is no hub to write to."""
        for effect in self.node.pop_pending_effects():
            if isinstance(effect, CloseIdleConnections):
                self.pool.close_target(effect.target)

    async def request_allowance(self, account: ClientAccount, deadline: float) -> AllowanceDecided:
        """Refuse every request, as a leader whose bucket of the account is empty."""
        self.asked.append(account.name)
        return AllowanceDecided(False, 0.25, AllowanceDecider.LEADER, 0.1)

    async def request_retry(self, service: str) -> bool:
        """Grant every retry, as a hub with a full retry budget does."""
        return True

    async def relay(self, attempt: RelayAttempt, content: RequestContent) -> RelayEnded:
        """Fail every attempt, as without another entry."""
        return RelayEnded(attempt.number, RelayOutcome.NOT_SENT)

    async def request_permit(self, needed: PermitNeeded) -> PermitDecided:
        """Deny every permit, as a hub does whose permits are used up."""
        return PermitDecided("", 1.25)

    async def __aexit__(self, *error):
        await self.server.stop(0.5)
        self.pool.close()
        self._target.close()
        for writer in self._writers:
            writer.close()

    async def _serve_target(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length)
                self.received.append(head + body)
                request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
                wait = asyncio.ensure_future(reader.read(1)) if self.work_seconds else None
                if wait is not None:
                    done, _ = await asyncio.wait({wait}, timeout=self.work_seconds)
                    if done:
                        self.interrupted += 1
                        return
                    wait.cancel()
                writer.write(
                    b"HTTP/1.1 %s\r\nResponse-Stamp: s\r\nRequest-Id: %s\r\n"
                    b"%sContent-Length: %d\r\n\r\n%s"
                    % (
                        self.target_status,
                        request_id,
                        self.target_headers,
                        len(request_id),
                        request_id,
                    )
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def connect(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self._writers.append(writer)
        return reader, writer


def create_request(request_id: str, *, method="GET", path="/x", headers=(), body=b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Request-Id: {request_id}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_response(reader) -> tuple[int, bytes, dict]:
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


def run(test):
    return asyncio.run(test)


class TestRequests:
    def test_pipelined_requests_get_responses_in_order(self):
        async def test():
            async with Fixture() as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1") + create_request("q2"))
                return [(await read_response(reader))[:2] for _ in range(2)]

        assert run(test()) == [(200, b"q1"), (200, b"q2")]

    def test_chunked_body_and_encoded_path_reach_the_target_unchanged(self):
        async def test():
            async with Fixture() as fixture:
                reader, writer = await fixture.connect()
                headers = ("Transfer-Encoding: chunked", "Deadline-Ms: 500")
                chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                path = "/x/%2F?a=%20b"
                writer.write(
                    create_request("q1", method="POST", path=path, headers=headers, body=chunks)
                )
                await read_response(reader)
                return fixture.received[0]

        seen = run(test())
        assert seen.startswith(b"POST /x/%2F?a=%20b HTTP/1.1\r\n")
        assert seen.endswith(b"\r\n\r\nabcde")
        assert b"Expect-Instance: i-1" in seen
        assert 0 < int(seen.split(b"Deadline-Ms: ")[1].split(b"\r\n")[0]) <= 500

    def test_path_with_bytes_that_http_forbids_is_rejected_before_any_target(self):
        async def test():
            async with Fixture() as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1").replace(b"/x", b"/x/\xff\xe9", 1))
                status = (await read_response(reader))[0]
                return status, fixture.received

        status, seen = run(test())
        assert (status, seen) == (400, [])

    def test_request_is_cancelled_when_its_caller_disconnects(self):
        async def test():
            async with Fixture(work_seconds=1.0) as fixture:
                _, writer = await fixture.connect()
                writer.write(create_request("q1"))
                await asyncio.sleep(0.2)
                writer.close()
                await asyncio.sleep(0.3)
                return fixture.interrupted

        assert run(test()) == 1

    # Incident CONFIG, case 2: an entry without a current hub said that a new route does not exist.
    def test_request_without_a_route_is_refused_while_a_version_may_be_missing(self):
        async def test():
            async with Fixture() as fixture:
                now = asyncio.get_running_loop().time()
                fixture.node.tick(now - 10.0)
                reader, writer = await fixture.connect()
                writer.write(create_request("q1").replace(b"Host: h", b"Host: other"))
                return await read_response(reader)

        status, body, headers = run(test())
        assert (status, body) == (503, b"outdated")
        assert float(headers[b"retry-after"]) > 0
        assert headers[b"request-id"] == b"q1"

    # Guards against requests beyond an allowance that reach a target, and against asking for
    # accounts without a limit.
    @pytest.mark.parametrize(
        ("key", "status", "asked"), [("limited", 429, ["limited"]), ("free", 200, [])]
    )
    def test_request_beyond_the_allowance_is_refused_as_not_run(self, key, status, asked):
        async def test():
            async with Fixture(document=b"3 limited:5:1 free:0:0") as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1", headers=(f"Authorization: Token {key}",)))
                response = await read_response(reader)
                return response, fixture.asked, len(fixture.received), fixture.reports

        (seen, body, headers), names, received, reports = run(test())
        assert (seen, names, received) == (status, asked, int(status == 200))
        if status == 429:
            assert (body, headers[b"retry-after"]) == (b"over-allowance", b"0.25")
            assert headers[b"request-id"] == b"q1"
            assert "allowance_refused" in reports

    def test_request_without_a_route_gets_404(self):
        async def test():
            async with Fixture() as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1").replace(b"Host: h", b"Host: other"))
                return (await read_response(reader))[0]

        assert run(test()) == 404

    def test_request_fails_at_the_deadline_of_its_caller(self):
        async def test():
            async with Fixture(work_seconds=1.5) as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1", headers=("Deadline-Ms: 200",)))
                loop = asyncio.get_running_loop()
                began = loop.time()
                status, _, headers = await read_response(reader)
                return status, loop.time() - began < 1.0, b"retry-after" in headers

        assert run(test()) == (504, True, False)

    # Guards against hedges whose cost and use nobody can see.
    def test_hedge_of_an_answer_is_logged_and_counted(self):
        hedge = HedgeResult(HedgeOutcome.DENIED, HedgeDenial.NO_ROOM)
        result = RespondWith(TargetAnswer(200, (), b"ok"), "i-1", attempt=2, hedge=hedge)
        logged = []

        async def forward(request, content):
            return result

        async def test():
            async with Fixture() as fixture:
                assert fixture.node.hedging is None
                fixture.forwarder.forward = forward
                fixture.server.report = lambda event, **fields: logged.append(fields)
                reader, writer = await fixture.connect()
                writer.write(create_request("q1"))
                await read_response(reader)
                return fixture.server.metrics.render([])[0].decode()

        assert 'tarragonshelf_hedges_total{outcome="denied",service="s"} 1' in run(test())
        expected = {"attempt": 2, "hedge": "denied", "hedge_denial": "no-room"}
        assert logged[-1] | expected == logged[-1]


class AccountReader(FakeReader):
    """Reads catalogues in which one account holds a key up to version 3; then it moves."""

    def __init__(self, *, is_public: bool = False):
        self.is_public = is_public

    def read(self, content: bytes) -> Catalogue:
        catalogue = super().read(content)
        digests = (sha256(b"k").digest(),)
        holder, other = ("first", "second") if catalogue.version <= 3 else ("second", "first")
        accounts = (ClientAccount(holder, digests), ClientAccount(other))
        route = replace(catalogue.routes[0], is_public=self.is_public)
        return replace(catalogue, routes=(route,), accounts=accounts)


class TestKeys:
    """Requests at an entry whose catalogue has client accounts."""

    def request(self, *headers: str, is_public=False, is_outdated=False):
        """Return status and headers of the response, and what the target received."""

        async def test():
            async with Fixture(reader=AccountReader(is_public=is_public)) as fixture:
                if is_outdated:
                    fixture.node.tick(asyncio.get_running_loop().time() - 10.0)
                reader, writer = await fixture.connect()
                writer.write(create_request("q1", headers=headers))
                status, _, response_headers = await read_response(reader)
                return status, response_headers, b"".join(fixture.received)

        return run(test())

    # Guards against a key, or a forged name, that reaches a target.
    def test_target_gets_the_account_and_not_the_key(self):
        status, _, received = self.request("Authorization: Token k", "Tenant: forged")
        assert status == 200
        assert b"Tenant: first\r\n" in received
        assert b"forged" not in received and b"uthorization" not in received

    @pytest.mark.parametrize("headers", [(), ("Authorization: Token other",)])
    def test_unknown_key_gets_401_and_reaches_no_target(self, headers):
        status, _, received = self.request(*headers)
        assert (status, received) == (401, b"")

    # An entry that may lack a version must not deny a key which that version contains.
    def test_unknown_key_is_refused_while_a_version_may_be_missing(self):
        status, headers, received = self.request("Authorization: Token x", is_outdated=True)
        assert (status, received) == (503, b"")
        assert float(headers[b"retry-after"]) > 0

    @pytest.mark.parametrize(
        ("headers", "name"),
        [((), b""), (("Authorization: Token x",), b""), (("Authorization: Token k",), b"first")],
    )
    def test_public_route_needs_no_key(self, headers, name):
        status, _, received = self.request(*headers, "Tenant: forged", is_public=True)
        assert status == 200
        assert (b"Tenant: " + name in received) == bool(name)
        assert b"forged" not in received and b"uthorization" not in received

    # Guards against a key that goes on to work on an open connection after it was moved.
    def test_key_that_moves_counts_for_the_next_request_of_a_connection(self):
        async def test():
            async with Fixture(reader=AccountReader()) as fixture:
                reader, writer = await fixture.connect()
                headers = ("Authorization: Token k",)
                writer.write(create_request("q1", headers=headers))
                await read_response(reader)
                copy = CatalogueCopy(4, compress_content(b"4"))
                fixture.node.handle(0.0, HubReceived("", copy))
                writer.write(create_request("q2", headers=headers))
                await read_response(reader)
                return fixture.received

        first, second = run(test())
        assert b"Tenant: first" in first and b"Tenant: second" in second


class TestStops:
    def test_requests_in_flight_finish_and_idle_connections_close(self):
        async def test():
            async with Fixture(work_seconds=0.3) as fixture:
                busy_reader, busy = await fixture.connect()
                idle_reader, idle = await fixture.connect()
                busy.write(create_request("q1"))
                await asyncio.sleep(0.1)
                fixture.server.is_closing = True
                stopping = asyncio.ensure_future(fixture.server.stop(2.0))
                status, body, headers = await read_response(busy_reader)
                await stopping
                rest = await asyncio.wait_for(idle_reader.read(), 1.0)
                idle.close()
                return status, body, headers.get(b"connection"), rest

        assert run(test()) == (200, b"q1", b"close", b"")

    @pytest.mark.parametrize("body", [b"", b"order"])
    def test_request_that_arrives_as_the_server_stops_is_answered(self, monkeypatch, body):
        """Incident 793e: a planned stop gave up a request that was already sent to a target.

        The server stops here as soon as the head is read, before the handler starts.
        """
        stops = []

        async def test():
            async with Fixture(work_seconds=0.5) as fixture:
                receive = web_protocol.RequestHandler.data_received

                def receive_and_stop(handler, data):
                    receive(handler, data)
                    stops.append(asyncio.ensure_future(fixture.server.stop(2.0)))

                monkeypatch.setattr(web_protocol.RequestHandler, "data_received", receive_and_stop)
                reader, writer = await fixture.connect()
                method, headers = ("POST", (f"Content-Length: {len(body)}",))
                writer.write(create_request("q1", method=method, headers=headers, body=body))
                response = await read_response(reader)
                await asyncio.gather(*stops)
                return response[:2], fixture.interrupted

        assert run(test()) == ((200, b"q1"), 0)

    # Guards against a request that is passed on late in a stop and cut off at its end.
    def test_request_that_is_complete_after_the_accept_period_is_refused_as_not_run(self):
        async def test():
            async with Fixture(work_seconds=0.5) as fixture:
                reader, writer = await fixture.connect()
                headers = ("Content-Length: 5",)
                writer.write(create_request("q1", method="POST", headers=headers, body=b"or"))
                await asyncio.sleep(0.1)
                fixture.server.is_closing = True
                stopping = asyncio.ensure_future(fixture.server.stop(2.0))
                await asyncio.sleep(0.1)
                writer.write(b"der")
                status, _, received = await read_response(reader)
                await stopping
                return status, received, fixture.received

        status, headers, received = run(test())
        assert (status, received) == (503, [])
        assert headers[b"connection"] == b"close"
        assert float(headers[b"retry-after"]) >= 0

    def test_connections_are_closed_after_the_idle_timeout(self):
        async def test():
            async with Fixture() as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1"))
                await read_response(reader)
                fixture.server.close_idle(100.0)
                assert not reader.at_eof()
                fixture.server.close_idle(100.0 + 15.0 + 1.5)
                return await asyncio.wait_for(reader.read(), 1.0)

        assert run(test()) == b""


class TestLimitedTarget:
    def test_request_beyond_the_limit_is_refused_at_once_and_does_not_reach_the_target(self):
        async def test():
            async with Fixture(target_headers=b"Server-Limit: 1.5\r\n") as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1"))
                first = await read_response(reader)
                writer.write(create_request("q2"))
                second = await read_response(reader)
                return first, second, len(fixture.received), fixture.node.limits.list_rates()

        first, second, received, rates = run(test())
        assert first[0] == 200
        assert first[2][b"server-limit"] == b"1.5"
        assert (second[0], second[1], second[2][b"retry-after"]) == (503, b"limited", b"1.25")
        assert received == 1
        assert rates == {"i-1": 1.5}

    def test_malformed_limit_is_reported_and_limits_nothing(self):
        async def test():
            async with Fixture(target_headers=b"Server-Limit: many\r\n") as fixture:
                reader, writer = await fixture.connect()
                statuses = []
                for number in range(2):
                    writer.write(create_request(f"q{number}"))
                    statuses.append((await read_response(reader))[0])
                return statuses, fixture.reports

        statuses, reports = run(test())
        assert statuses == [200, 200]
        assert "limit_malformed" in reports


class TestLeavingTarget:
    def test_next_request_is_refused_at_once_and_does_not_reach_the_target(self):
        async def test():
            async with Fixture(target_headers=b"Server-Leaving: 1\r\n") as fixture:
                reader, writer = await fixture.connect()
                writer.write(create_request("q1"))
                first = await read_response(reader)
                writer.write(create_request("q2"))
                second = await read_response(reader)
                return first, second, len(fixture.received), fixture.pool._idle

        first, second, received, idle = run(test())
        assert (first[0], first[2][b"server-leaving"]) == (200, b"1")
        assert (second[0], second[1]) == (503, b"no-target")
        assert float(second[2][b"retry-after"]) > 0
        assert received == 1
        assert len(idle) == 0

    @pytest.mark.parametrize("value", [b"0", b"yes", b"1\r\nServer-Leaving: 1"])
    def test_malformed_departure_is_reported_and_changes_nothing(self, value):
        async def test():
            headers = b"Server-Leaving: %s\r\n" % value
            async with Fixture(target_headers=headers) as fixture:
                reader, writer = await fixture.connect()
                statuses = []
                for number in range(2):
                    writer.write(create_request(f"q{number}"))
                    statuses.append((await read_response(reader))[0])
                return statuses, fixture.reports

        statuses, reports = run(test())
        assert statuses == [200, 200]
        assert reports.count("departure_ignored") == 2

    # Guards against a request that is sent on a connection for which it waited too long.
    def test_request_that_waits_for_a_connection_is_withdrawn(self):
        async def test():
            async with Fixture() as fixture:
                open_connection = fixture.pool.get

                async def leave_meanwhile(target, **options):
                    connection = await open_connection(target, **options)
                    fixture.node.record_departure(1.0, target)
                    return connection

                fixture.pool.get = leave_meanwhile
                reader, writer = await fixture.connect()
                writer.write(create_request("q1"))
                response = await read_response(reader)
                return response, fixture.received, fixture.node.balancer.list_outstanding()

        response, received, outstanding = run(test())
        assert (response[0], response[1]) == (503, b"no-target")
        assert received == []
        assert outstanding == {}

    def test_departure_in_a_relayed_response_is_recorded(self):
        async def test():
            async with Fixture() as fixture:
                headers = ((b"Server-Leaving", b"1"),)
                relay = RelayRecord("e1:90", "z")
                fixture.node.path.monitor.state = PathState.LOST
                fixture.node.path.relays.update((relay,))

                async def respond(attempt, content):
                    answer = TargetAnswer(200, headers, b"x")
                    return RelayEnded(attempt.number, RelayOutcome.RESPONDED, answer, "i-1")

                fixture.forwarder.relay = respond
                reader, writer = await fixture.connect()
                writer.write(create_request("q1"))
                response = await read_response(reader)
                return response[0], fixture.node.targets.list_usable("s")

        assert run(test()) == (200, ())


class TestPausedTarget:
    def exchange(self, retry_after: bytes, *, target_headers: bytes = b"Not-Executed: 1\r\n"):
        """Send three requests to a target that turns each away; return what was seen of them."""

        async def test():
            headers = target_headers + b"Retry-After: %s\r\n" % retry_after
            options = {"target_headers": headers, "target_status": b"503 Service Unavailable"}
            async with Fixture(**options) as fixture:
                events = []
                pop = fixture.node.pop_pending_effects
                fixture.server.forwarder.flush = lambda: events.extend(
                    item.event for item in pop() if isinstance(item, EmitEvent)
                )
                reader, writer = await fixture.connect()
                responses = []
                for number in range(3):
                    writer.write(create_request(f"q{number}"))
                    responses.append(await read_response(reader))
                return responses, len(fixture.received), events

        return run(test())

    def test_requests_during_a_pause_are_refused_at_once_and_do_not_reach_the_target(self):
        responses, received, events = self.exchange(b"30")
        assert [item[0] for item in responses] == [503, 503, 503]
        assert [item[1] for item in responses] == [b"no-target", b"paused", b"paused"]
        assert all(29.0 <= float(item[2][b"retry-after"]) <= 60.0 for item in responses)
        assert received == 1
        assert events == ["pause_requested"]

    def test_response_without_proof_of_a_refusal_is_passed_on_and_pauses_its_target(self):
        responses, received, _ = self.exchange(b"30", target_headers=b"")
        assert [item[1] for item in responses] == [b"q0", b"paused", b"paused"]
        assert responses[0][2][b"retry-after"] == b"30"
        assert received == 1

    @pytest.mark.parametrize("value", [b"-1", b"soon", b"Fri, 31 Dec 2027 23:59:59 GMT"])
    def test_malformed_pause_is_reported_once_and_pauses_nothing(self, value):
        responses, received, events = self.exchange(value)
        assert [item[0] for item in responses] == [503, 503, 503]
        assert received == 3
        assert events == ["pause_malformed"]

    def test_pause_of_a_response_that_is_not_usable_holds(self):
        headers = b"Content-Encoding: gzip\r\n"
        responses, received, events = self.exchange(b"30", target_headers=headers)
        assert [item[0] for item in responses] == [502, 503, 503]
        assert (received, events) == (1, ["pause_requested", "target_avoided"])

    def test_absurdly_long_pause_is_bounded(self):
        responses, received, events = self.exchange(b"9" * 400)
        assert all(float(item[2][b"retry-after"]) <= 1.5 * 304.0 for item in responses)
        assert (received, events) == (1, ["pause_requested"])
