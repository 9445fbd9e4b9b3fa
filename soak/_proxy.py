"""A forwarder of connections that misbehaves when told to."""

import asyncio
import contextlib
from dataclasses import dataclass
from enum import StrEnum

CHUNK_BYTES = 1 << 16


class Manner(StrEnum):
    """How bytes are treated; the one-way manners lose those of one direction."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    LOSE_THERE = "lose-there"
    LOSE_BACK = "lose-back"


@dataclass(slots=True, eq=False)
class _Pair:
    """Both ends of one connection."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter

    def reset(self) -> None:
        for writer in (self.near, self.far):
            writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, upstream : str
        Addresses as ``HOST:PORT``.

    Notes
    -----
    Bytes that a manner loses are gone for their connection, so the connection stays silent in
    that direction for good, as after a cut.
    """

    def __init__(self, listen: str, upstream: str):
        self.listen = listen
        self.upstream = upstream
        self.manner = Manner.PASS
        self.delay = 0.0
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Break all connections."""
        for pair in list(self._pairs):
            pair.reset()

    async def _serve(self, reader, near) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(reader, near)
        finally:
            self._tasks.discard(task)
            near.transport.abort()

    async def _forward(self, reader, near) -> None:
        host, _, port = self.upstream.rpartition(":")
        try:
            back, far = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        pair = _Pair(near, far)
        self._pairs.add(pair)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(pair, reader, far, Manner.LOSE_THERE))
                group.create_task(self._pump(pair, back, near, Manner.LOSE_BACK))
        finally:
            self._pairs.discard(pair)
            far.transport.abort()

    async def _pump(self, pair: _Pair, reader, writer, lost_by: Manner) -> None:
        """Move bytes of one direction until either end closes."""
        is_lost = False
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.manner == Manner.DELAY:
                    await asyncio.sleep(self.delay)
                is_lost = is_lost or self.manner in (Manner.SILENCE, lost_by)
                if not is_lost:
                    writer.write(chunk)
                    await writer.drain()
            if not is_lost and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # What one end sees of a break, the other one sees, too.
            pair.reset()
