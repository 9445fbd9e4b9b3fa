"""Requests that one entry relays to another over a real connection on loopback."""

import asyncio
from random import Random

import pytest

from ...buffering import MAXIMUM_BUFFERED_BYTES
from ...catalogue import CatalogueCopy, compress_content
from ...edge import EdgeNode, EdgeSettings, HubReceived
from ...edge._path import MAXIMUM_RELAYED_BYTES
from ...exchange import ResponseResources
from ...forwarding import (
    PermitDecided,
    RefusalReason,
    RelayAttempt,
    RelayEnded,
    RelayOutcome,
    RetryBudgetSettings,
)
from ...hub.tests.fakes import FakeReader
from ...platform._entry_http import PlatformDialect
from ...registry import TargetEntry, TargetNews, TargetState
from ...relaying import DeclineReason, PathDoubted, RelayRecord, TargetChecked
from ...telemetry import create_clock
from ...throttling import PauseStatement
from ...transport import EDGE_PACKAGES, PeerLinks, PeerServer, create_codec
from .._forwarder import Forwarder
from .._interfaces import RequestContent
from .._pool import ConnectionPool
from .._relay_client import CHUNK_BYTES, RelayClient
from .._relay_server import RelayServer

SECRET = b"secret"
VERSION = 3
LARGE_BODY_BYTES = 20 * CHUNK_BYTES + 7


def create_node(target_address: str) -> EdgeNode:
    settings = EdgeSettings(
        vm="e1",
        address="e1:80",
        data_centre="z",
        regions={"z": "r"},
        hubs=(),
        budget=RetryBudgetSettings(ratio=0.2, slack=50.0, window=10.0),
        address_lifetime_seconds=1.5,
    )
    node = EdgeNode(settings=settings, reader=FakeReader(), random=Random(1))
    target = TargetEntry("i-1", 1, 1, TargetState.READY, target_address, "s", "z", 3)
    content = compress_content(str(VERSION).encode())
    for message in (CatalogueCopy(VERSION, content), TargetNews((target,))):
        node.handle(0.0, HubReceived("", message))
    return node


def create_content(body: bytes = b"order") -> RequestContent:
    headers = [(b"Host", b"h"), (b"Request-Id", b"q1"), (b"Deadline-Ms", b"2000")]
    return RequestContent(b"POST", b"/x/1", "h", headers, body, b"q1", has_body=True)


