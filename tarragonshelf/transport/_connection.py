"""Connections between processes, with calls and one-way messages on them."""

import asyncio
import secrets
import socket
from asyncio import StreamReader, StreamWriter
from collections.abc import Awaitable, Callable

from ..base import FrameError, Message
from ..utils import HybridClock
from ._frames import MAXIMUM_HANDSHAKE_BYTES, Frame, FrameCodec
from ._handshake import (
    NONCE_BYTES,
    Challenge,
    KeepAlive,
    KeepAliveReply,
    Proof,
    Welcome,
    compute_proof,
    is_proof,
)

CONNECT_SECONDS = 1.0
HANDSHAKE_SECONDS = 2.0
MAXIMUM_QUEUED_BYTES = 8 << 20
REDIAL_SECONDS = 0.1
# One-way messages that wait for a connection under way.
MAXIMUM_WAITING = 64
# A peer acknowledges within some 50 ms; a link that went silent shows no other sign. Targets are
# no farther away.
USER_TIMEOUT_MILLISECONDS = 1500
# Something on the way may acknowledge what never arrives, so peers are asked for a sign of life.
# Round trips take 50 ms at most; a peer that rests for longer is frozen or cut off.
KEEP_ALIVE_INTERVAL_SECONDS = 0.7
KEEP_ALIVE_TIMEOUT_SECONDS = 2.0


class UnreachableError(ConnectionError):
    """No connection to a peer could be made, or it broke."""


class CallTimeoutError(TimeoutError):
    """A peer did not answer a call in time; it may still carry it out."""


Handler = Callable[["Connection", Frame], Awaitable[None] | None]


class Connection:
    """One open connection after its handshake."""

    def __init__(
        self,
        *,
        reader: StreamReader,
        writer: StreamWriter,
        frames: FrameCodec,
        clock: HybridClock,
        peer: str,
        role: str = "",
        is_asking: bool = False,
    ):
        self.is_asking = is_asking
        self.reader = reader
        self.writer = writer
        self.frames = frames
        self.clock = clock
        self.peer = peer
        self.role = role
        self._calls: dict[int, asyncio.Future] = {}
        self._number = 0
        self._heard_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return not self.writer.is_closing()

    def send(self, message: Message, *, call: int = 0, is_reply: bool = False) -> None:
        """Queue one message."""
        if not self.is_open:
            return
        self.write(self.frames.write(Frame(message, call, is_reply, self.clock.stamp())))

    def write(self, content: bytes) -> None:
        """Queue whole frames; a peer that takes too little for too long loses the connection."""
        if not self.is_open:
            return
        self.writer.write(content)
        if self.writer.transport.get_write_buffer_size() > MAXIMUM_QUEUED_BYTES:
            self.close()

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a call and return its answer.

        Raises
        ------
        UnreachableError
            If the connection breaks first.
        CallTimeoutError
            If there is no answer in ``timeout`` seconds.
        """
        if not self.is_open:
            raise UnreachableError(f"the connection to {self.peer} is closed")
        self._number += 1
        number = self._number
        future = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        try:
            self.send(message, call=number)
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise CallTimeoutError(f"{self.peer} did not answer in {timeout} s") from error
        finally:
            self._calls.pop(number, None)

    async def read(self, handler: Handler) -> None:
        """Hand every frame to a handler, and answers to their calls, until the end.

        Raises
        ------
        FrameError
            If the peer sends a malformed or oversized frame.
        """
        watching = asyncio.create_task(self._watch()) if self.is_asking else None
        try:
            while (frame := await self.frames.read(self.reader)) is not None:
                self._heard_at = asyncio.get_running_loop().time()
                self.clock.observe(frame.stamp)
                if frame.is_reply:
                    self._resolve(frame)
                elif isinstance(frame.message, KeepAlive):
                    self.send(KeepAliveReply())
                elif not isinstance(frame.message, KeepAliveReply):
                    outcome = handler(self, frame)
                    if outcome is not None:
                        await outcome
        finally:
            if watching is not None:
                watching.cancel()
            self.close()

    async def _watch(self) -> None:
        """Ask for signs of life, and break the connection if none comes."""
        loop = asyncio.get_running_loop()
        self._heard_at = loop.time()
        while loop.time() - self._heard_at < KEEP_ALIVE_TIMEOUT_SECONDS:
            self.send(KeepAlive())
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_SECONDS)
        # What is buffered would never leave.
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection and fail its open calls."""
        self.writer.close()
        for future in self._calls.values():
            if not future.done():
                future.set_exception(UnreachableError(f"the connection to {self.peer} broke"))

    def _resolve(self, frame: Frame) -> None:
        future = self._calls.get(frame.call)
        if future is not None and not future.done():
            future.set_result(frame.message)


