"""HTTP client that sends attempts to targets."""

from dataclasses import dataclass

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TCPConnector,
    TraceConfig,
)
from aiohttp.connector import Connection
from multidict import CIMultiDict
from yarl import URL

from ..execution import Attempt, AttemptEnded, AttemptResult, Request
from ..ledger import Answer, Header

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 15.0
# aiohttp passes on any status of three digits; RFC 9110, section 15, defines none outside 100 to
# 599, and none below 200 ends a request.
MINIMUM_STATUS = 200
MAXIMUM_STATUS = 599
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
REMOVED_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "host"}


class UnusableAnswerError(Exception):
    """A target's answer is too large, or it cannot be verified to be complete."""


class InvalidStatusError(ValueError):
    """A target's answer has a status that HTTP does not define."""


class _CheckedResponse(ClientResponse):
    """A response with a valid status."""

    async def start(self, connection: Connection) -> ClientResponse:
        """Receive the head; close the connection and raise an error if the status is invalid.

        The library gives a connection back as soon as it has received an empty body, so it has to
        be closed by its protocol.
        """
        protocol = connection.protocol
        await super().start(connection)
        if not MINIMUM_STATUS <= self.status <= MAXIMUM_STATUS:
            protocol.close()
            raise InvalidStatusError(f"status {self.status} is not valid")
        return self


@dataclass(slots=True)
class _Progress:
    """Records whether a request was sent on any of the connections that the library tried."""

    is_sent: bool = False


class Upstream:
    """Sends requests to targets.

    Parameters
    ----------
    maximum_answer : int
        Maximum size of an answer's body in bytes.

    Notes
    -----
    Only the connection relates an answer to its request, so a connection is closed and not reused
    if its request was cancelled, timed out or broke off. Each order gets a new connection: a
    target may close a reused connection just as the order is written, and then nothing proves
    that the order was not run.
    """

    def __init__(self, *, maximum_answer: int):
        self.maximum_answer = maximum_answer
        self._pooled_session: ClientSession | None = None
        self._unpooled_session: ClientSession | None = None

    async def start(self) -> None:
        """Create the HTTP sessions."""
        pooled = TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_SECONDS)
        unpooled = TCPConnector(limit=0, force_close=True)
        self._pooled_session = _create_session(pooled)
        self._unpooled_session = _create_session(unpooled)

    async def stop(self) -> None:
        """Close the HTTP sessions."""
        for session in (self._pooled_session, self._unpooled_session):
            if session is not None:
                await session.close()

    async def run(
        self, request: Request, attempt: Attempt, headers: CIMultiDict, body: bytes
    ) -> AttemptEnded:
        """Send one attempt and return how it ended.

        Only connecting has a time-out; the code that awaits the attempt cancels it in time.
        """
        session = self._unpooled_session if request.route.not_repeatable else self._pooled_session
        progress = _Progress()
        url = URL(f"http://{attempt.target.address}{request.path}", encoded=True)
        try:
            async with session.request(
                request.method,
                url,
                headers=headers,
                data=body or None,
                allow_redirects=False,
                trace_request_ctx=progress,
            ) as response:
                answer = await self._read_answer(request, response)
        except (ClientConnectorError, ConnectionTimeoutError):
            kind = AttemptResult.BROKEN if progress.is_sent else AttemptResult.NOT_SENT
            return AttemptEnded(attempt.number, kind)
        except UnusableAnswerError:
            return AttemptEnded(attempt.number, AttemptResult.UNUSABLE)
        except (ClientError, OSError, ValueError):
            return AttemptEnded(attempt.number, AttemptResult.BROKEN)
        is_refusal = answer.status in request.service.refusal_statuses
        kind = AttemptResult.REFUSED if is_refusal else AttemptResult.ANSWERED
        return AttemptEnded(attempt.number, kind, answer)

    async def _read_answer(self, request: Request, response: ClientResponse) -> Answer:
        if not _is_delimited(request, response):
            raise UnusableAnswerError("answer has neither a content length nor chunked encoding")
        if (response.content_length or 0) > self.maximum_answer and request.method != "HEAD":
            raise UnusableAnswerError(f"answer exceeds {self.maximum_answer} bytes")
        body = bytearray()
        async for part in response.content.iter_any():
            body += part
            if len(body) > self.maximum_answer:
                raise UnusableAnswerError(f"answer exceeds {self.maximum_answer} bytes")
        return Answer(response.status, _create_answer_headers(response.headers), bytes(body))


def filter_headers(headers) -> CIMultiDict:
    """Return headers without ``Host``, ``Content-Length`` and all hop-by-hop headers."""
    removed = REMOVED_HEADERS
    if "Connection" in headers:
        options = headers.get("Connection").lower().split(",")
        removed = removed.union(name.strip() for name in options)
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in removed
    )


def _create_answer_headers(headers) -> tuple[Header, ...]:
    return tuple(Header(name, value) for name, value in filter_headers(headers).items())


def _is_delimited(request: Request, response: ClientResponse) -> bool:
    """Return whether the end of the answer can be distinguished from a broken connection."""
    if request.method == "HEAD" or response.status in (204, 304):
        return True
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return is_chunked or response.content_length is not None


async def _record_sent(session, context, parameters) -> None:
    context.trace_request_ctx.is_sent = True


def _create_session(connector: TCPConnector) -> ClientSession:
    trace = TraceConfig()
    trace.on_request_headers_sent.append(_record_sent)
    return ClientSession(
        connector=connector,
        trace_configs=[trace],
        response_class=_CheckedResponse,
        auto_decompress=False,
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
    )
