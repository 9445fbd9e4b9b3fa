"""A connection between processes whose bytes are lost on the way is given up and made anew."""

import asyncio

import pytest

from soak._proxy import Manner, Proxy
from tarragonshelf.hub import HubBeat
from tarragonshelf.transport import PeerLinks, PeerServer, _connection
from tarragonshelf.utils import HybridClock

SECRET = b"secret"
WAIT_SECONDS = 10.0


class Pair:
    """A link to a server through a forwarder that loses bytes when told to."""

    def __init__(self):
        self.heard: list[str] = []
        self.clock = HybridClock(lambda: 1.0)
        self.links = PeerLinks(vm="a", role="control", secret=SECRET, clock=self.clock)
        self.server = PeerServer(
            vm="b",
            secret=SECRET,
            frames=self.links.frames,
            clock=self.clock,
            handler=lambda connection, frame: self.heard.append(frame.message.vm),
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

    async def say(self, name: str) -> None:
        """Send until the other side hears it."""
        async with asyncio.timeout(WAIT_SECONDS):
            while name not in self.heard:
                self.link.post(HubBeat(name, True))
                await asyncio.sleep(0.02)


async def run_silence(manner: Manner) -> None:
    pair = Pair()
    await pair.start()
    await pair.say("before")
    pair.proxy.manner = manner
    # The bytes of this moment are lost, so the connection is out of step for good.
    await asyncio.sleep(0.2)
    pair.proxy.manner = Manner.PASS
    first = pair.link.connection
    await pair.say("after")
    async with asyncio.timeout(WAIT_SECONDS):
        while pair.link.connection is first:
            await asyncio.sleep(0.02)
    await pair.stop()


@pytest.fixture
def short_silence(monkeypatch):
    monkeypatch.setattr(_connection, "KEEP_ALIVE_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(_connection, "KEEP_ALIVE_TIMEOUT_SECONDS", 0.3)


@pytest.mark.usefixtures("short_silence")
class TestSilentLinks:
    @pytest.mark.parametrize("manner", [Manner.SILENCE, Manner.LOSE_THERE, Manner.LOSE_BACK])
    def test_a_link_that_loses_bytes_is_made_anew(self, manner):
        asyncio.run(run_silence(manner))

    def test_a_quiet_link_stays(self):
        async def run():
            pair = Pair()
            await pair.start()
            await pair.say("hello")
            first = pair.link.connection
            await asyncio.sleep(1.0)
            assert pair.link.connection is first
            await pair.stop()

        asyncio.run(run())
