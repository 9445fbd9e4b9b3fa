"""Serves callers of a site's entry over HTTP."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from ..catalogue import CallerLimits, RouteMatch
from ..edge import EdgeNode
from ..forwarding import ForwardRequest, Refuse, RespondWith, UnansweredAttempt
from ..telemetry import Metrics
from ..utils import compute_short_digest
from ._dialect import CallerFields, TargetDialect
from ._forwarder import Content, Forwarder

# A caller that does not say how long it waits is taken to wait for the route's timeout.
NO_PATIENCE = float("inf")
# Answers arrive at the caller a little before its deadline.
TRAVEL_SECONDS = 0.02
# Lines and fields of a request's head that the server library reads; the catalogue's own limit
# is checked after.
HEAD_BYTES = 64 << 10
# The library's own bound on idle connections is only a last resort: the catalogue's may change.
KEEPALIVE_SECONDS = 600.0
# A log line names at most so many targets.
MAXIMUM_DESCRIBED = 16
# Idle connections are looked at once a second.
IDLE_MARGIN_SECONDS = 1.0
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH", "DELETE"})


class BodyTooLargeError(ValueError):
    """A caller's body exceeds the limit in force."""


class CallerPort:
    """Reads callers' requests and gives each its answer.

    Parameters
    ----------
    node : EdgeNode
        Routes and limits in force.
    forwarder : Forwarder
        Brings requests to targets.
    dialect : TargetDialect
        How callers are spoken to.
    report : callable
        Takes an event name and fields.
    metrics : Metrics
        Counts requests by outcome.
    """

    def __init__(
        self,
        *,
        node: EdgeNode,
        forwarder: Forwarder,
        dialect: TargetDialect,
        report: Callable[..., None],
        metrics: Metrics,
    ):
        self.node = node
        self.forwarder = forwarder
        self.dialect = dialect
        self.report = report
        self.metrics = metrics
        self.under_way = 0
        self.is_closing = False
        self._idle_since: dict = {}
        self._server: asyncio.Server | None = None
        self._web: web.Server | None = None

    @property
    def is_open(self) -> bool:
        """Whether callers can connect."""
        return self._server is not None and self._server.is_serving()

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        self._web = web.Server(
            self._serve,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=HEAD_BYTES,
            max_field_size=HEAD_BYTES,
            auto_decompress=False,
        )
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._web, host, int(port), backlog=512)

    async def stop(self, seconds: float) -> None:
        """Take no connection any more, finish what is under way, and close.

        Idle connections are closed first: what their callers send next reaches nobody, so they
        may send it elsewhere.
        """
        if self._server is None:
            return
        self._server.close()
        for connection in self._web.connections:
            if _is_idle(connection):
                connection.force_close()
        deadline = asyncio.get_running_loop().time() + seconds
        while self._is_busy() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)
        # The library's own shutdown waits for idle connections, too.
        for connection in self._web.connections:
            connection.force_close()

    def _is_busy(self) -> bool:
        return any(not _is_idle(item) for item in self._web.connections)

    def sweep(self, now: float) -> None:
        """Close connections that are idle for longer than the catalogue allows."""
        if self._web is None or self.node.catalogue is None:
            return
        limit = self.node.catalogue.limits.idle_seconds + IDLE_MARGIN_SECONDS
        idle = [item for item in self._web.connections if _is_idle(item)]
        self._idle_since = {item: self._idle_since.get(item, now) for item in idle}
        for connection, since in self._idle_since.items():
            if now - since > limit:
                connection.force_close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.under_way += 1
        self._idle_since.pop(request.protocol, None)
        try:
            response = await self._answer(request)
        finally:
            self.under_way -= 1
        if self.is_closing:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = asyncio.get_running_loop().time()
        node = self.node
        limits = node.catalogue.limits
        if _measure_head(request) > limits.maximum_header:
            return self._reject(431, "head-too-large")
        try:
            body = await _read_body(request, limits)
        except BodyTooLargeError:
            return self._reject(413, "body-too-large")
        matched = node.match(request.headers.get("Host", ""), request.raw_path)
        if matched is None:
            return self._reject(404, "no-route", version=node.version, path=request.raw_path)
        fields = self.dialect.read_caller_fields(request.raw_headers)
        content = _create_content(request, body, fields.identity)
        forward = _create_forward(arrived_at, matched, fields, content)
        node.record_request(arrived_at, matched.service)
        ended = await self.forwarder.run(forward, content)
        return self._finish(forward, fields.identity, ended)

    def _finish(
        self, forward: ForwardRequest, identity: bytes, ended: RespondWith | Refuse
    ) -> web.Response:
        seconds = asyncio.get_running_loop().time() - forward.arrived_at
        route = ("route", forward.route.name)
        self.metrics.observe("request_seconds", seconds, ("service", forward.service))
        if isinstance(ended, Refuse):
            self.metrics.count("requests_total", route, ("outcome", str(ended.reason)))
            self.report(
                "request_refused",
                request=forward.identity,
                route=forward.route.name,
                service=forward.service,
                reason=ended.reason,
                has_run=ended.has_run,
                version=self.node.version,
                candidates=self._describe_candidates(forward.service),
                waited_for=self._describe_waits(ended.waited_for),
                seconds=round(seconds, 4),
            )
            return self.dialect.create_refusal(ended, identity)
        answer = ended.answer
        self.metrics.count("requests_total", route, ("outcome", f"{answer.status // 100}xx"))
        self.report(
            "request_answered",
            request=forward.identity,
            route=forward.route.name,
            target=ended.target,
            status=answer.status,
            version=self.node.version,
            seconds=round(seconds, 4),
        )
        headers = CIMultiDict(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.dialect.filter_answer(answer.headers)
        )
        return web.Response(status=answer.status, headers=headers, body=answer.body)

    def _describe_candidates(self, service: str) -> str:
        """Return each usable target with its standing and what it holds."""
        now = asyncio.get_running_loop().time()
        described = []
        for item in self.node.targets.list_usable(service)[:MAXIMUM_DESCRIBED]:
            known = self.node.describe_target(now, item)
            described.append(f"{item.identity} {known['standing']} {known['held']}/{item.slots}")
        return ", ".join(described)

    def _describe_waits(self, waits: tuple[UnansweredAttempt, ...]) -> list[dict]:
        """Return what was believed of the targets that had not answered."""
        now = asyncio.get_running_loop().time()
        return [
            {
                "target": item.target.identity,
                "seconds": round(item.seconds, 3),
                "was_trusted": item.was_trusted,
                **self.node.describe_target(now, item.target),
            }
            for item in waits
        ]

    def _reject(self, status: int, reason: str, **fields) -> web.Response:
        self.metrics.count("requests_total", ("route", ""), ("outcome", reason))
        self.report("request_rejected", status=status, reason=reason, **fields)
        return self.dialect.create_error(status, reason)


