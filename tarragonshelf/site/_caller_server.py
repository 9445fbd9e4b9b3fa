"""HTTP server of an entry for callers."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from aiohttp import web
from multidict import CIMultiDict

from ..admission import Overload
from ..buffering import BufferBudget, compute_limits
from ..catalogue import CallerLimits, ClientAccount, RouteMatch
from ..edge import AllowanceDecided, EdgeNode
from ..forwarding import (
    ForwardRequest,
    RefusalReason,
    Refuse,
    RespondWith,
    UnansweredAttempt,
)
from ..serving import (
    MAXIMUM_REQUEST_LINE_BYTES,
    WRITE_BYTES,
    CallerConnection,
    CallerConnections,
    create_web_server,
    is_idle,
    write_in_parts,
)
from ..telemetry import Metrics
from ..transport import listen
from ..utils import compute_short_digest
from ._forwarder import Forwarder
from ._interfaces import CallerFields, HttpDialect, RawHeaders, RequestContent

# Used for a caller that states no deadline, so that the route's time-out applies.
NO_DEADLINE = float("inf")
# Subtracted from the caller's deadline, so that the response reaches the caller in time.
REPLY_MARGIN_SECONDS = 0.02
# Targets that one log line lists at most.
MAXIMUM_LOGGED_TARGETS = 16
# Idle connections are checked once per second, so their idle time is known to within 1 s.
IDLE_MARGIN_SECONDS = 1.0
# Time in which an entry usually finds another hub.
OUTDATED_RETRY_AFTER_SECONDS = 0.5
# A caller that was refused for lack of memory is told to come back when stalled bodies have lost
# their place.
NO_MEMORY_RETRY_AFTER_SECONDS = 2.0
# Bodies of at most this size are passed on as immutable copies.
COPIED_BODY_BYTES = 256 << 10
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH", "DELETE"})


class BodyTooLargeError(ValueError):
    """A request body exceeds the limit of the catalogue."""


class BodyRefusedError(Exception):
    """A request body does not fit into the memory of the process."""


class CallerServer:
    """Receives callers' requests, has them forwarded, and returns the responses.

    Parameters
    ----------
    node : EdgeNode
        Routes, targets and limits in force.
    forwarder : Forwarder
        Sends requests to targets.
    dialect : HttpDialect
        Reads and writes the platform's headers.
    report : callable
        Logs an event, given by its name and fields.
    metrics : Metrics
        Counts requests by outcome and measures their durations.
    request_allowance : callable
        Returns whether a request of a client account with some deadline is within its allowance.
    budget : BufferBudget, optional
        Bounds the memory and the connections of callers.
    """

    def __init__(
        self,
        *,
        node: EdgeNode,
        forwarder: Forwarder,
        dialect: HttpDialect,
        report: Callable[..., None],
        metrics: Metrics,
        request_allowance: Callable[[ClientAccount, float], Awaitable[AllowanceDecided]],
        budget: BufferBudget | None = None,
    ):
        self.node = node
        self.forwarder = forwarder
        self.dialect = dialect
        self.report = report
        self.metrics = metrics
        self.request_allowance = request_allowance
        self.in_flight = 0
        self.is_closing = False
        self._is_refusing = False
        self._idle_since: dict = {}
        self._listener: asyncio.Server | None = None
        self._web_server: web.Server | None = None
        self.connections = CallerConnections(
            budget or BufferBudget(compute_limits(None, 0, None)),
            self._get_limits,
            report=report,
            metrics=metrics,
        )

    def _get_limits(self) -> CallerLimits:
        return CallerLimits() if self.node.catalogue is None else self.node.catalogue.limits

    @property
    def is_open(self) -> bool:
        """Whether callers can connect."""
        return self._listener is not None and self._listener.is_serving()

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        self._web_server = create_web_server(self._serve, self.report, handler_cancellation=True)
        self._listener = await listen(
            address, lambda: CallerConnection(self.connections, self._web_server())
        )

    async def stop(self, seconds: float) -> None:
        """Stop accepting connections, wait for requests in flight, and close.

        Idle connections are closed first. A request that a caller sends on one of them after that
        was certainly not run, so the caller may send it to another entry. A request whose body is
        complete only now is refused, since it might not finish in time.

        Parameters
        ----------
        seconds : float
            How long to wait for requests in flight.
        """
        if self._listener is None:
            return
        self._is_refusing = True
        self._listener.close()
        for connection in self._web_server.connections:
            if is_idle(connection):
                connection.force_close()
        deadline = asyncio.get_running_loop().time() + seconds
        while self._is_busy() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)
        # aiohttp's own shutdown would also wait for idle connections.
        for connection in self._web_server.connections:
            connection.force_close()

    def _is_busy(self) -> bool:
        return any(not is_idle(item) for item in self._web_server.connections)

    def close_idle(self, now: float) -> None:
        """Close connections that exceed the time-outs of the catalogue."""
        self.connections.check(now, IDLE_MARGIN_SECONDS)
        if self._web_server is None or self.node.catalogue is None:
            return
        limit = self.node.catalogue.limits.idle_seconds + IDLE_MARGIN_SECONDS
        idle = [item for item in self._web_server.connections if is_idle(item)]
        self._idle_since = {item: self._idle_since.get(item, now) for item in idle}
        for connection, since in self._idle_since.items():
            if now - since > limit:
                connection.force_close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            # The caller has disconnected, so nobody receives this.
            return self.dialect.create_error(503, "disconnected")
        self.in_flight += 1
        self._idle_since.pop(request.protocol, None)
        connection = transport.connection
        connection.begin(request.content)
        response_bytes = 0
        try:
            response = await self._respond(request, connection)
            if self.is_closing or not request.content.is_eof():
                response.force_close()
            response_bytes = response.content_length or 0
            if response_bytes > WRITE_BYTES:
                response = await write_in_parts(request, response, connection)
                response_bytes = 0
        finally:
            self.in_flight -= 1
            connection.end(response_bytes)
        return response

    async def _respond(
        self, request: web.BaseRequest, connection: CallerConnection
    ) -> web.StreamResponse:
        arrived_at = asyncio.get_running_loop().time()
        node = self.node
        limits = node.catalogue.limits
        if _measure_head(request) > limits.maximum_header:
            return self._reject(431, "head-too-large")
        if len(request.raw_path) > MAXIMUM_REQUEST_LINE_BYTES:
            return self._reject(414, "path-too-long")
        # A request that was read in full before the server stopped is still forwarded.
        has_waited = not request.content.is_eof()
        try:
            body = await _read_body(request, connection, limits)
        except BodyTooLargeError:
            return self._reject(413, "body-too-large")
        except BodyRefusedError:
            return self._refuse_for_memory(request)
        connection.begin_running()
        fields = self.dialect.read_caller_fields(request.raw_headers)
        matched = node.match(request.headers.get("Host", ""), request.raw_path)
        if matched is None:
            return self._reject_unknown(
                arrived_at, 404, "no-route", request.raw_path, fields.request_id
            )
        authentication = node.active.authenticate(matched.route, fields.key_digest)
        if not authentication.is_accepted:
            return self._reject_unknown(
                arrived_at, 401, "unknown-key", request.raw_path, fields.request_id
            )
        problem = self.dialect.find_request_problem(request.method, request.raw_headers)
        if problem is not None:
            return self._reject(problem.status, problem.reason)
        account = authentication.account.name if authentication.account else ""
        headers = self.dialect.filter_request_headers(request.raw_headers)
        if node.active.needs_keys:
            headers = self.dialect.replace_credentials(headers, account)
        content = _create_content(request, headers, body, fields.request_id)
        forward_request = _create_forward_request(arrived_at, matched, fields, content, account)
        if authentication.account is not None and authentication.account.rate > 0.0:
            decided = await self.request_allowance(
                authentication.account, forward_request.deadline
            )
            self._count_allowance(decided)
            if not decided.is_granted:
                return self._refuse_allowance(forward_request, fields.request_id, decided)
        node.record_request(arrived_at, matched.service)
        if self._is_refusing and has_waited:
            retry_after = node.compute_retry_after(arrived_at, matched.service)
            result = Refuse(RefusalReason.STOPPING, has_run=False, retry_after=retry_after)
        else:
            result = await self.forwarder.forward(forward_request, content)
        return self._finish_request(forward_request, fields.request_id, result)

    def _count_allowance(self, decided: AllowanceDecided) -> None:
        outcome = "granted" if decided.is_granted else "refused"
        self.metrics.count(
            "allowance_decisions", ("decider", decided.decider), ("outcome", outcome)
        )

    def _refuse_allowance(
        self, forward_request: ForwardRequest, request_id: bytes, decided: AllowanceDecided
    ) -> web.Response:
        """Refuse a request beyond the allowance of its account.

        It does not count for the retry budget of its service, and no target is described: under
        a flood these are most requests.
        """
        reason = RefusalReason.OVER_ALLOWANCE
        route = forward_request.route.name
        failures = self.node.balancer.floor.failures
        failures.record_request(forward_request.arrived_at, forward_request.service)
        failures.record_refusal(forward_request.arrived_at, forward_request.service)
        self.metrics.count("requests_total", ("route", route), ("outcome", str(reason)))
        self.report(
            "allowance_refused",
            request=forward_request.identity,
            account=forward_request.account,
            route=route,
            decider=decided.decider,
            age=None if math.isinf(decided.age) else round(decided.age, 3),
            retry_after=round(decided.retry_after, 3),
            version=self.node.version,
        )
        refuse = Refuse(reason, has_run=False, retry_after=decided.retry_after)
        return self.dialect.create_refusal(refuse, request_id)

    def _refuse_for_memory(self, request: web.BaseRequest) -> web.Response:
        """Refuse a request whose body was not received in full, so that it cannot have run."""
        request_id = self.dialect.read_caller_fields(request.raw_headers).request_id
        refuse = Refuse(
            RefusalReason.NO_MEMORY, has_run=False, retry_after=NO_MEMORY_RETRY_AFTER_SECONDS
        )
        self.metrics.count("caller_refusals_total", ("reason", str(refuse.reason)))
        budget = self.connections.budget
        self._record_rejection(
            503,
            refuse.reason,
            request=request_id.decode("latin-1"),
            size=request.content_length,
            held_bytes=budget.held_bytes,
            maximum_bytes=budget.limits.maximum_bytes,
        )
        return self.dialect.create_refusal(refuse, request_id)

    def _finish_request(
        self, forward_request: ForwardRequest, request_id: bytes, result: RespondWith | Refuse
    ) -> web.Response:
        seconds = asyncio.get_running_loop().time() - forward_request.arrived_at
        route = ("route", forward_request.route.name)
        account = {"account": forward_request.account} if forward_request.account else {}
        self.metrics.observe("request_seconds", seconds, ("service", forward_request.service))
        hedge = {}
        if result.hedge is not None:
            hedge = {"hedge": result.hedge.outcome, "hedge_denial": result.hedge.denial}
            service = ("service", forward_request.service)
            self.metrics.count("hedges_total", service, ("outcome", str(result.hedge.outcome)))
        if isinstance(result, Refuse):
            self.metrics.count("requests_total", route, ("outcome", str(result.reason)))
            overload = self._describe_overload(forward_request.service, result.overload)
            self.report(
                "request_refused",
                request=forward_request.identity,
                route=forward_request.route.name,
                service=forward_request.service,
                reason=result.reason,
                has_run=result.has_run,
                retry_after=round(result.retry_after, 3),
                version=self.node.version,
                candidates=self._describe_candidates(forward_request.service),
                waited_for=self._describe_unanswered(result.waited_for),
                seconds=round(seconds, 4),
                **account,
                **overload,
                **hedge,
            )
            return self.dialect.create_refusal(result, request_id)
        response = result.answer
        self.metrics.count("requests_total", route, ("outcome", f"{response.status // 100}xx"))
        self.report(
            "request_answered",
            request=forward_request.identity,
            route=forward_request.route.name,
            target=result.target,
            status=response.status,
            attempt=result.attempt,
            version=self.node.version,
            seconds=round(seconds, 4),
            **account,
            **hedge,
        )
        headers = CIMultiDict(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.dialect.filter_response_headers(response.headers)
        )
        return web.Response(status=response.status, headers=headers, body=response.body)

    def _describe_overload(self, service: str, overload: Overload | None) -> dict:
        """Count a refusal by admission and return its fields of the log event."""
        if overload is None:
            return {}
        now = asyncio.get_running_loop().time()
        self.node.balancer.floor.failures.record_refusal(now, service)
        labels = ("service", service), ("rank", str(overload.rank))
        self.metrics.count("admission_refusals", *labels)
        return {
            "rank": overload.rank,
            "cause": overload.cause,
            "load": round(overload.level, 3),
            "load_age": round(overload.age, 3),
        }

    def _describe_candidates(self, service: str) -> str:
        """Return the standing, outstanding requests and slots of each usable target."""
        now = asyncio.get_running_loop().time()
        descriptions = []
        for item in self.node.targets.list_usable(service)[:MAXIMUM_LOGGED_TARGETS]:
            description = self.node.describe_target(now, item)
            limit = "" if description["limit"] is None else f" limit {description['limit']:g}/s"
            pause = f" pause {description['pause']:g}s" if description["pause"] else ""
            descriptions.append(
                f"{item.identity} {description['standing']} "
                f"{description['held']}/{item.slots}{limit}{pause}"
            )
        return ", ".join(descriptions)

    def _describe_unanswered(self, unanswered: tuple[UnansweredAttempt, ...]) -> list[dict]:
        """Return the state of each target that had not responded when the request was refused."""
        now = asyncio.get_running_loop().time()
        return [
            {
                "target": item.target.identity,
                "seconds": round(item.seconds, 3),
                "was_trusted": item.was_trusted,
                **self.node.describe_target(now, item.target),
            }
            for item in unanswered
        ]

    def _reject_unknown(
        self, now: float, status: int, reason: str, path: str, request_id: bytes
    ) -> web.Response:
        """Reject a request whose route or key is unknown.

        It is refused instead if a newer catalogue may contain the route or the key.
        """
        fields = {
            "request": request_id.decode("latin-1"),
            "version": self.node.version,
            "path": path,
            **self.node.hubs.describe(now),
        }
        if not self.node.may_lack_version(now):
            return self._reject(status, reason, **fields)
        reason = RefusalReason.OUTDATED
        self._record_rejection(503, reason, **fields)
        refuse = Refuse(reason, has_run=False, retry_after=OUTDATED_RETRY_AFTER_SECONDS)
        return self.dialect.create_refusal(refuse, request_id)

    def _reject(self, status: int, reason: str, **fields) -> web.Response:
        self._record_rejection(status, reason, **fields)
        return self.dialect.create_error(status, reason)

    def _record_rejection(self, status: int, reason: str, **fields) -> None:
        self.metrics.count("requests_total", ("route", ""), ("outcome", reason))
        self.report("request_rejected", status=status, reason=reason, **fields)


def _measure_head(request: web.BaseRequest) -> int:
    """Return the size of a request's header fields with their separators, in bytes."""
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def _create_content(
    request: web.BaseRequest, headers: RawHeaders, body: bytes, request_id: bytes
) -> RequestContent:
    return RequestContent(
        method=request.method.encode(),
        # aiohttp decodes bytes that are not UTF-8 as surrogates; this restores the original bytes.
        path=request.raw_path.encode("utf-8", "surrogateescape"),
        host=request.headers.get("Host", ""),
        headers=headers,
        body=body,
        request_id=request_id,
        has_body=bool(body) or request.method in METHODS_WITH_BODY,
    )


