"""Connections between processes that carry calls and one-way messages."""

import asyncio
import contextlib
import secrets
import socket
from asyncio import StreamReader, StreamReaderProtocol, StreamWriter
from collections.abc import Awaitable, Callable

from ..base import FrameError, Message
from ..utils import HybridClock
from ._frames import MAXIMUM_HANDSHAKE_BYTES, Frame, FrameCodec, UnknownMessage
from ._handshake import (
    NONCE_BYTES,
    Challenge,
    KeepAlive,
    KeepAliveReply,
    Proof,
    Welcome,
    compute_proof,
    is_digest_valid,
)
from ._listening import listen

CONNECT_TIMEOUT_SECONDS = 1.0
HANDSHAKE_TIMEOUT_SECONDS = 2.0
MAXIMUM_QUEUED_BYTES = 8 << 20
REDIAL_DELAY_SECONDS = 0.1
# Incoming connections whose handshake is not complete: a number for a process without a limit on
# descriptors, and otherwise a share of that limit and at least so many.
MAXIMUM_HANDSHAKES = 256
HANDSHAKES_SHARE = 1 / 16
MINIMUM_HANDSHAKES = 8
# One-way messages that are buffered while a connection is being established.
MAXIMUM_WAITING_MESSAGES = 64
# Peers and targets acknowledge TCP segments within about 50 ms. On a link that silently drops
# packets, missing acknowledgements are the only sign of the failure.
USER_TIMEOUT_MILLISECONDS = 1500
# A middlebox may acknowledge bytes that never reach the peer, so keep-alive messages also check
# the peer itself. Round trips take at most 50 ms; a peer that sends nothing for the time-out is
# frozen or partitioned.
KEEP_ALIVE_INTERVAL_SECONDS = 0.7
KEEP_ALIVE_TIMEOUT_SECONDS = 2.0


class UnreachableError(ConnectionError):
    """The connection to a peer could not be established, or it broke."""


class UnknownReplyError(UnreachableError):
    """A peer's reply to a call cannot be understood; the peer may have executed the call."""


class CallTimeoutError(TimeoutError):
    """A peer did not answer a call in time; it may still execute the call."""


Handler = Callable[["Connection", Frame], Awaitable[None] | None]
# Name of the link of an unknown message on the connecting side, which is not told the peer's role.
OUTGOING_LINK = "outgoing"