def _is_idle(connection: web.RequestHandler) -> bool:
    """Tell whether a connection waits for the head of a request.

    The library does not say so; a request whose head was read is no longer waited for, even if
    its handler has not begun.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()


def _measure_head(request: web.BaseRequest) -> int:
    """Return the bytes of a request's fields with their separators."""
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def _create_content(request: web.BaseRequest, body: bytes, identity: bytes) -> Content:
    return Content(
        method=request.method.encode(),
        # Bytes that are no text come as surrogates, and leave as they came.
        path=request.raw_path.encode("utf-8", "surrogateescape"),
        headers=request.raw_headers,
        body=body,
        identity=identity,
        has_body=bool(body) or request.method in METHODS_WITH_BODY,
    )


def _create_forward(
    arrived_at: float, matched: RouteMatch, fields: CallerFields, content: Content
) -> ForwardRequest:
    patience = NO_PATIENCE if fields.patience is None else fields.patience - TRAVEL_SECONDS
    return ForwardRequest(
        identity=fields.identity.decode("latin-1"),
        route=matched.route,
        service=matched.service,
        arrived_at=arrived_at,
        deadline=arrived_at + min(patience, matched.route.timeout),
        digest=compute_short_digest(content.method, content.path, content.body),
        size=len(content.body),
    )


async def _read_body(request: web.BaseRequest, limits: CallerLimits) -> bytes:
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    body = bytearray()
    async for part in request.content.iter_any():
        body += part
        if len(body) > limits.maximum_body:
            raise BodyTooLargeError(f"the body exceeds {limits.maximum_body} bytes")
    return bytes(body)