def _create_forward_request(
    arrived_at: float,
    matched: RouteMatch,
    fields: CallerFields,
    content: RequestContent,
    account: str,
) -> ForwardRequest:
    remaining_seconds = (
        NO_DEADLINE
        if fields.remaining_seconds is None
        else fields.remaining_seconds - REPLY_MARGIN_SECONDS
    )
    return ForwardRequest(
        identity=fields.request_id.decode("latin-1"),
        route=matched.route,
        service=matched.service,
        arrived_at=arrived_at,
        deadline=arrived_at + min(remaining_seconds, matched.route.timeout),
        digest=compute_short_digest(content.method, content.path, content.body),
        size=len(content.body),
        account=account,
    )


async def _read_body(
    request: web.BaseRequest, connection: CallerConnection, limits: CallerLimits
) -> bytes | bytearray:
    declared = request.content_length or 0
    if declared > limits.maximum_body:
        raise BodyTooLargeError(f"the body exceeds {limits.maximum_body} bytes")
    if declared and not connection.reserve_body(declared):
        raise BodyRefusedError("the body does not fit into the memory")
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    body = bytearray()
    async for part in request.content.iter_any():
        if connection.is_refused:
            raise BodyRefusedError("the body does not fit into the memory")
        body += part
        if len(body) > limits.maximum_body:
            raise BodyTooLargeError(f"the body exceeds {limits.maximum_body} bytes")
    # A large body is not copied: both copies together may not fit into the memory.
    return body if len(body) > COPIED_BODY_BYTES else bytes(body)
