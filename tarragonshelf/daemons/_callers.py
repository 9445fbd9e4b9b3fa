"""The port that callers and targets use."""

import asyncio
import json
from time import time_ns

from aiohttp import web
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from ..entry import ANONYMOUS, AdmittedRequest, EntryNode, RequestAdmission, RequestHead
from ..execution import ExecutionOutcome, Reject, Request, Respond
from ..limits import AdmissionController
from ..membership import Announcement
from ..utils import compute_digest
from ._runner import RequestRunner
from ._upstream import filter_request_headers

OUTCOME_HEADER = "Tarragonshelf-Outcome"
ANNOUNCEMENT = TypeAdapter(Announcement)
MAXIMUM_ANNOUNCEMENT_BYTES = 8192
NO_BODY = Ok(b"")


class CallerServer:
    """Serves callers and takes targets' announcements.

    Parameters
    ----------
    node : EntryNode
        What the entry knows.
    runner : RequestRunner
        Runs requests.
    carry_out : callable
        Carries out effects of the node.
    report, metrics
        Take events and figures.
    """

    def __init__(
        self,
        *,
        node: EntryNode,
        runner: RequestRunner,
        carry_out,
        report,
        metrics,
        maximum_body: int,
        maximum_requests: int,
        body_seconds: float,
    ):
        self.node = node
        self.runner = runner
        self.carry_out = carry_out
        self.report = report
        self.metrics = metrics
        self.body_seconds = body_seconds
        self.maximum_body = maximum_body
        self.intake = RequestAdmission(node, maximum_body=maximum_body)
        self.admission = AdmissionController(capacity=maximum_requests)
        self._number = 0
        self._orders: set[asyncio.Task] = set()
        self._runner: web.ServerRunner | None = None

    @property
    def under_way(self) -> int:
        """How many requests were let in and are not answered yet."""
        return self.admission.under_way

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        server = web.Server(
            self._handle, handler_cancellation=True, auto_decompress=False, access_log=None
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), backlog=1024).start()

    async def stop(self, timeout: float) -> None:
        """Stop accepting, and finish what is under way within ``timeout`` seconds."""
        if self._runner is None:
            return
        for site in list(self._runner.sites):
            await site.stop()
        deadline = _read_time() + timeout
        while (self.under_way or self._orders) and _read_time() < deadline:
            await asyncio.sleep(0.02)
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/entries" and request.method == "GET":
            return self._answer_entries(request)
        if request.path == "/announcements" and request.method == "POST":
            return await self._take_announcement(request)
        started_at = _read_time()
        try:
            response = await self._serve(request, started_at)
        except Exception as error:
            self.report("request_failed", problem=repr(error))
            reason = "this entry failed on the request"
            response = _reject(Reject(500, ExecutionOutcome.UNKNOWN, reason))
        if self.node.is_stopping:
            # A connection that is kept would be cut as the process ends.
            response.force_close()
        outcome = ("outcome", response.headers.get(OUTCOME_HEADER, ""))
        self.metrics.count("requests_total", outcome, ("status", str(response.status)))
        self.metrics.observe("request_seconds", _read_time() - started_at, outcome)
        return response

    def _answer_entries(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        addresses = self.node.list_addresses(query.get("caller", ""), query.get("data_centre", ""))
        document = self.node.document
        ttl = document.address_ttl_seconds if document else 1.0
        return web.json_response({"addresses": addresses, "ttl": ttl})

    async def _take_announcement(self, request: web.BaseRequest) -> web.Response:
        body = await self._read_body(request, MAXIMUM_ANNOUNCEMENT_BYTES)
        if body.is_error():
            return _reject(body.error)
        try:
            announcement = ANNOUNCEMENT.validate_json(body.ok)
        except ValidationError as error:
            problems = [f"{item['loc']}: {item['msg']}" for item in error.errors()]
            return web.json_response({"findings": problems}, status=400)
        self.carry_out(self.node.handle(_read_time(), announcement))
        known = self.node.gossip.targets.get_record(announcement.address)
        incarnation = known.incarnation if known else announcement.incarnation
        return web.json_response({"registrar": self.node.own_vm, "incarnation": incarnation})

    async def _serve(self, request: web.BaseRequest, now: float) -> web.Response:
        head = _read_head(request)
        checked = self.intake.check(now, head)
        if checked.is_error():
            return self._finish_early(request, checked.error)
        admitted = checked.ok
        if not self.admission.admit(admitted.priority):
            reason = "this entry has too many requests under way"
            return self._finish_early(request, Reject(503, ExecutionOutcome.NOT_RUN, reason, 1.0))
        is_handed_over = False
        try:
            body = await self._read_body(request, self.maximum_body)
            if body.is_error():
                return self._finish_early(request, body.error)
            work = self._run(request, head, admitted, body.ok, now)
            if not admitted.route.not_repeatable:
                return self._respond(request, await work)
            # An order goes on to its end, also when its caller is gone.
            task = asyncio.get_running_loop().create_task(work)
            is_handed_over = True
            self._orders.add(task)
            task.add_done_callback(self._end_order)
            return self._respond(request, await asyncio.shield(task))
        finally:
            if not is_handed_over:
                self.admission.release()

    def _end_order(self, task: asyncio.Task) -> None:
        self._orders.discard(task)
        self.admission.release()
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
        self._number += 1
        path = request.raw_path
        whole = Request(
            number=self._number,
            method=request.method,
            path=path,
            account=head.account,
            key=head.key,
            digest=compute_digest(request.method.encode(), path.encode(), body),
            route=admitted.route,
            service=admitted.service,
            deadline=now + admitted.seconds,
        )
        headers = filter_request_headers(request.headers)
        ended = await self.runner.run(whole, headers, body)
        status = ended.answer.status if isinstance(ended, Respond) else ended.status
        self.report(
            "request_answered",
            request=whole.number,
            service=admitted.service.name,
            route=admitted.route.name,
            key=head.key,
            status=status,
            outcome=str(ended.outcome),
        )
        return ended

    def _respond(self, request: web.BaseRequest, ended: Respond | Reject) -> web.Response:
        """Create the answer; one that cannot be served here names other entries."""
        if isinstance(ended, Respond):
            return _create_response(ended)
        response = _reject(ended)
        if ended.status == 503:
            caller = request.headers.get("Tarragonshelf-Account", ANONYMOUS)
            addresses = self.node.list_addresses(caller, self.node.own.data_centre)
            others = [item for item in addresses if item != self.node.own.http]
            response.headers["Tarragonshelf-Entries"] = ", ".join(others)
        return response

    def _finish_early(self, request: web.BaseRequest, reject: Reject) -> web.Response:
        response = self._respond(request, reject)
        if not request.content.at_eof():
            # What the caller still sends must not be read as its next request.
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
                        return self.intake.refuse_body(len(body))
        except TimeoutError:
            reason = f"the body did not arrive within {self.body_seconds} s"
            return Error(Reject(408, ExecutionOutcome.NOT_RUN, reason))
        return Ok(bytes(body))


def _read_head(request: web.BaseRequest) -> RequestHead:
    headers = request.headers
    deadline = headers.get("Tarragonshelf-Deadline", "")
    return RequestHead(
        method=request.method,
        path=request.path,
        account=headers.get("Tarragonshelf-Account", ANONYMOUS),
        key=headers.get("Idempotency-Key", ""),
        deadline=int(deadline) / 1000 if deadline.isdecimal() else None,
        size=request.content_length,
    )


def _create_response(ended: Respond) -> web.Response:
    answer = ended.answer
    response = web.Response(status=answer.status)
    for header in answer.headers:
        response.headers.add(header.name, header.value)
    response.headers[OUTCOME_HEADER] = str(ended.outcome)
    if answer.is_truncated:
        response.headers["Tarragonshelf-Body"] = f"digest={answer.body.decode()}"
    else:
        response.body = answer.body
    return response


def _reject(reject: Reject) -> web.Response:
    text = json.dumps({"outcome": str(reject.outcome), "reason": reject.reason})
    response = web.Response(status=reject.status, text=text, content_type="application/json")
    response.headers[OUTCOME_HEADER] = str(reject.outcome)
    if reject.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, round(reject.retry_after)))
    return response


def _read_time() -> float:
    return asyncio.get_running_loop().time()


def read_incarnation() -> int:
    """Return an incarnation that a later start exceeds, in milliseconds."""
    return time_ns() // 1_000_000
