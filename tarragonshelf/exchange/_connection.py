"""Connection to a target that carries one request at a time."""

import asyncio
from collections.abc import Callable

import h11

from ..buffering import (
    LARGE_READ_BYTES,
    SMALL_READ_BYTES,
    BufferBudget,
    Reservation,
    choose_read_size,
    exceeds_framing_allowance,
)
from ..forwarding import AttemptOutcome, TargetAnswer
from ..transport import set_user_timeout
from ._validity import find_malformed_fields, find_malformed_framing, find_malformed_head
from .base import ResponseDialect

MAXIMUM_HEAD_BYTES = 64 << 10
# Limits for one response and for all unfinished responses of the process, so that a faulty target
# that sends without end cannot exhaust the memory.
MAXIMUM_RESPONSE_BYTES = 16 << 20
MAXIMUM_BUFFERED_BYTES = 64 << 20
# Bodies are written in parts of this size when the socket can take them, so that the transport
# holds no second copy of a large one.
WRITE_BYTES = 256 << 10
# Interim responses, and responses to earlier requests, that are skipped before the expected one.
MAXIMUM_SKIPPED_RESPONSES = 8


class ExchangeFailedError(Exception):
    """A request was sent at least in part, and no valid response to it was received.

    ``head`` holds status and headers of an incomplete or unusable response to the request, if
    there is one.
    """

    def __init__(self, outcome: AttemptOutcome, reason: str, head: TargetAnswer | None = None):
        super().__init__(reason)
        self.outcome = outcome
        self.head = head


class ResponseBufferQuota:
    """Limits the bytes of unfinished responses that the process buffers.

    Parameters
    ----------
    budget : BufferBudget, optional
        Bounds them together with all other bytes that are held for callers.
    close_evicted : callable, optional
        Closes the connections that lose their place for a response.
    """

    def __init__(
        self,
        budget: BufferBudget | None = None,
        close_evicted: Callable[[Reservation], None] = lambda reservation: None,
    ):
        self.budget = budget
        self.close_evicted = close_evicted
        self.reserved_bytes = 0
        # Shared by all connections, as each read is copied before the next one begins.
        self.read_buffer = memoryview(bytearray(LARGE_READ_BYTES))

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False, and reserve none, if that would exceed the limit."""
        if self.reserved_bytes + size > MAXIMUM_BUFFERED_BYTES:
            return False
        if self.budget is not None:
            now = asyncio.get_running_loop().time()
            reservation = self.budget.reserve_response(now, size)
            self.close_evicted(reservation)
            if not reservation.is_granted:
                return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back bytes that were reserved."""
        self.reserved_bytes -= size
        if self.budget is not None:
            self.budget.release_response(size)


