"""Connections to targets, kept for reuse."""

import asyncio

from ..registry import TargetEntry
from ._dialect import TargetDialect
from ._exchange import AnswerBuffers, TargetConnection

# A target in another region answers a connection within 40 ms; the kernel repeats a lost opening
# only after a second, when another target has long answered.
CONNECT_SECONDS = 0.35
# Idle connections to one target: what it accepts is shared by all entries.
MAXIMUM_IDLE = 4
# A request that cannot be repeated takes a connection only if it was used so short a time ago
# that neither side has thought of closing it.
FRESH_SECONDS = 2.0
# Share of the idle time that a target states after which its connection is no longer used.
IDLE_SHARE = 0.6


class ConnectionPool:
    """Gives out connections that are idle, or makes new ones.

    Parameters
    ----------
    dialect : TargetDialect
        Passed on to each connection.
    """

    def __init__(self, dialect: TargetDialect):
        self.dialect = dialect
        self.buffers = AnswerBuffers()
        self.made = 0
        self._idle: dict[str, list[TargetConnection]] = {}

    async def get(self, target: TargetEntry, *, is_repeatable: bool) -> TargetConnection:
        """Return an open connection; raises ``OSError`` or ``TimeoutError``."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(_name(target), [])
        while idle:
            connection = idle.pop()
            age = now - connection.idle_since
            limit = connection.idle_seconds * IDLE_SHARE
            if not is_repeatable:
                limit = min(limit, FRESH_SECONDS)
            if connection.is_open and age < limit:
                return connection
            if not connection.is_open or age >= connection.idle_seconds * IDLE_SHARE:
                connection.close()
                continue
            # Too old for this request, yet good for a repeatable one; older ones lie deeper.
            idle.append(connection)
            break
        return await self._connect(target)

    def put(self, target: TargetEntry, connection: TargetConnection) -> None:
        """Take a connection back after its answer."""
        if not connection.is_reusable or not connection.is_open:
            connection.close()
            return
        idle = self._idle.setdefault(_name(target), [])
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)
        if len(idle) > MAXIMUM_IDLE:
            idle.pop(0).close()

    def sweep(self, now: float) -> None:
        """Close connections that were idle for too long."""
        for name, idle in list(self._idle.items()):
            kept = []
            for item in idle:
                if item.is_open and now - item.idle_since < item.idle_seconds * IDLE_SHARE:
                    kept.append(item)
                else:
                    item.close()
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle = {}

    async def _connect(self, target: TargetEntry) -> TargetConnection:
        host, _, port = target.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.made += 1
        connecting = loop.create_connection(
            lambda: TargetConnection(self.dialect, self.buffers), host, int(port)
        )
        _, connection = await asyncio.wait_for(connecting, CONNECT_SECONDS)
        return connection


def _name(target: TargetEntry) -> str:
    return f"{target.identity} {target.address}"
