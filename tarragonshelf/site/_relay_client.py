"""Sends requests to other entries, which forward them, and receives the results."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from ..base import FrameError, Message
from ..buffering import ResponseHolding
from ..catalogue import NO_VERSION
from ..exchange import ResponseResources, find_malformed_head
from ..forwarding import (
    AttemptUsage,
    RefusalReason,
    Refuse,
    RelayAttempt,
    RelayEnded,
    RelayOutcome,
    TargetAnswer,
)
from ..relaying import (
    RelayCancel,
    RelayChunk,
    RelayDecline,
    RelayHeader,
    RelayRefusal,
    RelayRequest,
    RelayResponse,
)
from ..transport import Connection, Frame, PeerLinks, UnreachableError
from ._interfaces import RequestContent

# Opening a connection takes two round trips, the handshake included; 40 ms each between regions.
CONNECT_TIMEOUT_SECONDS = 0.35
# Bodies are sent in parts, so that a large one delays the others on the connection only briefly.
CHUNK_BYTES = 64 << 10
# A connection without a request in flight is closed after this time.
IDLE_SECONDS = 10.0


def split_body(body: bytes) -> Iterator[bytes]:
    """Return the parts of a body one by one; the first one exists even if it is empty."""
    for at in range(0, max(1, len(body)), CHUNK_BYTES):
        yield bytes(body[at : at + CHUNK_BYTES])


@dataclass(slots=True)
class _PendingRelay:
    """A request without a complete result."""

    attempt: RelayAttempt
    result: asyncio.Future
    holding: ResponseHolding
    response: RelayResponse | None = None
    body: bytearray = field(default_factory=bytearray)


@dataclass(slots=True, eq=False)
class _RelayConnection:
    """A connection to another entry and the requests that wait for a result on it."""

    connection: Connection
    used_at: float
    pending: dict[int, _PendingRelay] = field(default_factory=dict)


class RelayClient:
    """Holds one connection to each entry that relays requests of this one.

    Parameters
    ----------
    links : PeerLinks
        Opens connections to other processes.
    resources : ResponseResources
        Limits the memory for unfinished responses of targets and relays together.
    """

    def __init__(self, links: PeerLinks, resources: ResponseResources):
        self.links = links
        self.resources = resources
        # Highest version of the catalogue that a relay reported.
        self.latest_version = NO_VERSION
        self._number = 0
        self._connections: dict[str, _RelayConnection] = {}
        self._opening: dict[str, asyncio.Task] = {}
        self._readers: set[asyncio.Task] = set()

    async def send(
        self, attempt: RelayAttempt, content: RequestContent, minimum_version: int
    ) -> RelayEnded:
        """Send a request to the relay of an attempt and return how it ended.

        If this is cancelled, the relay is told to abandon the request.
        """
        try:
            opened = await self._connect(attempt.relay.address)
        except UnreachableError:
            return RelayEnded(attempt.number, RelayOutcome.NOT_SENT)
        loop = asyncio.get_running_loop()
        self._number += 1
        number, opened.used_at = self._number, loop.time()
        # Responses of one relay come from many targets, so each counts as a source of its own.
        source = f"{attempt.relay.address} {number}"
        holding = self.resources.open(source, lambda reason: self._give_up(opened, number))
        opened.pending[number] = pending = _PendingRelay(attempt, loop.create_future(), holding)
        try:
            remaining_seconds = attempt.deadline - loop.time()
            message = _create_request(number, attempt, content, remaining_seconds, minimum_version)
            await send_with_body(opened.connection, message, content.body)
            return await pending.result
        except asyncio.CancelledError:
            opened.connection.send(RelayCancel(number))
            raise
        finally:
            opened.pending.pop(number, None)
            opened.used_at = loop.time()
            self.resources.close(pending.holding)

    def close_idle(self, now: float) -> None:
        """Close connections that no request has used for a while."""
        for opened in self._connections.values():
            if not opened.pending and now - opened.used_at > IDLE_SECONDS:
                opened.connection.close()

    def close(self) -> None:
        """Close all connections."""
        for task in self._opening.values():
            task.cancel()
        for opened in self._connections.values():
            opened.connection.close()

    async def _connect(self, address: str) -> _RelayConnection:
        opened = self._connections.get(address)
        if opened is not None and opened.connection.is_open:
            return opened
        if address not in self._opening:
            task = asyncio.get_running_loop().create_task(self._open(address))
            self._opening[address] = task
            task.add_done_callback(lambda _: self._opening.pop(address, None))
        return await asyncio.shield(self._opening[address])

    async def _open(self, address: str) -> _RelayConnection:
        loop = asyncio.get_running_loop()
        try:
            connection = await asyncio.wait_for(self.links.open(address), CONNECT_TIMEOUT_SECONDS)
        except TimeoutError as error:
            raise UnreachableError(f"cannot connect to {address}: timed out") from error
        opened = _RelayConnection(connection, loop.time())
        self._connections[address] = opened
        task = loop.create_task(self._read(address, opened))
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        return opened

    async def _read(self, address: str, opened: _RelayConnection) -> None:
        """Receive results until the connection ends, then fail the requests without one."""
        try:
            await opened.connection.read(lambda _, frame: self._receive(opened, frame))
        except (FrameError, ConnectionError):
            opened.connection.close()
        finally:
            if self._connections.get(address) is opened:
                del self._connections[address]
            for pending in opened.pending.values():
                _finish(pending, RelayEnded(pending.attempt.number, RelayOutcome.BROKEN))

    def _receive(self, opened: _RelayConnection, frame: Frame) -> None:
        message = frame.message
        pending = opened.pending.get(getattr(message, "number", 0))
        if pending is None:
            # The request was cancelled meanwhile.
            return
        if isinstance(message, RelayResponse):
            pending.response = message
            self._append_body(opened, pending, message.number, message.body)
        elif isinstance(message, RelayChunk):
            self._append_body(opened, pending, message.number, message.data)
        elif isinstance(message, RelayRefusal):
            self.latest_version = max(self.latest_version, message.version)
            _finish(pending, _create_refused(pending.attempt.number, message))
        elif isinstance(message, RelayDecline):
            declined = RelayEnded(
                pending.attempt.number, RelayOutcome.DECLINED, decline_reason=message.reason
            )
            _finish(pending, declined)

    def _append_body(
        self, opened: _RelayConnection, pending: _PendingRelay, number: int, data: bytes
    ) -> None:
        """Add a part of the response, or give it up if it does not fit into the memory."""
        if pending.result.done():
            return
        if not self.resources.reserve(pending.holding, len(data)):
            self._give_up(opened, number)
            return
        pending.body += data
        self._finish_if_complete(pending)

    def _give_up(self, opened: _RelayConnection, number: int) -> None:
        """End an attempt for lack of memory."""
        pending = opened.pending[number]
        opened.connection.send(RelayCancel(number))
        _finish(pending, RelayEnded(pending.attempt.number, RelayOutcome.GIVEN_UP))

    def _finish_if_complete(self, pending: _PendingRelay) -> None:
        message = pending.response
        if message is None or len(pending.body) < message.size:
            return
        self.latest_version = max(self.latest_version, message.version)
        headers = tuple((item.name, item.value) for item in message.headers)
        if find_malformed_head(message.status, headers):
            # Entries of earlier builds relay malformed responses of targets.
            _finish(pending, RelayEnded(pending.attempt.number, RelayOutcome.BROKEN))
            return
        ended = RelayEnded(
            pending.attempt.number,
            RelayOutcome.RESPONDED,
            TargetAnswer(message.status, headers, pending.body),
            message.target,
            usage=AttemptUsage(message.executions, message.deliveries),
        )
        _finish(pending, ended)


async def send_with_body(connection: Connection, message: Message, body: bytes) -> None:
    """Send a message that holds the first part of a body, and then the other parts."""
    connection.send(message)
    for part in islice(split_body(body), 1, None):
        await connection.drain()
        connection.send(RelayChunk(message.number, part))


def _create_request(
    number: int,
    attempt: RelayAttempt,
    content: RequestContent,
    remaining_seconds: float,
    minimum_version: int,
) -> RelayRequest:
    return RelayRequest(
        number,
        content.method,
        content.path,
        content.host,
        tuple(RelayHeader(name, value) for name, value in content.headers),
        content.request_id,
        content.has_body,
        len(content.body),
        next(split_body(content.body)),
        remaining_seconds,
        attempt.maximum_attempts,
        minimum_version,
    )


def _create_refused(number: int, message: RelayRefusal) -> RelayEnded:
    usage = AttemptUsage(message.executions, message.deliveries)
    refuse = Refuse(
        RefusalReason(message.reason), message.has_run, message.retry_after, usage=usage
    )
    return RelayEnded(number, RelayOutcome.REFUSED, refusal=refuse, usage=usage)


def _finish(pending: _PendingRelay, ended: RelayEnded) -> None:
    if not pending.result.done():
        pending.result.set_result(ended)