class TargetConnection(asyncio.BufferedProtocol):
    """Sends requests and accepts only complete responses that belong to them.

    Parameters
    ----------
    dialect : ResponseDialect
        Decides which request a response belongs to and whether it is valid.
    buffer_quota : ResponseBufferQuota
        Limits the memory for unfinished responses on all connections together.

    Notes
    -----
    Bytes that arrive while no request is outstanding close the connection. A response to another
    request is skipped as a late duplicate. A body without a declared length is complete only if
    the target ends the stream with FIN; after a reset the exchange fails. On a connection that
    carried an earlier request, a response counts only if it names the present one: a refusal that
    is sent once more would otherwise prove that a request did not run which does.
    """

    def __init__(self, dialect: ResponseDialect, buffer_quota: ResponseBufferQuota):
        self.dialect = dialect
        self.buffer_quota = buffer_quota
        self.is_reusable = False
        self.idle_seconds = 0.0
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: h11.Connection | None = None
        self._pending_response: asyncio.Future | None = None
        self._request: h11.Request | None = None
        self._request_id = b""
        self._response_head: h11.Response | None = None
        self._has_history = False
        self._body = bytearray()
        self._skipped_responses = 0
        # Bytes of the response as they were received, and the size of the next read.
        self._received = 0
        self._read_size = SMALL_READ_BYTES
        # Pending while the transport wants no more to write.
        self._can_write: asyncio.Future | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    async def exchange(self, request: h11.Request, body: bytes, request_id: bytes) -> TargetAnswer:
        """Send a request and return the complete response to it.

        Raises
        ------
        ExchangeFailedError
            If the connection breaks first, or the response is invalid.
        """
        self._request, self._request_id = request, request_id
        self.is_reusable = False
        self._skipped_responses = 0
        self._reset_parser()
        self._pending_response = asyncio.get_running_loop().create_future()
        content = self._parser.send(request)
        try:
            if len(body) > WRITE_BYTES:
                self._transport.write(content)
                await self._write_body(body)
            else:
                if body:
                    content += self._parser.send(h11.Data(data=body))
                self._transport.write(content + self._parser.send(h11.EndOfMessage()))
            return await self._pending_response
        finally:
            self._pending_response = None
            self._has_history = True
            self._release_body()

    async def _write_body(self, body: bytes) -> None:
        """Write a body as the target takes it, until it ends the exchange."""
        parts = memoryview(body)
        for at in range(0, len(parts), WRITE_BYTES):
            while self._can_write is not None and not self._pending_response.done():
                pending = {self._can_write, self._pending_response}
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if self._pending_response.done():
                return
            part = h11.Data(data=parts[at : at + WRITE_BYTES])
            for item in self._parser.send_with_data_passthrough(part):
                self._transport.write(item)
        self._transport.write(self._parser.send(h11.EndOfMessage()))

    def allow_reuse(self, idle_seconds: float) -> None:
        """Allow a first request on a connection that has carried none."""
        self.is_reusable, self.idle_seconds = True, idle_seconds

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport
        set_user_timeout(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which bounds the work of one turn."""
        return self.buffer_quota.read_buffer[: self._read_size]

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes."""
        if self._pending_response is None or self._pending_response.done():
            self.close()
            return
        body_bytes = len(self._body)
        self._received += size
        self._parse(bytes(self.buffer_quota.read_buffer[:size]))
        self._read_size = choose_read_size(size, len(self._body) - body_bytes)
        is_pending = self._pending_response is not None and not self._pending_response.done()
        if is_pending and exceeds_framing_allowance(self._received, len(self._body)):
            self._fail(AttemptOutcome.UNUSABLE, "the response is mostly framing")
            self.close()

    def pause_writing(self) -> None:
        """Write no more until ``resume_writing``."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Continue writing."""
        self._can_write.set_result(None)
        self._can_write = None

    def eof_received(self) -> None:
        """Pass the end of the stream to the parser."""
        if self._pending_response is not None and not self._pending_response.done():
            self._parse(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the outstanding request."""
        self.is_reusable = False
        self._fail(AttemptOutcome.BROKEN, f"connection lost: {error or 'closed'}")

    # Parsing

    def _reset_parser(self) -> None:
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
        self._response_head = None
        self._received = 0
        self._release_body()

    def _release_body(self) -> None:
        self.buffer_quota.release(len(self._body))
        self._body = bytearray()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._reject(f"malformed HTTP response: {error}")

    def _process_events(self) -> None:
        while self._pending_response is not None and not self._pending_response.done():
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._accept_head(event)
            elif isinstance(event, h11.InformationalResponse):
                self._count_skipped()
            elif isinstance(event, h11.Data):
                self._append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                problem = find_malformed_fields(event.headers)
                if problem:
                    self._reject(f"malformed trailer: {problem}")
                    return
                self._complete_response()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(AttemptOutcome.BROKEN, "connection closed before a response")
                return

    def _accept_head(self, head: h11.Response) -> None:
        """Store the head of a response, or fail the exchange if it is malformed.

        A malformed head is not stored: it must not count as a statement of the target either.
        """
        problem = find_malformed_head(head.status_code, head.headers) or find_malformed_framing(
            head.http_version, head.reason, head.headers
        )
        if problem:
            self._reject(f"malformed HTTP response: {problem}")
        else:
            self._response_head = head

    def _reject(self, reason: str) -> None:
        self._fail(AttemptOutcome.UNUSABLE, reason)
        self.close()

    def _append_body(self, data: bytes) -> None:
        """Add a part of the body, or give the response up if it does not fit into the memory.

        Only a response that exceeds its own limit says something about the target.
        """
        size = len(self._body) + len(data)
        if size > MAXIMUM_RESPONSE_BYTES:
            outcome, reason = (
                AttemptOutcome.UNUSABLE,
                f"response exceeds the limit at {size} bytes",
            )
        elif not self.buffer_quota.reserve(len(data)):
            outcome, reason = AttemptOutcome.GIVEN_UP, f"no memory for {size} bytes of a response"
        else:
            self._body += data
            return
        self._fail(outcome, reason)
        self.close()

    def _count_skipped(self) -> None:
        self._skipped_responses += 1
        if self._skipped_responses > MAXIMUM_SKIPPED_RESPONSES:
            self._fail(
                AttemptOutcome.UNUSABLE,
                f"{self._skipped_responses} unrelated responses before the expected one",
            )
            self.close()

    def _complete_response(self) -> None:
        head = self._response_head
        trailing, is_closed = self._parser.trailing_data
        if not self.dialect.is_response_to(head.headers, head.status_code, self._request_id):
            self._skip_unrelated_response(trailing)
            return
        problem = self.dialect.find_problem(head.status_code, head.headers)
        if self._has_history and not self.dialect.names_request(head.headers, self._request_id):
            problem = "the response names no request and may belong to an earlier one"
        if problem:
            self._reject(problem)
            return
        is_sent = self._transport.get_write_buffer_size() == 0
        self.is_reusable = (
            is_sent
            and not trailing
            and not is_closed
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        self.idle_seconds = self.dialect.get_idle_seconds(head.headers)
        headers = tuple(head.headers.raw_items())
        # A large body is not copied: both copies together may not fit into the memory.
        body = self._body if len(self._body) > WRITE_BYTES else bytes(self._body)
        self._pending_response.set_result(TargetAnswer(head.status_code, headers, body))
        if not self.is_reusable:
            self._transport.close()

    def _skip_unrelated_response(self, trailing: bytes) -> None:
        """Continue parsing after a response that belongs to another request."""
        if self._parser.their_state is not h11.DONE:
            self._fail(AttemptOutcome.UNUSABLE, "the only response belongs to another request")
            self.close()
            return
        self._count_skipped()
        self._reset_parser()
        # The new parser needs to know the outstanding request. The bytes are not sent again.
        self._parser.send(self._request)
        if trailing:
            self._parser.receive_data(trailing)

    def _fail(self, outcome: AttemptOutcome, reason: str) -> None:
        if self._pending_response is not None and not self._pending_response.done():
            error = ExchangeFailedError(outcome, reason, self._get_own_head())
            self._pending_response.set_exception(error)

    def _get_own_head(self) -> TargetAnswer | None:
        """Return status and headers of the response so far if it belongs to the request."""
        head, request_id = self._response_head, self._request_id
        if head is None or not self.dialect.is_response_to(
            head.headers, head.status_code, request_id
        ):
            return None
        if self._has_history and not self.dialect.names_request(head.headers, request_id):
            return None
        return TargetAnswer(head.status_code, tuple(head.headers.raw_items()), b"")