class PeerServer:
    """Accepts connections of peers and operators that know the fleet secret.

    Parameters
    ----------
    vm : str
        The VM of this process.
    secret : bytes
        The fleet secret.
    handler : callable
        Takes a connection and a frame.
    report : callable
        Takes an event name and fields; refused and broken connections are told there.
    on_close : callable, optional
        Takes a connection whose peer has gone.
    """

    def __init__(
        self,
        *,
        vm: str,
        secret: bytes,
        frames: FrameCodec,
        clock: HybridClock,
        handler: Handler,
        report: Callable[..., None],
        on_close: Callable[["Connection"], None] | None = None,
    ):
        self.vm = vm
        self.secret = secret
        self.frames = frames
        self.clock = clock
        self.handler = handler
        self.report = report
        self.on_close = on_close
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = None
        try:
            connection = await asyncio.wait_for(self._greet(reader, writer), HANDSHAKE_SECONDS)
            if connection is not None:
                self._connections.add(connection)
                await connection.read(self.handler)
        except FrameError as error:
            self.report("peer_frame_malformed", problem=str(error))
        except (ConnectionError, TimeoutError):
            pass
        finally:
            self._connections.discard(connection)
            writer.close()
            if connection is not None and self.on_close is not None:
                self.on_close(connection)

    async def _greet(self, reader: StreamReader, writer: StreamWriter) -> Connection | None:
        set_user_timeout(writer.transport)
        nonce = secrets.token_bytes(NONCE_BYTES)
        writer.write(self.frames.write(Frame(Challenge(nonce))))
        frame = await self.frames.read(reader, MAXIMUM_HANDSHAKE_BYTES)
        if frame is None or not isinstance(frame.message, Proof):
            self.report("peer_refused", problem="no proof of the fleet secret")
            return None
        proof = frame.message
        expected = compute_proof(self.secret, "connect", proof.vm, nonce, proof.nonce)
        if not is_proof(expected, proof.digest):
            self.report("peer_refused", peer=proof.vm, problem="wrong fleet secret")
            return None
        digest = compute_proof(self.secret, "accept", self.vm, proof.nonce, nonce)
        writer.write(self.frames.write(Frame(Welcome(self.vm, digest))))
        return Connection(
            reader=reader,
            writer=writer,
            frames=self.frames,
            clock=self.clock,
            peer=proof.vm,
            role=proof.role,
        )


