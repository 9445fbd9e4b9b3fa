"""One connection to a target, which carries one request at a time."""

import asyncio

import h11

from ..forwarding import AttemptOutcome, TargetAnswer
from ..transport import set_user_timeout
from ._dialect import TargetDialect

MAXIMUM_HEAD_BYTES = 64 << 10
# Answers that targets in trouble never end must not use up the memory of the process.
MAXIMUM_ANSWER_BYTES = 16 << 20
MAXIMUM_BUFFERED_BYTES = 64 << 20
# Answers to other requests and interim answers that are skipped before the one that is waited for.
MAXIMUM_SKIPPED = 8


class ExchangeFailedError(Exception):
    """A request was sent, in part at least, and no whole answer to it came."""

    def __init__(self, outcome: AttemptOutcome, reason: str):
        super().__init__(reason)
        self.outcome = outcome


class AnswerBuffers:
    """Counts the bytes of unfinished answers that one process holds."""

    def __init__(self):
        self.held = 0

    def take(self, size: int) -> bool:
        """Count bytes more, or return False if there is no room for them."""
        if self.held + size > MAXIMUM_BUFFERED_BYTES:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Count bytes less."""
        self.held -= size


class TargetConnection(asyncio.Protocol):
    """Sends requests and takes only whole answers that belong to them.

    Parameters
    ----------
    dialect : TargetDialect
        Tells to which request an answer belongs.
    buffers : AnswerBuffers
        Bounds what all connections of the process hold together.

    Notes
    -----
    Bytes that arrive while no request waits end the connection. An answer to another request is
    skipped: it is an extra answer that came late. A body without a length is whole only if the
    target closed the connection in order.
    """

    def __init__(self, dialect: TargetDialect, buffers: AnswerBuffers):
        self.dialect = dialect
        self.buffers = buffers
        self.is_reusable = False
        self.idle_seconds = 0.0
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: h11.Connection | None = None
        self._waiting: asyncio.Future | None = None
        self._request: h11.Request | None = None
        self._identity = b""
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._skipped = 0

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    async def exchange(self, request: h11.Request, body: bytes, identity: bytes) -> TargetAnswer:
        """Send a request and return the whole answer to it.

        Raises
        ------
        ExchangeFailedError
            If the connection breaks first, or what comes is no answer.
        """
        self._request, self._identity = request, identity
        self.is_reusable = False
        self._skipped = 0
        self._begin_parsing()
        self._waiting = asyncio.get_running_loop().create_future()
        content = self._parser.send(request)
        if body:
            content += self._parser.send(h11.Data(data=body))
        content += self._parser.send(h11.EndOfMessage())
        self._transport.write(content)
        try:
            return await self._waiting
        finally:
            self._waiting = None
            self._drop_body()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection over."""
        self._transport = transport
        set_user_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what the target sent."""
        if self._waiting is None or self._waiting.done():
            self.close()
            return
        self._parse(data)

    def eof_received(self) -> None:
        """Take in that the target closed its side in order."""
        if self._waiting is not None and not self._waiting.done():
            self._parse(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request that waits."""
        self.is_reusable = False
        self._fail(AttemptOutcome.BROKEN, f"connection lost: {error or 'closed'}")

    # Parsing

    def _begin_parsing(self) -> None:
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
        self._head = None
        self._drop_body()

    def _drop_body(self) -> None:
        self.buffers.release(len(self._body))
        self._body = bytearray()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
            self._take_events()
        except h11.RemoteProtocolError as error:
            self._fail(AttemptOutcome.UNUSABLE, f"no answer in the protocol: {error}")
            self.close()

    def _take_events(self) -> None:
        while self._waiting is not None and not self._waiting.done():
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.InformationalResponse):
                self._count_skipped()
            elif isinstance(event, h11.Data):
                self._take_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._end_message()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(AttemptOutcome.BROKEN, "closed without an answer")
                return

    def _take_body(self, data: bytes) -> None:
        size = len(self._body) + len(data)
        if size > MAXIMUM_ANSWER_BYTES or not self.buffers.take(len(data)):
            self._fail(AttemptOutcome.UNUSABLE, f"an answer of {size} bytes that goes on")
            self.close()
            return
        self._body += data

    def _count_skipped(self) -> None:
        self._skipped += 1
        if self._skipped > MAXIMUM_SKIPPED:
            self._fail(
                AttemptOutcome.UNUSABLE, f"{self._skipped} answers before the one asked for"
            )
            self.close()

    def _end_message(self) -> None:
        head = self._head
        rest, is_closed = self._parser.trailing_data
        if not self.dialect.belongs(head.headers, head.status_code, self._identity):
            self._skip_foreign(rest)
            return
        problem = self.dialect.find_problem(head.status_code, head.headers)
        if problem:
            self._fail(AttemptOutcome.UNUSABLE, problem)
            self.close()
            return
        is_sent = self._transport.get_write_buffer_size() == 0
        self.is_reusable = (
            is_sent
            and not rest
            and not is_closed
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        self.idle_seconds = self.dialect.get_idle_seconds(head.headers)
        headers = tuple(head.headers.raw_items())
        self._waiting.set_result(TargetAnswer(head.status_code, headers, bytes(self._body)))
        if not self.is_reusable:
            self._transport.close()

    def _skip_foreign(self, rest: bytes) -> None:
        """Go on behind an answer that belongs to an earlier request."""
        if self._parser.their_state is not h11.DONE:
            self._fail(AttemptOutcome.UNUSABLE, "an answer to another request, and no other")
            self.close()
            return
        self._count_skipped()
        self._begin_parsing()
        # The new parser has to know of the request that is out; its bytes are not written again.
        self._parser.send(self._request)
        if rest:
            self._parser.receive_data(rest)

    def _fail(self, outcome: AttemptOutcome, reason: str) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(ExchangeFailedError(outcome, reason))
