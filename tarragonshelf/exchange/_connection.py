"""Connection to a target that carries one request at a time."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum

import h11

from ..buffering import (
    LARGE_READ_BYTES,
    MAXIMUM_FRAMING_SHARE,
    SMALL_READ_BYTES,
    ResponseHolding,
    choose_read_size,
    exceeds_framing_allowance,
)
from ..forwarding import AttemptOutcome, TargetAnswer
from ..transport import set_user_timeout
from ._acknowledgements import WATCHED_BODY_BYTES, AcknowledgementWatch
from ._resources import ResponseReader, ResponseResources
from ._validity import find_malformed_fields, find_malformed_framing, find_malformed_head
from .base import ResponseDialect

MAXIMUM_HEAD_BYTES = 64 << 10
# Limit for one response, so that a faulty target that sends without end is noticed.
MAXIMUM_RESPONSE_BYTES = 16 << 20
# Lines of a head or of trailers: h11 parses either at once, and takes about 1 ms for 1,000 fields.
MAXIMUM_FIELD_LINES = 2048
# What one read brings is parsed at once if it has few fields, and few parts for its size.
PROMPT_LINES = 128
PROMPT_PARTS = 16
PROMPT_PART_BYTES = 8 << 10
# Bodies are written in parts of this size when the socket can take them, so that the transport
# holds no second copy of a large one.
WRITE_BYTES = 256 << 10
# Interim responses, and responses to earlier requests, that are skipped before the expected one.
MAXIMUM_SKIPPED_RESPONSES = 8
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ResponseProblem(StrEnum):
    """Why an exchange failed.

    ``TOO_LARGE`` is a response of a declared length above the limit, ``UNDELIMITED`` one whose end
    cannot be distinguished from a broken connection. ``ENDLESS`` exceeded a limit before its end.
    """

    BROKEN = "broken"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNDELIMITED = "undelimited"
    ENDLESS = "endless"
    NO_MEMORY = "no-memory"


_OUTCOMES = {
    ResponseProblem.BROKEN: AttemptOutcome.BROKEN,
    ResponseProblem.NO_MEMORY: AttemptOutcome.GIVEN_UP,
}


class ExchangeFailedError(Exception):
    """A request was sent at least in part, and no valid response to it was received.

    ``problem`` says why, and ``outcome`` what that says about the request. ``head`` holds status
    and headers of an incomplete or unusable response to the request, if there is one;
    ``has_received`` is whether any byte arrived.
    """

    def __init__(
        self,
        problem: ResponseProblem,
        reason: str,
        head: TargetAnswer | None = None,
        *,
        has_received: bool = True,
    ):
        super().__init__(reason)
        self.problem = problem
        self.outcome = _OUTCOMES.get(problem, AttemptOutcome.UNUSABLE)
        self.head = head
        self.has_received = has_received


class TargetConnection(asyncio.BufferedProtocol, ResponseReader):
    """Sends requests and accepts only complete responses that belong to them.

    Parameters
    ----------
    dialect : ResponseDialect
        Decides which request a response belongs to and whether it is valid.
    resources : ResponseResources
        Limits memory and processor time for unfinished responses on all connections together.
    source : str
        Name of the target.
    maximum_response : int, optional
        Maximum size of a body in bytes.

    Notes
    -----
    Bytes that arrive while no request is outstanding close the connection. A response to another
    request is skipped as a late duplicate. A body without a declared length is complete only if
    the target ends the stream with FIN; after a reset the exchange fails. On a connection that
    carried an earlier request, a response counts only if it names the present one: a refusal that
    is sent once more would otherwise prove that a request did not run which does.

    While received bytes wait to be parsed, nothing more is read.
    """

    def __init__(
        self,
        dialect: ResponseDialect,
        resources: ResponseResources,
        source: str,
        *,
        maximum_response: int | None = None,
    ):
        self.dialect = dialect
        self.resources = resources
        self.source = source
        self.maximum_response = (
            MAXIMUM_RESPONSE_BYTES if maximum_response is None else maximum_response
        )
        self.is_reusable = False
        self.idle_seconds = 0.0
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: h11.Connection | None = None
        self._pending_response: asyncio.Future | None = None
        self._request: h11.Request | None = None
        self._request_id = b""
        self._response_head: h11.Response | None = None
        self._is_chunked = False
        self._has_history = False
        self._holding: ResponseHolding | None = None
        self._body = bytearray()
        self._skipped_responses = 0
        # Bytes of the response as they were received.
        self._received = 0
        # Pieces that were received and not passed to the parser yet, with their numbers of lines.
        self._pieces: deque[tuple[bytes, int]] = deque()
        # Size of the last read, and of the body before it.
        self._last_read = 0
        self._body_bytes = 0
        # Parts that were parsed since the last read, and lines received since the last part.
        self._parts = 0
        self._lines = 0
        self._is_scheduled = False
        self._lost_reason = ""
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
        self._holding = self.resources.open(self.source, self.give_up)
        watch = None
        if len(body) > WATCHED_BODY_BYTES:
            watch = AcknowledgementWatch(self._transport, self._end_silent)
            watch.start()
        try:
            self._reset_parser()
            self._pending_response = asyncio.get_running_loop().create_future()
            content = self._parser.send(request)
            if len(body) > WRITE_BYTES:
                self._transport.write(content)
                await self._write_body(body)
            else:
                if body:
                    content += self._parser.send(h11.Data(data=body))
                self._transport.write(content + self._parser.send(h11.EndOfMessage()))
            return await self._pending_response
        finally:
            if watch is not None:
                watch.stop()
            self._end_exchange()

    def _end_silent(self) -> None:
        """End the exchange with a target that acknowledges nothing."""
        self._reject(ResponseProblem.BROKEN, "connection lost: nothing is acknowledged any more")

    def _end_exchange(self) -> None:
        answered = self._pending_response
        is_complete = (
            answered is not None
            and answered.done()
            and not answered.cancelled()
            and answered.exception() is None
        )
        now = asyncio.get_running_loop().time()
        self.resources.places.release(now, self.source, self, is_complete=is_complete)
        self.resources.close(self._holding)
        self.resources.set_large(self, False)
        if self._is_scheduled:
            self._is_scheduled = False
            self.resources.unschedule(self)
            self._transport.resume_reading()
        self._pieces.clear()
        self._body = bytearray()
        self._pending_response = None
        self._has_history = True

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

    def give_up(self, reason: str) -> None:
        """End the response for lack of memory, which says nothing about the target."""
        self._reject(ResponseProblem.NO_MEMORY, reason)

    # Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport
        set_user_timeout(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which bounds the work of one turn."""
        return self.resources.get_read_buffer(self)

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes, or have them parsed later."""
        if not self._is_pending:
            self.close()
            return
        data = bytes(self.resources.read_buffer[:size])
        self._received += size
        self._last_read, self._body_bytes = size, len(self._body)
        self._parts = 0
        if not self.resources.reserve(self._holding, size):
            self.give_up(f"no memory for {self._received} bytes of a response")
            return
        lines = 0
        if self._response_head is None or self._is_chunked:
            lines = _count_lines(data)
        if lines > MAXIMUM_FIELD_LINES:
            parts = (data[at : at + SMALL_READ_BYTES] for at in range(0, size, SMALL_READ_BYTES))
            self._pieces.extend((part, _count_lines(part)) for part in parts)
        else:
            self._pieces.append((data, lines))
        if lines > PROMPT_LINES or self._parse(self._is_slow):
            self._schedule()

    def _is_slow(self) -> bool:
        content = len(self._body) - self._body_bytes
        return self._parts > PROMPT_PARTS + content // PROMPT_PART_BYTES

    def _schedule(self) -> None:
        self._is_scheduled = True
        self._transport.pause_reading()
        self.resources.schedule(self)

    def parse_slice(self, is_over: Callable[[], bool]) -> bool:
        """Parse until the slice is over; return whether received bytes are left."""
        if self._parse(is_over):
            return True
        self._is_scheduled = False
        if self._lost_reason:
            self._fail(ResponseProblem.BROKEN, self._lost_reason)
        # The connection may be used again.
        self._transport.resume_reading()
        return False

    def pause_writing(self) -> None:
        """Write no more until ``resume_writing``."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Continue writing."""
        self._can_write.set_result(None)
        self._can_write = None

    def eof_received(self) -> None:
        """Pass the end of the stream to the parser."""
        if self._is_pending:
            self._pieces.append((b"", 0))
            self._parse(lambda: False)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the outstanding request, once all that was received is parsed."""
        self.is_reusable = False
        reason = f"connection lost: {error or 'closed'}"
        if self._is_scheduled:
            self._lost_reason = reason
        else:
            self._fail(ResponseProblem.BROKEN, reason)

    # Parsing

    @property
    def _is_pending(self) -> bool:
        return self._pending_response is not None and not self._pending_response.done()

    def _reset_parser(self) -> None:
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
        self._response_head = None
        self._is_chunked = False
        self._received = self._lines = 0
        self._body = bytearray()
        self.resources.shrink(self._holding, 0)

    def _parse(self, is_over: Callable[[], bool]) -> bool:
        """Parse received bytes until it is over; return whether some are left."""
        try:
            while self._is_pending:
                if not self._process_events(is_over):
                    return True
                if not self._pieces:
                    self._end_read()
                    return False
                piece, lines = self._pieces.popleft()
                self._lines += lines
                self._parser.receive_data(piece)
        except h11.RemoteProtocolError as error:
            self._reject(ResponseProblem.MALFORMED, f"malformed HTTP response: {error}")
        return False

    def _process_events(self, is_over: Callable[[], bool]) -> bool:
        """Process what the parser holds; return False if it is over before the parser is empty."""
        while self._is_pending:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                if self._lines > MAXIMUM_FIELD_LINES:
                    reason = f"{self._lines} lines of a head or of trailers"
                    self._reject(ResponseProblem.ENDLESS, reason)
                return True
            self._parts += 1
            self._lines = 0
            if isinstance(event, h11.Response):
                self._accept_head(event)
            elif isinstance(event, h11.InformationalResponse):
                self._count_skipped()
            elif isinstance(event, h11.Data):
                self._append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                problem = find_malformed_fields(event.headers)
                if problem:
                    self._reject(ResponseProblem.MALFORMED, f"malformed trailer: {problem}")
                else:
                    self._complete_response()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(ResponseProblem.BROKEN, "connection closed before a response")
            elif event is h11.PAUSED:
                self._reject(ResponseProblem.MALFORMED, "the target switched protocols")
            if is_over():
                return not self._is_pending
        return True

    def _end_read(self) -> None:
        """Adjust the limits once all received bytes were parsed."""
        if not self._is_pending:
            return
        body = len(self._body)
        is_in_body = self._response_head is not None
        self.resources.shrink(self._holding, body if is_in_body else self._received)
        read_size = choose_read_size(self._last_read, body - self._body_bytes)
        self.resources.set_large(self, read_size == LARGE_READ_BYTES)
        if not exceeds_framing_allowance(self._received, body):
            return
        now = asyncio.get_running_loop().time()
        has_place = self.resources.places.take(now, self.source, self)
        if not has_place or exceeds_framing_allowance(self._received, body, MAXIMUM_FRAMING_SHARE):
            self._reject(ResponseProblem.ENDLESS, "the response is mostly framing")

    def _accept_head(self, head: h11.Response) -> None:
        """Store the head of a response, or fail the exchange if it is malformed.

        A malformed head is not stored: it must not count as a statement of the target either.
        """
        problem = find_malformed_head(head.status_code, head.headers) or find_malformed_framing(
            head.http_version, head.reason, head.headers
        )
        if problem:
            self._reject(ResponseProblem.MALFORMED, f"malformed HTTP response: {problem}")
            return
        self._response_head = head
        if self._request.method == b"HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
            return
        fields = dict(head.headers)
        self._is_chunked = b"transfer-encoding" in fields
        length = fields.get(b"content-length")
        if length is not None and int(length) > self.maximum_response:
            reason = f"response of {int(length)} bytes exceeds the limit"
            self._reject(ResponseProblem.TOO_LARGE, reason)
        elif length is None and not self._is_chunked and self.dialect.is_length_required:
            reason = "the response has neither a content length nor chunked encoding"
            self._reject(ResponseProblem.UNDELIMITED, reason)

    def _append_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self.maximum_response:
            reason = f"response exceeds the limit at {len(self._body)} bytes"
            self._reject(ResponseProblem.ENDLESS, reason)

    def _count_skipped(self) -> None:
        self._skipped_responses += 1
        if self._skipped_responses > MAXIMUM_SKIPPED_RESPONSES:
            reason = f"{self._skipped_responses} unrelated responses before the expected one"
            self._reject(ResponseProblem.ENDLESS, reason)

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
            self._reject(ResponseProblem.MALFORMED, problem)
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
            reason = "the only response belongs to another request"
            self._reject(ResponseProblem.MALFORMED, reason)
            return
        self._count_skipped()
        self._reset_parser()
        # The new parser needs to know the outstanding request. The bytes are not sent again.
        self._parser.send(self._request)
        if trailing:
            self._parser.receive_data(trailing)

    def _reject(self, problem: ResponseProblem, reason: str) -> None:
        self._fail(problem, reason)
        self.close()

    def _fail(self, problem: ResponseProblem, reason: str) -> None:
        if self._is_pending:
            error = ExchangeFailedError(
                problem, reason, self._get_own_head(), has_received=self._received > 0
            )
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


def _count_lines(data: bytes) -> int:
    """Return the number of line ends; large chunks have few, and few are found sooner."""
    lines = len(data.split(b"\n", PROMPT_LINES + 1)) - 1
    return lines if lines <= PROMPT_LINES else data.count(b"\n")
