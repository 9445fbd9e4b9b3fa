"""Connections to peers."""

import asyncio
import contextlib
from random import Random

import pytest

from ...base import FrameError
from ...replication import Join
from ...utils import HybridClock
from .._codec import SITE_PACKAGES, create_codec
from .._connection import PeerServer, UnreachableError
from .._links import PeerLinks


class TestOddAddresses:
    # Guards against an odd address in the settings or in the news of a hub: the error ended the
    # task that asked the hubs to join, and with it the process.
    @pytest.mark.parametrize(
        "address", ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1", "\x00:9", "x" * 300 + ":9"]
    )
    def test_peer_is_unreachable(self, address):
        async def run():
            clock = HybridClock(lambda: 1.0)
            links = PeerLinks(vm="a", role="control", secret=b"s" * 16, clock=clock)
            with pytest.raises(UnreachableError):
                await links.open(address)
            with pytest.raises(UnreachableError):
                await links.get(address).call(Join("a/1", "a", "a:1"), 1.0)
            links.close()

        asyncio.run(run())


class TestMalformedFrames:
    # Guards against an error that ends the task of a connection and is logged without a limit.
    def test_any_bytes_are_a_frame_or_a_frame_error(self):
        codec, random = create_codec(SITE_PACKAGES), Random(1)
        for _ in range(5000):
            with contextlib.suppress(FrameError):
                codec.decode_envelope(random.randbytes(random.randrange(1, 60)))


class TestHandshakes:
    # Guards against connections without a handshake that use up the descriptors of a process.
    def test_a_connection_takes_the_place_of_the_oldest_incomplete_one(self):
        async def run():
            clock, reports = HybridClock(lambda: 1.0), []
            links = PeerLinks(vm="a", role="control", secret=b"s" * 16, clock=clock)
            server = PeerServer(
                vm="b",
                secret=b"s" * 16,
                frames=links.frames,
                clock=clock,
                handler=lambda connection, frame: None,
                report=lambda event, **fields: reports.append(fields["problem"]),
                maximum_handshakes=2,
            )
            port = await server.start("127.0.0.1", 0)
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
            # The reset may come before or after the challenge was read.
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(5.0):
                    await silent[0][0].read()
            assert "too many incomplete handshakes" in reports
            assert (await silent[2][0].read(1)) != b""
            connection = await links.open(f"127.0.0.1:{port}")
            assert connection.is_open
            connection.close()
            await server.stop()
            for _, writer in silent:
                writer.close()

        asyncio.run(run())
