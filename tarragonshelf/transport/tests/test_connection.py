"""Connections to peers."""

import asyncio

import pytest

from ...replication import Join
from ...utils import HybridClock
from .._connection import UnreachableError
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