class Connection:
    """One connection whose handshake is complete.

    Parameters
    ----------
    reader, writer : StreamReader, StreamWriter
        The byte stream.
    frames : FrameCodec
        Encodes and decodes frames.
    clock : HybridClock
        Stamps outgoing frames and advances with incoming ones.
    peer, role : str
        VM and role of the other side. On the connecting side the role is empty, as the accepting
        side does not report one.
    has_keep_alive : bool
        Whether this side sends keep-alive messages.
    """

    def __init__(
        self,
        *,
        reader: StreamReader,
        writer: StreamWriter,
        frames: FrameCodec,
        clock: HybridClock,
        peer: str,
        role: str = "",
        has_keep_alive: bool = False,
    ):
        self.has_keep_alive = has_keep_alive
        self.reader = reader
        self.writer = writer
        self.frames = frames
        self.clock = clock
        self.peer = peer
        self.role = role
        self._pending_calls: dict[int, asyncio.Future] = {}
        self._last_call = 0
        self._last_received_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return not self.writer.is_closing()

    def send(self, message: Message, *, call: int = 0, is_reply: bool = False) -> None:
        """Queue one message for sending; drop it if the connection is closed."""
        if not self.is_open:
            return
        self.write(self.frames.encode(Frame(message, call, is_reply, self.clock.stamp())))

    def write(self, content: bytes) -> None:
        """Queue encoded frames for sending.

        The connection is closed if the peer reads too slowly, so that more than
        ``MAXIMUM_QUEUED_BYTES`` wait to be sent.
        """
        if not self.is_open:
            return
        self.writer.write(content)
        if self.writer.transport.get_write_buffer_size() > MAXIMUM_QUEUED_BYTES:
            self.close()

    async def drain(self) -> None:
        """Wait until the peer has read enough that more can be sent, or the connection broke."""
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a call and return its reply.

        Raises
        ------
        UnreachableError
            If the connection is closed before the reply arrives.
        UnknownReplyError
            If this build does not know the reply.
        CallTimeoutError
            If there is no reply within ``timeout`` seconds.
        """
        if not self.is_open:
            raise UnreachableError(f"the connection to {self.peer} is closed")
        self._last_call += 1
        number = self._last_call
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        try:
            self.send(message, call=number)
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise CallTimeoutError(f"{self.peer} did not reply within {timeout} s") from error
        finally:
            self._pending_calls.pop(number, None)

    async def read(self, handler: Handler) -> None:
        """Process incoming frames until the connection is closed.

        Replies complete their calls; every other frame except keep-alives goes to the handler.
        Messages that this build does not know are reported and dropped; unknown calls are refused.

        Raises
        ------
        FrameError
            If the peer sends a malformed or oversized frame.
        """
        keep_alive_task = (
            asyncio.create_task(self._send_keep_alives()) if self.has_keep_alive else None
        )
        try:
            while (frame := await self.frames.read(self.reader)) is not None:
                self._last_received_at = asyncio.get_running_loop().time()
                self.clock.observe(frame.stamp)
                if frame.unknown:
                    self._report_unknown(frame)
                if frame.is_reply:
                    self._complete_call(frame)
                elif isinstance(frame.message, UnknownMessage):
                    self._refuse_unknown(frame)
                elif isinstance(frame.message, KeepAlive):
                    self.send(KeepAliveReply())
                elif not isinstance(frame.message, KeepAliveReply):
                    awaitable = handler(self, frame)
                    if awaitable is not None:
                        await awaitable
        finally:
            if keep_alive_task is not None:
                keep_alive_task.cancel()
            self.close()

    async def _send_keep_alives(self) -> None:
        """Send keep-alive messages; abort the connection if nothing is received for too long."""
        loop = asyncio.get_running_loop()
        self._last_received_at = loop.time()
        while loop.time() - self._last_received_at < KEEP_ALIVE_TIMEOUT_SECONDS:
            self.send(KeepAlive())
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_SECONDS)
        # A normal close would wait until the buffered bytes are sent, which may never happen.
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection and fail its pending calls."""
        self.writer.close()
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(UnreachableError(f"the connection to {self.peer} broke"))

    def _complete_call(self, frame: Frame) -> None:
        future = self._pending_calls.get(frame.call)
        if future is None or future.done():
            return
        if isinstance(frame.message, UnknownMessage):
            problem = f"{self.peer} replied to a call: {frame.message.problem}"
            future.set_exception(UnknownReplyError(problem))
        else:
            future.set_result(frame.message)

    def _report_unknown(self, frame: Frame) -> None:
        if self.frames.report_unknown is None:
            return
        link = self.role or OUTGOING_LINK
        for unknown in frame.unknown:
            self.frames.report_unknown(
                link=link, peer=self.peer, kind=unknown.kind, problem=unknown.problem
            )

    def _refuse_unknown(self, frame: Frame) -> None:
        """Refuse an unknown call, so that its sender does not wait; drop a one-way message."""
        if frame.call and self.is_open:
            refusal = self.frames.encode_refusal(
                frame.call, frame.message.kind, self.clock.stamp()
            )
            self.write(refusal)


