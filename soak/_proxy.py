"""A TCP proxy that injects network faults."""

import asyncio
import contextlib
import ctypes
import socket
import struct
from dataclasses import dataclass
from enum import StrEnum

CHUNK_BYTES = 1 << 16
# Socket options of Linux that Python does not name, and the instructions of a packet filter.
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
# Offset of the source address in the IP header, relative to the start of that header.
SOURCE_OFFSET = 0xFFF00000 + 12
KEEP_PACKET, DROP_PACKET = 0xFFFFFFFF, 0


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


class PathFault(StrEnum):
    """What happens to the connections of one client address.

    Connections hang and new ones are not accepted, all are reset, or only new ones are reset.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(slots=True, eq=False)
class _Connection:
    """The writers to both ends of one proxied connection, and the address of the client."""

    source: str
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
        self._path_faults: dict[str, PathFault] = {}
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

    def drop_all_packets(self) -> None:
        """Let connecting hang, as at an address that no machine has."""
        for listener in self._server.sockets:
            _attach_filter(listener, [(RETURN, 0, 0, DROP_PACKET)])

    def set_path_fault(self, source: str, fault: PathFault | None) -> None:
        """Inject a fault into all connections of a client address, or end it."""
        if fault is None:
            self._path_faults.pop(source, None)
        else:
            self._path_faults[source] = fault
        hanging = [name for name, kind in self._path_faults.items() if kind == PathFault.HANG]
        for listener in self._server.sockets:
            _drop_packets(listener, hanging)
        if fault == PathFault.RESET:
            for connection in list(self._connections):
                if connection.source == source:
                    connection.reset()

    async def _serve(self, client_reader, client_writer) -> None:
        source = client_writer.get_extra_info("peername")[0]
        if self._path_faults.get(source) in (PathFault.RESET, PathFault.REFUSE):
            # A linger time of 0 makes the kernel send a reset.
            linger = struct.pack("ii", 1, 0)
            client_writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            client_writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(source, client_reader, client_writer)
        finally:
            self._tasks.discard(task)
            client_writer.transport.abort()

    async def _forward(self, source: str, client_reader, client_writer) -> None:
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        connection = _Connection(source, client_writer, upstream_writer)
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
                is_hanging = self._path_faults.get(connection.source) == PathFault.HANG
                is_lossy = self.mode in (ProxyMode.SILENCE, lossy_mode)
                is_dropping = is_dropping or is_hanging or is_lossy
                if not is_dropping:
                    writer.write(chunk)
                    await writer.drain()
            if not is_dropping and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # A connection that breaks at one end is aborted at the other one, too.
            connection.reset()


def _drop_packets(listener, sources: list[str]) -> None:
    """Let a listening socket ignore packets of some addresses, so that connecting hangs."""
    if not sources:
        with contextlib.suppress(FileNotFoundError):
            listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    program = [(LOAD_WORD, 0, 0, SOURCE_OFFSET)]
    for index, source in enumerate(sources):
        (address,) = struct.unpack(">I", socket.inet_aton(source))
        # The jump leads to the last instruction.
        program.append((JUMP_IF_EQUAL, len(sources) - index, 0, address))
    program += [(RETURN, 0, 0, KEEP_PACKET), (RETURN, 0, 0, DROP_PACKET)]
    _attach_filter(listener, program)


def _attach_filter(listener, program: list[tuple[int, int, int, int]]) -> None:
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *item) for item in program))
    argument = struct.pack("HP", len(program), ctypes.addressof(code))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, argument)
