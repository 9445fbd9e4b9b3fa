"""HTTP client that sends attempts to targets."""

import asyncio
from contextlib import suppress
from urllib.parse import quote

import h11
from multidict import CIMultiDict

from ..exchange import (
    ExchangeFailedError,
    IdleConnections,
    RawHeaders,
    ResponseDialect,
    ResponseProblem,
    ResponseResources,
    TargetConnection,
)
from ..execution import Attempt, AttemptEnded, AttemptResult, Request
from ..forwarding import TargetAnswer
from ..ledger import Answer, Header

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 15.0
# Requests that may be sent again if an idle connection breaks before any byte of an answer.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
# Requests that need no length if they have no body.
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
# Characters of a path that are sent as they are: all that are printable in ASCII.
PATH_CHARACTERS = "".join(map(chr, range(0x21, 0x7F)))
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


class _Dialect(ResponseDialect):
    """Answers name no request: only the connection relates them, so it is never shared."""

    is_length_required = True

    def is_response_to(self, headers: RawHeaders, status: int, request_id: bytes) -> bool:
        return True

    def names_request(self, headers: RawHeaders, request_id: bytes) -> bool:
        return True

    def find_problem(self, status: int, headers: RawHeaders) -> str:
        return ""

    def get_idle_seconds(self, headers: RawHeaders) -> float:
        return IDLE_CONNECTION_SECONDS


class Upstream:
    """Sends requests to targets.

    Parameters
    ----------
    maximum_answer : int
        Maximum size of an answer's body in bytes.
    resources : ResponseResources, optional
        Limits memory and processor time for unfinished answers.

    Notes
    -----
    Only the connection relates an answer to its request, so a connection is closed and not reused
    if its request was cancelled, timed out or broke off. Each order gets a new connection: a
    target may close a reused connection just as the order is written, and then nothing proves
    that the order was not run.
    """

    def __init__(self, *, maximum_answer: int, resources: ResponseResources | None = None):
        self.maximum_answer = maximum_answer
        self.resources = resources or ResponseResources()
        self._dialect = _Dialect()
        self._idle = IdleConnections()

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._idle.close_expired(now)

    def stop(self) -> None:
        """Close all idle connections."""
        self._idle.close()

    async def run(
        self, request: Request, attempt: Attempt, headers: CIMultiDict, body: bytes
    ) -> AttemptEnded:
        """Send one attempt and return how it ended.

        Only connecting has a time-out; the code that awaits the attempt cancels it in time.
        """
        address = attempt.target.address
        try:
            head = _create_head(request, address, headers, len(body))
        except h11.LocalProtocolError:
            # No target can be asked this; as after a refusal, nothing ran and nobody failed.
            return AttemptEnded(attempt.number, AttemptResult.REFUSED)
        idle = None
        if not request.route.not_repeatable:
            idle = self._idle.take(address, _read_time())
        if idle is not None:
            with suppress(_BrokenIdleError):
                return await self._exchange(request, attempt, idle, head, body, is_idle=True)
        try:
            connection = await self._connect(address)
        except (OSError, ValueError, OverflowError):
            kind = AttemptResult.NOT_SENT if idle is None else AttemptResult.BROKEN
            return AttemptEnded(attempt.number, kind)
        return await self._exchange(request, attempt, connection, head, body)

    async def _connect(self, address: str) -> TargetConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(
                    self._dialect,
                    self.resources,
                    address,
                    maximum_response=self.maximum_answer,
                ),
                host.strip("[]"),
                int(port),
            )
        return connection

    async def _exchange(
        self,
        request: Request,
        attempt: Attempt,
        connection: TargetConnection,
        head: h11.Request,
        body: bytes,
        *,
        is_idle: bool = False,
    ) -> AttemptEnded:
        """Send a request on a connection and return how that ended."""
        try:
            response = await connection.exchange(head, body, b"")
        except ExchangeFailedError as error:
            connection.close()
            is_unanswered = error.problem == ResponseProblem.BROKEN and not error.has_received
            if is_idle and is_unanswered and request.method in IDEMPOTENT_METHODS:
                raise _BrokenIdleError from error
            kind = _RESULTS.get(error.problem, AttemptResult.BROKEN)
            return AttemptEnded(attempt.number, kind)
        except BaseException:
            connection.close()
            raise
        if request.route.not_repeatable:
            connection.close()
        else:
            self._idle.put(attempt.target.address, connection, _read_time())
        is_refusal = response.status in request.service.refusal_statuses
        kind = AttemptResult.REFUSED if is_refusal else AttemptResult.ANSWERED
        return AttemptEnded(attempt.number, kind, _create_answer(response))


class _BrokenIdleError(Exception):
    """The target closed an idle connection before it answered."""


_RESULTS = {
    ResponseProblem.TOO_LARGE: AttemptResult.UNUSABLE,
    ResponseProblem.UNDELIMITED: AttemptResult.UNUSABLE,
    ResponseProblem.ENDLESS: AttemptResult.ENDLESS,
    ResponseProblem.NO_MEMORY: AttemptResult.GIVEN_UP,
}


def filter_headers(headers) -> CIMultiDict:
    """Return headers without ``Host``, ``Content-Length`` and all hop-by-hop headers."""
    removed = REMOVED_HEADERS
    if "Connection" in headers:
        options = headers.get("Connection").lower().split(",")
        removed = removed.union(name.strip() for name in options)
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in removed
    )


def _create_head(request: Request, address: str, headers: CIMultiDict, size: int) -> h11.Request:
    fields = [("Host", address), *headers.items()]
    if size or request.method not in METHODS_WITHOUT_BODY:
        fields.append(("Content-Length", str(size)))
    if request.route.not_repeatable:
        fields.append(("Connection", "close"))
    return h11.Request(
        method=request.method,
        target=quote(request.path, PATH_CHARACTERS, errors="surrogateescape"),
        headers=[(name, value.encode("utf-8", "surrogateescape")) for name, value in fields],
    )


def _create_answer(response: TargetAnswer) -> Answer:
    headers = CIMultiDict(
        (name.decode("ascii"), value.decode("utf-8", "surrogateescape"))
        for name, value in response.headers
    )
    kept = filter_headers(headers).items()
    return Answer(
        response.status,
        tuple(Header(name, value) for name, value in kept),
        bytes(response.body),
    )


def _read_time() -> float:
    return asyncio.get_running_loop().time()
