"""HTTP server for callers' requests and targets' announcements."""

import asyncio
import json
from time import time_ns

from aiohttp import web
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError
from yarl import URL

from ..entry import ANONYMOUS, AdmittedRequest, EntryNode, RequestAdmission, RequestHead
from ..execution import ExecutionOutcome, Reject, Request, Respond
from ..limits import AdmissionController
from ..membership import Announcement
from ..serving import CallerConnections, HttpServer
from ..utils import compute_digest
from ._runner import RequestRunner
from ._upstream import filter_headers

OUTCOME_HEADER = "Tarragonshelf-Outcome"
ANNOUNCEMENT = TypeAdapter(Announcement)
MAXIMUM_ANNOUNCEMENT_BYTES = 8192
# Stalled requests have lost their place by then.
NO_MEMORY_RETRY_AFTER_SECONDS = 2.0
# Records of targets that have left are kept for minutes.
TARGET_RETRY_AFTER_SECONDS = 10.0
# Longer deadlines, in milliseconds, are ignored.
MAXIMUM_DEADLINE_DIGITS = 15
NO_BODY = Ok(b"")


class CallerServer:
    """Serves callers' requests, lists of entries, and announcements of targets.

    Parameters
    ----------
    node : EntryNode
        The state of the entry.
    runner : RequestRunner
        Runs admitted requests.
    execute_effects : callable
        Executes effects of the node.
    report : callable
        Called with an event name and fields.
    metrics : Metrics
        Counts requests and their durations.
    maximum_body : int
        Maximum size of a request's body in bytes.
    maximum_requests : int
        Maximum number of concurrent requests.
    body_seconds : float
        Time limit for reading a request's body.
    connections : CallerConnections
        Bounds the memory and the connections of callers.
    """

    def __init__(
        self,
        *,
        node: EntryNode,
        runner: RequestRunner,
        execute_effects,
        report,
        metrics,
        maximum_body: int,
        maximum_requests: int,
        body_seconds: float,
        connections: CallerConnections,
    ):
        self.node = node
        self.runner = runner
        self.execute_effects = execute_effects
        self.report = report
        self.metrics = metrics
        self.connections = connections
        self.body_seconds = body_seconds
        self.maximum_body = maximum_body
        self.request_admission = RequestAdmission(node, maximum_body=maximum_body)
        self.admission_controller = AdmissionController(capacity=maximum_requests)
        self._last_number = 0
        self._order_tasks: set[asyncio.Task] = set()
        self._server = HttpServer(
            self._handle,
            connections,
            handler_cancellation=True,
            create_refusal=_create_memory_refusal,
        )

    @property
    def under_way(self) -> int:
        """Number of requests that were admitted and are not finished."""
        return self.admission_controller.under_way

    async def start(self, address: str) -> None:
        """Start listening on ``HOST:PORT``."""
        await self._server.start(address)

    async def stop(self, timeout: float) -> None:
        """Stop accepting connections, and wait at most ``timeout`` seconds for open requests."""
        self._server.close()
        deadline = _read_time() + timeout
        while (self.under_way or self._order_tasks) and _read_time() < deadline:
            await asyncio.sleep(0.02)
        await self._server.stop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/entries" and request.method == "GET":
            return self._handle_entries(request)
        if request.path == "/announcements" and request.method == "POST":
            return await self._handle_announcement(request)
        started_at = _read_time()
        try:
            response = await self._serve_request(request, started_at)
        except Exception as error:
            self.report("request_failed", problem=repr(error))
            reason = "this entry failed on the request"
            response = _create_rejection(Reject(500, ExecutionOutcome.UNKNOWN, reason))
        if self.node.is_stopping:
            # A persistent connection would break when the process exits.
            response.force_close()
        outcome = ("outcome", response.headers.get(OUTCOME_HEADER, ""))
        self.metrics.count("requests_total", outcome, ("status", str(response.status)))
        self.metrics.observe("request_seconds", _read_time() - started_at, outcome)
        return response

    def _handle_entries(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        addresses = self.node.list_addresses(query.get("caller", ""), query.get("data_centre", ""))
        document = self.node.document
        ttl = document.address_ttl_seconds if document else 1.0
        return web.json_response({"addresses": addresses, "ttl": ttl})

    async def _handle_announcement(self, request: web.BaseRequest) -> web.Response:
        body = await self._read_body(request, MAXIMUM_ANNOUNCEMENT_BYTES)
        if body.is_error():
            return _create_rejection(body.error)
        try:
            announcement = ANNOUNCEMENT.validate_json(body.ok)
        except ValidationError as error:
            problems = [f"{item['loc']}: {item['msg']}" for item in error.errors()]
            return web.json_response({"findings": problems}, status=400)
        if not self.node.has_room_for(announcement.address):
            return self._refuse_target(announcement)
        self.execute_effects(self.node.handle(_read_time(), announcement))
        known = self.node.gossip.targets.get_record(announcement.address)
        incarnation = known.incarnation if known else announcement.incarnation
        return web.json_response({"registrar": self.node.own_vm, "incarnation": incarnation})

    def _refuse_target(self, announcement: Announcement) -> web.Response:
        maximum = self.node.maximum_targets
        self.report("target_refused", target=announcement.address, maximum=maximum)
        reason = f"there are {maximum} targets already"
        retry_after = TARGET_RETRY_AFTER_SECONDS
        return _create_rejection(Reject(503, ExecutionOutcome.NOT_RUN, reason, retry_after))

    async def _serve_request(self, request: web.BaseRequest, now: float) -> web.Response:
        head = _read_head(request)
        admission = self.request_admission.check(now, head)
        if admission.is_error():
            return self._reject_early(request, admission.error)
        admitted = admission.ok
        if not self.admission_controller.admit(admitted.priority):
            reason = "this entry has too many requests under way"
            return self._reject_early(request, Reject(503, ExecutionOutcome.NOT_RUN, reason, 1.0))
        is_order_started = False
        try:
            body = await self._read_body(request, self.maximum_body)
            if body.is_error():
                return self._reject_early(request, body.error)
            coroutine = self._run(request, head, admitted, body.ok, now)
            if not admitted.route.not_repeatable:
                return self._respond(request, await coroutine)
            # An order runs to completion even if its caller disconnects.
            task = asyncio.get_running_loop().create_task(coroutine)
            is_order_started = True
            self._order_tasks.add(task)
            task.add_done_callback(self._finish_order)
            try:
                return self._respond(request, await asyncio.shield(task))
            except asyncio.CancelledError:
                self._keep_counting(task, len(body.ok))
                raise
        finally:
            if not is_order_started:
                self.admission_controller.release()

    def _keep_counting(self, task: asyncio.Task, size: int) -> None:
        """Count the body of an order whose caller has disconnected until the order ends."""
        budget = self.connections.budget
        budget.hold(size)
        task.add_done_callback(lambda _: budget.release_response(size))

    def _finish_order(self, task: asyncio.Task) -> None:
        self._order_tasks.discard(task)
        self.admission_controller.release()
        if not task.cancelled() and task.exception() is not None:
            self.report("request_failed", problem=repr(task.exception()))

    async def _run(
        self,
        request: web.BaseRequest,
        head: RequestHead,
        admitted: AdmittedRequest,
        body: bytes,
        now: float,
    ) -> Respond | Reject:
        self._last_number += 1
        path = _get_target(request)
        full_request = Request(
            number=self._last_number,
            method=request.method,
            path=path,
            account=head.account,
            key=head.key,
            digest=compute_digest(request.method.encode(), path.encode(), body),
            route=admitted.route,
            service=admitted.service,
            deadline=now + admitted.seconds,
        )
        headers = filter_headers(request.headers)
        result = await self.runner.run(full_request, headers, body)
        status = result.answer.status if isinstance(result, Respond) else result.status
        self.report(
            "request_answered",
            request=full_request.number,
            service=admitted.service.name,
            route=admitted.route.name,
            key=head.key,
            status=status,
            outcome=str(result.outcome),
        )
        return result

    def _respond(self, request: web.BaseRequest, result: Respond | Reject) -> web.Response:
        """Return the HTTP response; with status 503 it lists other entries to try."""
        if isinstance(result, Respond):
            return _create_response(result)
        response = _create_rejection(result)
        if result.status == 503:
            caller = _read_head(request).account
            addresses = self.node.list_addresses(caller, self.node.own.data_centre)
            others = [item for item in addresses if item != self.node.own.http]
            response.headers["Tarragonshelf-Entries"] = ", ".join(others)
        return response

    def _reject_early(self, request: web.BaseRequest, reject: Reject) -> web.Response:
        response = self._respond(request, reject)
        if not request.content.at_eof():
            # The unread rest of the body must not be parsed as the next request.
            response.force_close()
        return response

    async def _read_body(self, request: web.BaseRequest, limit: int) -> Result[bytes, Reject]:
        if not request.can_read_body:
            return NO_BODY
        body = bytearray()
        try:
            async with asyncio.timeout(self.body_seconds):
                async for part in request.content.iter_any():
                    body += part
                    if len(body) > limit:
                        return self.request_admission.refuse_body(len(body))
        except TimeoutError:
            reason = f"the body did not arrive within {self.body_seconds} s"
            return Error(Reject(408, ExecutionOutcome.NOT_RUN, reason))
        return Ok(bytes(body))


def _read_head(request: web.BaseRequest) -> RequestHead:
    headers = request.headers
    deadline = headers.get("Tarragonshelf-Deadline", "")
    has_deadline = deadline.isdecimal() and len(deadline) <= MAXIMUM_DEADLINE_DIGITS
    # aiohttp decodes bytes that are not UTF-8 as surrogates, which cannot be encoded again.
    account = headers.get("Tarragonshelf-Account", ANONYMOUS)
    return RequestHead(
        method=request.method,
        path=request.path,
        account=account.encode("utf-8", "surrogateescape").decode("utf-8", "replace"),
        key=headers.get("Idempotency-Key", ""),
        deadline=int(deadline) / 1000 if has_deadline else None,
        size=request.content_length,
    )


def _get_target(request: web.BaseRequest) -> str:
    """Return the path and query of a request as they were sent, also of an absolute URL."""
    target = request.raw_path
    return target if target.startswith("/") else URL(target, encoded=True).raw_path_qs


def _create_response(result: Respond) -> web.Response:
    answer = result.answer
    response = web.Response(status=answer.status)
    for header in answer.headers:
        response.headers.add(header.name, header.value)
    response.headers[OUTCOME_HEADER] = str(result.outcome)
    if answer.is_truncated:
        response.headers["Tarragonshelf-Body"] = f"digest={answer.body.decode()}"
    else:
        response.body = answer.body
    return response


def _create_rejection(reject: Reject) -> web.Response:
    text = json.dumps({"outcome": str(reject.outcome), "reason": reject.reason})
    response = web.Response(status=reject.status, text=text, content_type="application/json")
    response.headers[OUTCOME_HEADER] = str(reject.outcome)
    if reject.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, round(reject.retry_after)))
    return response


def _create_memory_refusal() -> web.Response:
    reason = "this entry has no memory for the request"
    return _create_rejection(
        Reject(503, ExecutionOutcome.NOT_RUN, reason, NO_MEMORY_RETRY_AFTER_SECONDS)
    )


def _read_time() -> float:
    return asyncio.get_running_loop().time()


def create_incarnation() -> int:
    """Return an incarnation that a later start exceeds: milliseconds since the epoch."""
    return time_ns() // 1_000_000
