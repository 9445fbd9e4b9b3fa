"""A connection between processes that loses bytes is aborted and re-established."""

import asyncio

import pytest

from soak._proxy import Proxy, ProxyMode
from tarragonshelf.hub import HubBeat
from tarragonshelf.transport import PeerLinks, PeerServer, _connection
from tarragonshelf.utils import HybridClock

SECRET = b"secret"
TIMEOUT_SECONDS = 10.0


class ProxiedLink:
    """A peer link to a server through a proxy that can drop bytes."""

    def __init__(self):
        self.received: list[str] = []
        self.clock = HybridClock(lambda: 1.0)
        self.links = PeerLinks(vm="a", role="control", secret=SECRET, clock=self.clock)
        self.server = PeerServer(
            vm="b",
            secret=SECRET,
            frames=self.links.frames,
            clock=self.clock,
            handler=lambda connection, frame: self.received.append(frame.message.vm),
            report=lambda event, **fields: None,
        )

    async def start(self) -> None:
        port = await self.server.start("127.0.0.1", 0)
        self.proxy = Proxy("127.0.0.1:0", f"127.0.0.1:{port}")
        await self.proxy.start()
        self.link = self.links.get(f"127.0.0.1:{self.proxy.port}")

    async def stop(self) -> None:
        self.links.close()
        self.proxy.stop()
        await self.server.stop()
        await asyncio.sleep(0.05)

    async def send_until_received(self, name: str) -> None:
        """Send a message repeatedly until the server has received it."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while name not in self.received:
                self.link.post(HubBeat(name, True))
                await asyncio.sleep(0.02)


async def check_reconnection(mode: ProxyMode) -> None:
    proxied = ProxiedLink()
    await proxied.start()
    await proxied.send_until_received("before")
    proxied.proxy.mode = mode
    # Keep-alive messages are lost in this period. The proxy then keeps that direction silent until
    # the connection is replaced.
    await asyncio.sleep(0.2)
    proxied.proxy.mode = ProxyMode.PASS
    first_connection = proxied.link.connection
    await proxied.send_until_received("after")
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while proxied.link.connection is first_connection:
            await asyncio.sleep(0.02)
    await proxied.stop()


@pytest.fixture
def short_keep_alive(monkeypatch):
    monkeypatch.setattr(_connection, "KEEP_ALIVE_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(_connection, "KEEP_ALIVE_TIMEOUT_SECONDS", 0.3)


@pytest.mark.usefixtures("short_keep_alive")
class TestSilentLinks:
    @pytest.mark.parametrize(
        "mode", [ProxyMode.SILENCE, ProxyMode.LOSE_TO_UPSTREAM, ProxyMode.LOSE_FROM_UPSTREAM]
    )
    def test_link_that_loses_bytes_is_reconnected(self, mode):
        asyncio.run(check_reconnection(mode))

    def test_idle_link_keeps_its_connection(self):
        async def check_idle_link():
            proxied = ProxiedLink()
            await proxied.start()
            await proxied.send_until_received("hello")
            first_connection = proxied.link.connection
            await asyncio.sleep(1.0)
            assert proxied.link.connection is first_connection
            await proxied.stop()

        asyncio.run(check_idle_link())
