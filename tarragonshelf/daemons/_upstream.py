"""Attempts at targets over HTTP."""

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
from multidict import CIMultiDict
from yarl import URL

from ..execution import Attempt, AttemptEnded, AttemptResult, Request
from ..ledger import Answer, Header

CONNECT_SECONDS = 1.0
KEEPALIVE_SECONDS = 15.0
HOP_BY_HOP = frozenset(
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
NOT_PASSED_ON = HOP_BY_HOP | {"content-length", "host"}


class UnusableAnswerError(Exception):
    """A target answered, but with what an entry must not or cannot pass on."""


@dataclass(slots=True)
class _Progress:
    """Whether any part of a request was written, on whichever connection."""

    is_sent: bool = False


class Upstream:
    """Sends requests to targets.

    Parameters
    ----------
    maximum_answer : int
        Bytes that an answer's body may have.

    Notes
    -----
    An answer belongs to its request by connection. One that was cancelled, timed out or broke
    off is closed and never used again. Orders get a new connection each: on one that was used
    before, a target may close just as the order is written, and nothing would prove then that
    it did not run.
    """

    def __init__(self, *, maximum_answer: int):
        self.maximum_answer = maximum_answer
        self._shared: ClientSession | None = None
        self._single: ClientSession | None = None

    async def start(self) -> None:
        """Create the sessions."""
        shared = TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
        single = TCPConnector(limit=0, force_close=True)
        self._shared = _create_session(shared)
        self._single = _create_session(single)

    async def stop(self) -> None:
        """Close the sessions."""
        for session in (self._shared, self._single):
            if session is not None:
                await session.close()

    async def run(
        self, request: Request, attempt: Attempt, headers: CIMultiDict, body: bytes
    ) -> AttemptEnded:
        """Carry out one attempt and tell how it ended.

        The attempt has no end of its own: who waits for it cancels it in time.
        """
        session = self._single if request.route.not_repeatable else self._shared
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
                answer = await self._read(request, response)
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

    async def _read(self, request: Request, response: ClientResponse) -> Answer:
        if not _is_delimited(request, response):
            raise UnusableAnswerError("the answer's end cannot be told from a broken connection")
        if (response.content_length or 0) > self.maximum_answer and request.method != "HEAD":
            raise UnusableAnswerError(f"the answer exceeds {self.maximum_answer} bytes")
        body = bytearray()
        async for part in response.content.iter_any():
            body += part
            if len(body) > self.maximum_answer:
                raise UnusableAnswerError(f"the answer exceeds {self.maximum_answer} bytes")
        return Answer(response.status, _filter_headers(response.headers), bytes(body))


def filter_request_headers(headers) -> CIMultiDict:
    """Return a caller's headers without those that concern only one connection."""
    dropped = NOT_PASSED_ON
    if "Connection" in headers:
        named = headers.get("Connection").lower().split(",")
        dropped = dropped.union(name.strip() for name in named)
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def _filter_headers(headers) -> tuple[Header, ...]:
    return tuple(Header(name, value) for name, value in filter_request_headers(headers).items())


def _is_delimited(request: Request, response: ClientResponse) -> bool:
    """Tell whether a broken connection can be told from the answer's end."""
    if request.method == "HEAD" or response.status in (204, 304):
        return True
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return is_chunked or response.content_length is not None


async def _note_sent(session, context, parameters) -> None:
    context.trace_request_ctx.is_sent = True


def _create_session(connector: TCPConnector) -> ClientSession:
    trace = TraceConfig()
    trace.on_request_headers_sent.append(_note_sent)
    return ClientSession(
        connector=connector,
        trace_configs=[trace],
        auto_decompress=False,
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
    )