class PeerServer:
    """Accepts connections of peers and operators that hold the fleet secret.

    Parameters
    ----------
    vm : str
        The VM of this process.
    secret : bytes
        The fleet secret.
    frames : FrameCodec
        Encodes and decodes frames.
    clock : HybridClock
        Stamps outgoing frames and advances with incoming ones.
    handler : callable
        Called with the connection and the frame for each incoming frame.
    report : callable
        Called with an event name and fields when a handshake is refused or a frame is malformed.
    on_close : callable, optional
        Called with each authenticated connection after it was closed.
    maximum_handshakes : int, optional
        Number of connections whose handshake may be incomplete. A further one takes the place of
        the oldest: a handshake of a peer takes one round trip.
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
        maximum_handshakes: int = MAXIMUM_HANDSHAKES,
    ):
        self.maximum_handshakes = maximum_handshakes
        self.vm = vm
        self.secret = secret
        self.frames = frames
        self.clock = clock
        self.handler = handler
        self.report = report
        self.on_close = on_close
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        # Connections whose handshake is not complete, the oldest first.
        self._handshakes: dict[StreamWriter, None] = {}

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        self._server = await listen(
            f"{host}:{port}", lambda: StreamReaderProtocol(StreamReader(), self._serve)
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = None
        self._begin_handshake(writer)
        try:
            connection = await asyncio.wait_for(
                self._authenticate_peer(reader, writer), HANDSHAKE_TIMEOUT_SECONDS
            )
            self._handshakes.pop(writer, None)
            if connection is not None:
                self._connections.add(connection)
                await connection.read(self.handler)
        except FrameError as error:
            self.report("peer_frame_malformed", problem=str(error))
        except (ConnectionError, TimeoutError):
            pass
        finally:
            self._handshakes.pop(writer, None)
            self._connections.discard(connection)
            writer.close()
            if connection is not None and self.on_close is not None:
                self.on_close(connection)

    def _begin_handshake(self, writer: StreamWriter) -> None:
        """Count a new connection, in place of the oldest one if there are too many."""
        if len(self._handshakes) >= self.maximum_handshakes:
            oldest = next(iter(self._handshakes))
            del self._handshakes[oldest]
            oldest.transport.abort()
            self.report("peer_refused", problem="too many incomplete handshakes")
        self._handshakes[writer] = None

    async def _authenticate_peer(
        self, reader: StreamReader, writer: StreamWriter
    ) -> Connection | None:
        set_user_timeout(writer.transport)
        nonce = secrets.token_bytes(NONCE_BYTES)
        writer.write(self.frames.encode(Frame(Challenge(nonce))))
        frame = await self.frames.read(reader, MAXIMUM_HANDSHAKE_BYTES)
        if frame is None or not isinstance(frame.message, Proof):
            self.report("peer_refused", problem="no proof of the fleet secret")
            return None
        proof = frame.message
        expected = compute_proof(self.secret, "connect", proof.vm, nonce, proof.nonce)
        if not is_digest_valid(expected, proof.digest):
            self.report("peer_refused", peer=proof.vm, problem="wrong fleet secret")
            return None
        digest = compute_proof(self.secret, "accept", self.vm, proof.nonce, nonce)
        writer.write(self.frames.encode(Frame(Welcome(self.vm, digest))))
        return Connection(
            reader=reader,
            writer=writer,
            frames=self.frames,
            clock=self.clock,
            peer=proof.vm,
            role=proof.role,
        )


class Link:
    """An outgoing connection to one address that is re-established on use after it broke.

    Parameters
    ----------
    vm, role : str
        VM and role of this process, which it reports in the handshake.
    secret : bytes
        The fleet secret.
    address : str
        ``HOST:PORT`` of the peer.
    frames : FrameCodec
        Encodes and decodes frames.
    clock : HybridClock
        Stamps outgoing frames and advances with incoming ones.
    handler : callable
        Called with the connection and the frame for each incoming frame that is not a reply.
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
        self._waiting_messages: list[Message] = []
        self._dial_task: asyncio.Task | None = None
        self._read_task: asyncio.Task | None = None
        self._failed_at = float("-inf")

    @property
    def connection(self) -> Connection | None:
        """The connection if it is open, else None."""
        is_open = self._connection is not None and self._connection.is_open
        return self._connection if is_open else None

    def post(self, message: Message) -> None:
        """Send a one-way message, without a guarantee of delivery.

        While the connection is being established, up to ``MAXIMUM_WAITING_MESSAGES`` are
        buffered and the others dropped. If it cannot be established, all of them are dropped.
        """
        if self.connection is not None:
            self.connection.send(message)
            return
        if len(self._waiting_messages) < MAXIMUM_WAITING_MESSAGES:
            self._waiting_messages.append(message)
        self._start_dialing()

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a call and return its reply; raise the errors of ``Connection.call``."""
        connection = await self._connect()
        return await connection.call(message, timeout)

    def close(self) -> None:
        """Close the connection and stop connecting."""
        for task in (self._dial_task, self._read_task):
            if task is not None:
                task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def open(self) -> Connection:
        """Return a new connection, on which ``Connection.read`` has to be run.

        Raises
        ------
        UnreachableError
            If the connection cannot be established.
        """
        try:
            return await asyncio.wait_for(self._open(), CONNECT_TIMEOUT_SECONDS)
        except (OSError, TimeoutError, FrameError) as error:
            raise UnreachableError(f"cannot connect to {self.address}: {error!r}") from error

    async def _connect(self) -> Connection:
        if self.connection is not None:
            return self.connection
        self._start_dialing()
        if self._dial_task is None:
            raise UnreachableError(f"cannot connect to {self.address}")
        connection = await asyncio.shield(self._dial_task)
        if connection is None:
            raise UnreachableError(f"cannot connect to {self.address}")
        return connection

    def _start_dialing(self) -> None:
        loop = asyncio.get_running_loop()
        is_dialing = self._dial_task is not None and not self._dial_task.done()
        if is_dialing or loop.time() - self._failed_at < REDIAL_DELAY_SECONDS:
            if not is_dialing:
                self._dial_task = None
                self._waiting_messages.clear()
            return
        self._dial_task = loop.create_task(self._dial())

    async def _dial(self) -> Connection | None:
        try:
            self._connection = await asyncio.wait_for(self._open(), CONNECT_TIMEOUT_SECONDS)
        except (OSError, TimeoutError, FrameError):
            self._failed_at = asyncio.get_running_loop().time()
            self._waiting_messages.clear()
            return None
        self._read_task = asyncio.create_task(self._read(self._connection))
        waiting, self._waiting_messages = self._waiting_messages, []
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
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except (ValueError, OverflowError) as error:
            # A host or port that no socket takes.
            raise UnreachableError(f"cannot connect to {self.address!r}: {error}") from error
        set_user_timeout(writer.transport)
        try:
            peer = await self._perform_handshake(reader, writer)
        except BaseException:
            writer.close()
            raise
        return Connection(
            reader=reader,
            writer=writer,
            frames=self.frames,
            clock=self.clock,
            peer=peer,
            has_keep_alive=True,
        )

    async def _perform_handshake(self, reader: StreamReader, writer: StreamWriter) -> str:
        challenge = await self._read_handshake_message(reader, Challenge)
        nonce = secrets.token_bytes(NONCE_BYTES)
        digest = compute_proof(self.secret, "connect", self.vm, challenge.nonce, nonce)
        writer.write(self.frames.encode(Frame(Proof(self.vm, self.role, nonce, digest))))
        welcome = await self._read_handshake_message(reader, Welcome)
        expected = compute_proof(self.secret, "accept", welcome.vm, nonce, challenge.nonce)
        if not is_digest_valid(expected, welcome.digest):
            raise UnreachableError(f"{self.address} does not hold the fleet secret")
        return welcome.vm

    async def _read_handshake_message(self, reader: StreamReader, expected: type) -> Message:
        frame = await self.frames.read(reader, MAXIMUM_HANDSHAKE_BYTES)
        if frame is None or not isinstance(frame.message, expected):
            raise UnreachableError(f"{self.address} refused the handshake")
        return frame.message


def compute_maximum_handshakes(maximum_descriptors: int | None) -> int:
    """Return how many handshakes may be incomplete in a process that may open some descriptors."""
    if maximum_descriptors is None:
        return MAXIMUM_HANDSHAKES
    return max(MINIMUM_HANDSHAKES, int(maximum_descriptors * HANDSHAKES_SHARE))


def set_user_timeout(
    transport: asyncio.BaseTransport, milliseconds: int = USER_TIMEOUT_MILLISECONDS
) -> None:
    """Let the kernel close a connection whose sent data stays unacknowledged for the time-out.

    With 0 the kernel retransmits for minutes. Without effect where the platform has no
    ``TCP_USER_TIMEOUT``.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