class Target:
    """A target that returns the body of each request after some time, or closes without one."""

    def __init__(
        self, *, work_seconds: float = 0.0, is_broken: bool = False, is_endless: bool = False
    ):
        self.work_seconds = work_seconds
        self.is_broken = is_broken
        self.is_endless = is_endless
        self.received: list[bytes] = []
        self.interrupted = 0

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            body = await reader.readexactly(size)
            self.received.append(body)
            if self.is_endless:
                await self._send_without_end(writer)
            elif not self.is_broken:
                await self._respond(reader, writer, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _send_without_end(self, writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\n\r\n")
        while True:
            writer.write(bytes(CHUNK_BYTES))
            await writer.drain()

    async def _respond(self, reader, writer, body: bytes) -> None:
        end_of_stream = asyncio.create_task(reader.read())
        done, _ = await asyncio.wait([end_of_stream], timeout=self.work_seconds)
        self.interrupted += bool(done)
        end_of_stream.cancel()
        head = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Fixture:
    """An entry that relays requests to a target, and the client of another entry."""

    def __init__(self, target: Target):
        self.target = target
        self.events: list[str] = []

    async def __aenter__(self):
        self._target_server = await asyncio.start_server(self.target.serve, "127.0.0.1", 0)
        host, port = self._target_server.sockets[0].getsockname()[:2]
        self.node = create_node(f"{host}:{port}")
        self.pool = ConnectionPool(PlatformDialect(), self.node.get_idle_limit)
        forwarder = Forwarder(
            context=self.node,
            pool=self.pool,
            dialect=PlatformDialect(),
            flush=self.node.pop_pending_effects,
            report=self.report,
            request_retry=self._deny_retry,
            request_permit=self._deny_permit,
            return_permit=lambda target: None,
            relay=self._fail_relay,
        )
        self.links = self._create_links("e0")
        self.server = RelayServer(
            node=self.node,
            forwarder=forwarder,
            report=self.report,
            create_server=lambda **handlers: PeerServer(
                vm="e1",
                secret=SECRET,
                frames=self.links.frames,
                clock=create_clock(),
                report=self.report,
                **handlers,
            ),
        )
        port = await self.server.server.start("127.0.0.1", 0)
        self.relay = RelayRecord(f"127.0.0.1:{port}", "z")
        self.quota = ResponseResources()
        self.client = RelayClient(self.links, self.quota)
        return self

    async def __aexit__(self, *error):
        self.client.close()
        self.pool.close()
        await self.server.stop(0.0)
        self._target_server.close()
        await asyncio.sleep(0.05)

    def report(self, event: str, **fields) -> None:
        self.events.append(event)

    async def send(
        self, content: RequestContent, *, seconds: float = 2.0, version: int = VERSION
    ) -> RelayEnded:
        deadline = asyncio.get_running_loop().time() + seconds
        return await self.client.send(RelayAttempt(1, self.relay, deadline, 2), content, version)

    def _create_links(self, vm: str) -> PeerLinks:
        codec = create_codec(EDGE_PACKAGES)
        return PeerLinks(vm=vm, role="entry", secret=SECRET, clock=create_clock(), codec=codec)

    async def _deny_retry(self, service: str) -> bool:
        return False

    async def _deny_permit(self, needed) -> PermitDecided:
        return PermitDecided("", 1.0)

    async def _fail_relay(self, attempt, content) -> RelayEnded:
        raise AssertionError("a relayed request must not be relayed again")


async def wait_until(condition) -> None:
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met within 2 s")


class TestRelayedRequests:
    @pytest.mark.parametrize("size", [0, 5, CHUNK_BYTES, LARGE_BODY_BYTES])
    def test_bodies_arrive_whole_in_both_directions(self, size):
        async def run():
            async with Fixture(Target()) as fixture:
                body = bytes(index % 251 for index in range(size))
                ended = await fixture.send(create_content(body))
                assert (ended.outcome, ended.answer.status) == (RelayOutcome.RESPONDED, 200)
                assert ended.answer.body == body
                assert (b"Response-Stamp", b"s") in ended.answer.headers
                assert fixture.target.received == [body]
                assert (ended.usage.executions, ended.usage.deliveries) == (1, 1)
                assert fixture.server.in_flight == 0
                assert fixture.quota.reserved_bytes == 0

        asyncio.run(run())

    def test_response_that_does_not_fit_into_the_memory_is_given_up(self):
        async def run():
            async with Fixture(Target()) as fixture:
                fixture.quota.reserve_request(MAXIMUM_BUFFERED_BYTES - CHUNK_BYTES)
                ended = await fixture.send(create_content(bytes(LARGE_BODY_BYTES)))
                assert ended.outcome == RelayOutcome.GIVEN_UP
                await wait_until(lambda: fixture.server.in_flight == 0)

        asyncio.run(run())

    def test_relay_refuses_a_response_without_end(self):
        """Guards against a target that fills the memory of the relay and of the first entry."""

        async def run():
            async with Fixture(Target(is_endless=True)) as fixture:
                ended = await fixture.send(create_content(), seconds=30.0)
                assert (ended.outcome, ended.refusal.has_run) == (RelayOutcome.REFUSED, True)
                assert fixture.quota.reserved_bytes == fixture.pool.resources.reserved_bytes == 0
                assert "attempt_failed" in fixture.events

        asyncio.run(run())

    def test_requests_on_one_connection_do_not_wait_for_each_other(self):
        async def run():
            async with Fixture(Target(work_seconds=0.2)) as fixture:
                loop = asyncio.get_running_loop()
                started_at = loop.time()
                content = create_content(bytes(LARGE_BODY_BYTES))
                results = await asyncio.gather(*(fixture.send(content) for _ in range(3)))
                assert all(item.outcome == RelayOutcome.RESPONDED for item in results)
                assert len(fixture.links._links) == 1
                assert loop.time() - started_at < 3 * 0.2 + 2.0

        asyncio.run(run())

    # Guards against work for callers that have left, through another entry.
    def test_target_is_interrupted_when_the_caller_leaves(self):
        async def run():
            async with Fixture(Target(work_seconds=5.0)) as fixture:
                task = asyncio.create_task(fixture.send(create_content()))
                await wait_until(lambda: fixture.target.received)
                task.cancel()
                await wait_until(lambda: fixture.target.interrupted)
                assert fixture.server.in_flight == 0

        asyncio.run(run())

    def test_target_is_interrupted_when_the_other_entry_is_gone(self):
        async def run():
            async with Fixture(Target(work_seconds=5.0)) as fixture:
                task = asyncio.create_task(fixture.send(create_content()))
                await wait_until(lambda: fixture.target.received)
                fixture.client.close()
                assert (await task).outcome == RelayOutcome.BROKEN
                await wait_until(lambda: fixture.target.interrupted)
                assert fixture.server.in_flight == 0

        asyncio.run(run())

    def test_request_that_may_have_run_is_refused_as_such(self):
        async def run():
            async with Fixture(Target(is_broken=True)) as fixture:
                ended = await fixture.send(create_content())
                assert ended.outcome == RelayOutcome.REFUSED
                assert ended.refusal.has_run
                assert ended.usage.executions == 1

        asyncio.run(run())

    def test_deadline_holds_at_the_relay(self):
        async def run():
            async with Fixture(Target(work_seconds=5.0)) as fixture:
                ended = await fixture.send(create_content(), seconds=0.3)
                assert ended.outcome == RelayOutcome.REFUSED
                assert (ended.refusal.reason, ended.refusal.has_run) == ("deadline", True)
                await wait_until(lambda: fixture.target.interrupted)

        asyncio.run(run())

    def test_unreachable_relay_got_nothing(self):
        async def run():
            async with Fixture(Target()) as fixture:
                await fixture.server.stop(0.0)
                ended = await fixture.send(create_content())
                assert ended.outcome == RelayOutcome.NOT_SENT
                assert fixture.target.received == []

        asyncio.run(run())

    def test_paused_targets_get_no_relayed_request_and_the_reason_is_known_to_earlier_builds(self):
        async def run():
            async with Fixture(Target()) as fixture:
                now = asyncio.get_running_loop().time()
                for target in fixture.node.targets.list_all():
                    fixture.node.record_pause(now, target, PauseStatement(9.0), sent_at=now)
                ended = await fixture.send(create_content())
                assert ended.outcome == RelayOutcome.REFUSED
                assert ended.refusal.reason == RefusalReason.LIMITED
                assert not ended.refusal.has_run
                assert ended.refusal.retry_after >= 8.0
                assert fixture.target.received == []

        asyncio.run(run())


class TestDeclinedRequests:
    async def _get_decline(self, fixture: Fixture, **options) -> DeclineReason | None:
        ended = await fixture.send(create_content(), **options)
        assert fixture.target.received == []
        assert ended.outcome == RelayOutcome.DECLINED
        return ended.decline_reason

    def test_entry_with_an_older_catalogue(self):
        async def run():
            async with Fixture(Target()) as fixture:
                reason = await self._get_decline(fixture, version=VERSION + 1)
                assert reason == DeclineReason.OUTDATED

        asyncio.run(run())

    def test_entry_whose_memory_for_relayed_requests_is_used_up(self):
        async def run():
            async with Fixture(Target()) as fixture:
                fixture.node.path.acquire_relayed(MAXIMUM_RELAYED_BYTES)
                assert await self._get_decline(fixture) == DeclineReason.BUSY

        asyncio.run(run())

    def test_entry_that_stops(self):
        async def run():
            async with Fixture(Target()) as fixture:
                fixture.node.stop()
                assert await self._get_decline(fixture) == DeclineReason.STOPPING

        asyncio.run(run())

    def test_entry_without_a_path_itself(self):
        async def run():
            async with Fixture(Target()) as fixture:
                other = TargetEntry("i-2", 1, 1, TargetState.READY, "x:1", "s", "z", 3)
                node = fixture.node
                node.handle(0.0, HubReceived("", TargetNews((other,))))
                node.handle(0.0, PathDoubted("i-1"))
                node.handle(0.1, TargetChecked("i-2", is_connected=False))
                assert node.path.is_lost
                assert await self._get_decline(fixture) == DeclineReason.ISOLATED

        asyncio.run(run())
