"""A TCP proxy that injects network faults."""

import asyncio
import contextlib
from dataclasses import dataclass
from enum import StrEnum

CHUNK_BYTES = 1 << 16


class ProxyMode(StrEnum):
    """What the proxy does with received bytes.

    ``LOSE_TO_UPSTREAM`` drops the bytes from clients to the upstream, ``LOSE_FROM_UPSTREAM`` those
    in the opposite direction, and ``SILENCE`` both.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    LOSE_TO_UPSTREAM = "lose-there"
    LOSE_FROM_UPSTREAM = "lose-back"


@dataclass(slots=True, eq=False)
class _Connection:
    """The writers to both ends of one proxied connection."""

    client_writer: asyncio.StreamWriter
    upstream_writer: asyncio.StreamWriter

    def reset(self) -> None:
        for writer in (self.client_writer, self.upstream_writer):
            writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, upstream : str
        Addresses as ``HOST:PORT``.

    Notes
    -----
    Dropped bytes are never sent again. Once a connection has lost bytes in one direction, that
    direction therefore stays silent until the connection closes, as after a network partition.
    """

    def __init__(self, listen: str, upstream: str):
        self.listen = listen
        self.upstream = upstream
        self.mode = ProxyMode.PASS
        self.delay_seconds = 0.0
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port on which the proxy listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Abort all connections and keep listening."""
        for connection in list(self._connections):
            connection.reset()

    async def _serve(self, client_reader, client_writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(client_reader, client_writer)
        finally:
            self._tasks.discard(task)
            client_writer.transport.abort()

    async def _forward(self, client_reader, client_writer) -> None:
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        connection = _Connection(client_writer, upstream_writer)
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(
                        connection, client_reader, upstream_writer, ProxyMode.LOSE_TO_UPSTREAM
                    )
                )
                group.create_task(
                    self._copy(
                        connection, upstream_reader, client_writer, ProxyMode.LOSE_FROM_UPSTREAM
                    )
                )
        finally:
            self._connections.discard(connection)
            upstream_writer.transport.abort()

    async def _copy(self, connection: _Connection, reader, writer, lossy_mode: ProxyMode) -> None:
        """Copy the bytes of one direction until either end closes."""
        is_dropping = False
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == ProxyMode.DELAY:
                    await asyncio.sleep(self.delay_seconds)
                is_dropping = is_dropping or self.mode in (ProxyMode.SILENCE, lossy_mode)
                if not is_dropping:
                    writer.write(chunk)
                    await writer.drain()
            if not is_dropping and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # A connection that breaks at one end is aborted at the other one, too.
            connection.reset()
