"""Forwards requests of other entries that have no path to the targets."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..base import Message
from ..edge import EdgeNode
from ..exchange import ResponseResources
from ..forwarding import ForwardRequest, RefusalReason, Refuse, RespondWith
from ..relaying import (
    DeclineReason,
    RelayCancel,
    RelayChunk,
    RelayDecline,
    RelayHeader,
    RelayRefusal,
    RelayRequest,
    RelayResponse,
)
from ..transport import Connection, Frame, PeerServer
from ..utils import compute_short_digest
from ._forwarder import Forwarder
from ._interfaces import RequestContent
from ._relay_client import send_with_body, split_body

# Reasons that entries of earlier builds do not know, and what they are told in place of them.
WIRE_REASONS = {
    RefusalReason.PAUSED: RefusalReason.LIMITED,
    RefusalReason.OVER_ALLOWANCE: RefusalReason.LIMITED,
}


@dataclass(slots=True)
class _Incoming:
    """A request of another entry: its body so far, or the task that forwards it."""

    message: RelayRequest
    body: bytearray = field(default_factory=bytearray)
    task: asyncio.Task | None = None


class RelayServer:
    """Accepts connections of other entries and forwards their requests.

    Parameters
    ----------
    node : EdgeNode
        State of this entry.
    forwarder : Forwarder
        Forwards requests to targets.
    report : callable
        Logs an event, given by its name and fields.
    create_server : callable
        Returns a ``PeerServer`` for a frame handler and a handler of closed connections.
    resources : ResponseResources, optional
        Limits the memory for requests of other entries together with responses.
    """

    def __init__(
        self,
        *,
        node: EdgeNode,
        forwarder: Forwarder,
        report: Callable[..., None],
        create_server: Callable[..., PeerServer],
        resources: ResponseResources | None = None,
    ):
        self.node = node
        self.forwarder = forwarder
        self.report = report
        self.resources = resources or ResponseResources()
        self.server = create_server(handler=self._receive, on_close=self._close)
        self._incoming: dict[Connection, dict[int, _Incoming]] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests that are being forwarded."""
        return self.node.path.relayed_requests

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        host, _, port = address.rpartition(":")
        await self.server.start(host, int(port))

    async def stop(self, seconds: float) -> None:
        """Wait up to some seconds for the requests in flight, then close all connections."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while self.in_flight and loop.time() < deadline:
            await asyncio.sleep(0.02)
        await self.server.stop()

    def _receive(self, connection: Connection, frame: Frame) -> None:
        message = frame.message
        incoming = self._incoming.setdefault(connection, {})
        if isinstance(message, RelayRequest):
            self._accept(connection, incoming, message)
        elif isinstance(message, RelayChunk) and message.number in incoming:
            item = incoming[message.number]
            item.body += message.data
            self._start_if_complete(connection, item)
        elif isinstance(message, RelayCancel) and message.number in incoming:
            self._cancel(incoming.pop(message.number))

    def _accept(
        self, connection: Connection, incoming: dict[int, _Incoming], message: RelayRequest
    ) -> None:
        """Take a request, or decline it before its body has arrived."""
        reason = self.node.find_decline_reason(message.minimum_version, message.size)
        if reason is None and not self.resources.reserve_request(message.size):
            reason = DeclineReason.BUSY
        if reason is not None:
            self._decline(connection, message, reason)
            return
        self.node.path.acquire_relayed(message.size)
        incoming[message.number] = item = _Incoming(message, bytearray(message.body))
        self._start_if_complete(connection, item)

    def _start_if_complete(self, connection: Connection, item: _Incoming) -> None:
        if item.task is None and len(item.body) >= item.message.size:
            item.task = asyncio.get_running_loop().create_task(self._forward(connection, item))

    async def _forward(self, connection: Connection, item: _Incoming) -> None:
        message, incoming = item.message, self._incoming.get(connection, {})
        try:
            reply, body = await self._execute(message, item.body)
            await send_with_body(connection, reply, body)
        except Exception as error:
            self.report("relayed_request_crashed", problem=repr(error))
            may_have_run = Refuse(RefusalReason.MAY_HAVE_RUN, has_run=True)
            connection.send(_create_reply(message.number, may_have_run, self.node.version)[0])
        finally:
            # A cancelled request was removed, and no longer counts, when it was cancelled.
            if incoming.pop(message.number, None) is not None:
                self._release(message)

    async def _execute(self, message: RelayRequest, body: bytes) -> tuple[Message, bytes]:
        """Forward a request and return the reply with the whole body of the response."""
        matched = self.node.match(message.host, message.path.decode("utf-8", "surrogateescape"))
        if matched is None:
            return self._create_decline(message, DeclineReason.NO_ROUTE), b""
        now = asyncio.get_running_loop().time()
        content = RequestContent(
            method=message.method,
            path=message.path,
            host=message.host,
            # Entries of earlier builds pass on what concerns only the caller's connection.
            headers=self.forwarder.dialect.filter_request_headers(
                tuple((item.name, item.value) for item in message.headers)
            ),
            body=body,
            request_id=message.request_id,
            has_body=message.has_body,
        )
        attempts = min(message.maximum_attempts, matched.route.maximum_attempts)
        request = ForwardRequest(
            identity=message.request_id.decode("latin-1"),
            route=replace(matched.route, maximum_attempts=attempts),
            service=matched.service,
            arrived_at=now,
            deadline=now + min(message.remaining_seconds, matched.route.timeout),
            digest=compute_short_digest(content.method, content.path, content.body),
            size=len(body),
            is_relayed=True,
        )
        result = await self.forwarder.forward(request, content)
        self._report_result(request, result)
        return _create_reply(message.number, result, self.node.version)

    def _report_result(self, request: ForwardRequest, result: RespondWith | Refuse) -> None:
        seconds = asyncio.get_running_loop().time() - request.arrived_at
        fields = {"request": request.identity, "route": request.route.name}
        if isinstance(result, Refuse):
            fields |= {"reason": result.reason, "has_run": result.has_run}
        else:
            fields |= {"target": result.target, "status": result.answer.status}
        self.report("request_relayed", **fields, seconds=round(seconds, 4))

    def _decline(
        self, connection: Connection, message: RelayRequest, reason: DeclineReason
    ) -> None:
        connection.send(self._create_decline(message, reason))

    def _create_decline(self, message: RelayRequest, reason: DeclineReason) -> RelayDecline:
        identity = message.request_id.decode("latin-1")
        self.report("relay_declined", request=identity, reason=reason)
        return RelayDecline(message.number, reason)

    def _cancel(self, item: _Incoming) -> None:
        self._release(item.message)
        if item.task is not None:
            item.task.cancel()

    def _release(self, message: RelayRequest) -> None:
        self.node.path.release_relayed(message.size)
        self.resources.release_request(message.size)

    def _close(self, connection: Connection) -> None:
        """Abandon the requests of an entry whose connection was closed."""
        incoming = self._incoming.pop(connection, {})
        abandoned = list(incoming.values())
        incoming.clear()
        for item in abandoned:
            self._cancel(item)


def _create_reply(
    number: int, result: RespondWith | Refuse, version: int
) -> tuple[Message, bytes]:
    usage = result.usage
    if isinstance(result, Refuse):
        refusal = RelayRefusal(
            number,
            str(WIRE_REASONS.get(result.reason, result.reason)),
            result.has_run,
            result.retry_after,
            usage.executions,
            usage.deliveries,
            version,
        )
        return refusal, b""
    answer = result.answer
    response = RelayResponse(
        number,
        answer.status,
        tuple(RelayHeader(name, value) for name, value in answer.headers),
        len(answer.body),
        next(split_body(answer.body)),
        result.target,
        usage.executions,
        usage.deliveries,
        version,
    )
    return response, answer.body
