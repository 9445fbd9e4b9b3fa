"""The pool counts how opening connections to targets ended."""

import asyncio

import pytest

from ...platform._entry_http import PlatformDialect
from ...registry import TargetEntry, TargetState
from .._pool import ESTABLISHED, ConnectionPool

REFUSED = "ConnectionRefusedError"


def create_target(name: str, address: str) -> TargetEntry:
    return TargetEntry(name, 1, 1, TargetState.READY, address, "s", "z", 3)


async def connect(pool: ConnectionPool, target: TargetEntry) -> None:
    try:
        connection = await pool.get(target, is_repeatable=True)
    except OSError:
        return
    connection.close()


class TestConnectSummary:
    # Guards against logs that cannot tell an entry without a path from a target that fails.
    def test_summary_names_targets_that_were_reached_and_those_that_were_not(self):
        async def run():
            pool = ConnectionPool(PlatformDialect(), lambda target: 10)
            server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            listening = create_target("i-1", f"127.0.0.1:{port}")
            await connect(pool, listening)
            assert not pool.pop_connect_summary().has_failures
            server.close()
            await connect(pool, listening)
            await connect(pool, create_target("i-2", f"127.0.0.1:{port}"))
            summary = pool.pop_connect_summary()
            assert (summary.tried, summary.reached) == ({"i-1", "i-2"}, set())
            assert summary.outcomes == {REFUSED: 2}
            assert pool.connect_counts == {ESTABLISHED: 1, REFUSED: 2}
            assert not pool.pop_connect_summary().has_failures

        asyncio.run(run())


class TestOddAddresses:
    # Guards against a target that an older hub or an earlier file names: connecting raised
    # OverflowError or ValueError, and a request counted as possibly run.
    @pytest.mark.parametrize("address", ["127.0.0.1:65536", f"127.0.0.1:{10**30}", "\x00:9", "x"])
    def test_target_counts_as_not_reached(self, address):
        async def run():
            pool = ConnectionPool(PlatformDialect(), lambda target: 10)
            target = create_target("i-1", address)
            with pytest.raises(OSError):
                await pool.get(target, is_repeatable=True)
            assert not (await pool.check(target)).is_connected
            assert pool.pop_connect_summary().tried == {"i-1"}

        asyncio.run(run())


class TestClosedTarget:
    def test_only_idle_connections_to_the_target_are_closed(self):
        async def run():
            pool = ConnectionPool(PlatformDialect(), lambda target: 10)
            loop = asyncio.get_running_loop()
            server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            targets = [create_target(name, f"127.0.0.1:{port}") for name in ("i-1", "i-2")]
            connections = []
            for target in targets:
                connection = await pool.get(target, is_repeatable=True)
                connection.allow_reuse(5.0)
                pool.put(target, connection)
                connections.append(connection)
            pool.close_target(targets[0])
            kept = await pool.get(targets[1], is_repeatable=True)
            assert [item.is_open for item in connections] == [False, True]
            assert kept is connections[1]
            pool.close_target(targets[0])
            kept.close()
            server.close()

        asyncio.run(run())