class Link:
    """An outgoing connection to one address that is made anew when it breaks.

    Parameters
    ----------
    vm, role : str
        Who connects.
    secret : bytes
        The fleet secret.
    address : str
        ``HOST:PORT`` of the peer.
    handler : callable
        Takes frames that are not answers.
    """

    def __init__(
        self,
        *,
        vm: str,
        role: str,
        secret: bytes,
        address: str,
        frames: FrameCodec,
        clock: HybridClock,
        handler: Handler,
    ):
        self.vm = vm
        self.role = role
        self.secret = secret
        self.address = address
        self.frames = frames
        self.clock = clock
        self.handler = handler
        self._connection: Connection | None = None
        self._waiting: list[Message] = []
        self._dialing: asyncio.Task | None = None
        self._reading: asyncio.Task | None = None
        self._failed_at = float("-inf")

    @property
    def connection(self) -> Connection | None:
        """The connection, if it is open."""
        is_open = self._connection is not None and self._connection.is_open
        return self._connection if is_open else None

    def post(self, message: Message) -> None:
        """Send a one-way message; a few wait while a connection is made, the rest are dropped."""
        if self.connection is not None:
            self.connection.send(message)
            return
        if len(self._waiting) < MAXIMUM_WAITING:
            self._waiting.append(message)
        self._start_dialing()

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a call and return its answer; raises as ``Connection.call`` does."""
        connection = await self._connect()
        return await connection.call(message, timeout)

    def close(self) -> None:
        """Close the connection."""
        for task in (self._dialing, self._reading):
            if task is not None:
                task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def open(self) -> Connection:
        """Return a new connection that the caller reads; raises ``UnreachableError``."""
        try:
            return await asyncio.wait_for(self._open(), CONNECT_SECONDS)
        except (OSError, TimeoutError, FrameError) as error:
            raise UnreachableError(f"no connection to {self.address}: {error!r}") from error

    async def _connect(self) -> Connection:
        if self.connection is not None:
            return self.connection
        self._start_dialing()
        if self._dialing is None:
            raise UnreachableError(f"no connection to {self.address}")
        connection = await asyncio.shield(self._dialing)
        if connection is None:
            raise UnreachableError(f"no connection to {self.address}")
        return connection

    def _start_dialing(self) -> None:
        loop = asyncio.get_running_loop()
        is_dialing = self._dialing is not None and not self._dialing.done()
        if is_dialing or loop.time() - self._failed_at < REDIAL_SECONDS:
            if not is_dialing:
                self._dialing = None
                self._waiting.clear()
            return
        self._dialing = loop.create_task(self._dial())

    async def _dial(self) -> Connection | None:
        try:
            self._connection = await asyncio.wait_for(self._open(), CONNECT_SECONDS)
        except (OSError, TimeoutError, FrameError):
            self._failed_at = asyncio.get_running_loop().time()
            self._waiting.clear()
            return None
        self._reading = asyncio.create_task(self._read(self._connection))
        waiting, self._waiting = self._waiting, []
        for message in waiting:
            self._connection.send(message)
        return self._connection

    async def _read(self, connection: Connection) -> None:
        try:
            await connection.read(self.handler)
        except (FrameError, ConnectionError):
            connection.close()

    async def _open(self) -> Connection:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        set_user_timeout(writer.transport)
        try:
            vm = await self._prove(reader, writer)
        except BaseException:
            writer.close()
            raise
        return Connection(
            reader=reader,
            writer=writer,
            frames=self.frames,
            clock=self.clock,
            peer=vm,
            is_asking=True,
        )

    async def _prove(self, reader: StreamReader, writer: StreamWriter) -> str:
        challenge = await self._read_greeting(reader, Challenge)
        nonce = secrets.token_bytes(NONCE_BYTES)
        digest = compute_proof(self.secret, "connect", self.vm, challenge.nonce, nonce)
        writer.write(self.frames.write(Frame(Proof(self.vm, self.role, nonce, digest))))
        welcome = await self._read_greeting(reader, Welcome)
        expected = compute_proof(self.secret, "accept", welcome.vm, nonce, challenge.nonce)
        if not is_proof(expected, welcome.digest):
            raise UnreachableError(f"{self.address} does not know the fleet secret")
        return welcome.vm

    async def _read_greeting(self, reader: StreamReader, wanted: type) -> Message:
        frame = await self.frames.read(reader, MAXIMUM_HANDSHAKE_BYTES)
        if frame is None or not isinstance(frame.message, wanted):
            raise UnreachableError(f"{self.address} refused the connection")
        return frame.message


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Let a connection break when its peer acknowledges nothing for some time."""
    sock = transport.get_extra_info("socket")
    if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
