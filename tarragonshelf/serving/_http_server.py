"""HTTP server for short requests of the platform, targets and operators."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.http import HttpProcessingError

from ..transport import listen
from ._connections import CallerConnection, CallerConnections

# Sent with a refusal for lack of memory; stalled requests have lost their place by then.
NO_MEMORY_RETRY_AFTER_SECONDS = 2
# How long aiohttp reads and drops the rest of a body after an early response, which the caller may
# read only once it has sent all.
LINGER_SECONDS = 2.0
# Limits of aiohttp for each line of a head and for their number, beyond those of the connection.
MAXIMUM_PARSED_LINE_BYTES = 1 << 30
MAXIMUM_PARSED_FIELDS = 1 << 20
# Buffer of aiohttp for the part of a body that was not read from it yet.
PARSED_BODY_BYTES = 64 << 10
# Keep-alive time-out of aiohttp, which is fixed when the server starts.
MAXIMUM_KEEPALIVE_SECONDS = 600.0
# Responses above this size are written in parts as the caller reads them, so that the transport
# holds no second copy.
WRITE_BYTES = 256 << 10

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def create_web_server(
    handler: Handler, report: Callable[..., None], *, handler_cancellation: bool = False
) -> web.Server:
    """Return aiohttp's server for connections that are bounded by ``CallerConnection``.

    Bodies are passed on as they were received: what grows when it is decompressed would not be
    bounded.
    """
    return web.Server(
        handler,
        handler_cancellation=handler_cancellation,
        access_log=None,
        logger=_create_logger(report),
        keepalive_timeout=MAXIMUM_KEEPALIVE_SECONDS,
        max_line_size=MAXIMUM_PARSED_LINE_BYTES,
        max_field_size=MAXIMUM_PARSED_LINE_BYTES,
        max_headers=MAXIMUM_PARSED_FIELDS,
        auto_decompress=False,
        lingering_time=LINGER_SECONDS,
        read_bufsize=PARSED_BODY_BYTES,
    )


def create_memory_refusal() -> web.Response:
    """Return the response to a request that does not fit into the memory, and was not run."""
    headers = {"Retry-After": str(NO_MEMORY_RETRY_AFTER_SECONDS)}
    return web.Response(status=503, headers=headers, text="no-memory")


class HttpServer:
    """Serves HTTP on one address with a single handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the response to a request.
    connections : CallerConnections
        Bounds the memory and the connections of callers.
    handler_cancellation : bool, optional
        Whether the handler is cancelled when its caller disconnects.
    create_refusal : callable, optional
        Returns the response to a request that does not fit into the memory, and was not run.
    """

    def __init__(
        self,
        handler: Handler,
        connections: CallerConnections,
        *,
        handler_cancellation: bool = False,
        create_refusal: Callable[[], web.Response] = create_memory_refusal,
    ):
        self._handler = handler
        self._create_refusal = create_refusal
        self.connections = connections
        self._web_server = create_web_server(
            self._serve, connections.report, handler_cancellation=handler_cancellation
        )
        self._listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port on which this server listens."""
        return self._listener.sockets[0].getsockname()[1]

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        self._listener = await listen(
            address,
            lambda: CallerConnection(self.connections, self._web_server(), closes_if_full=True),
        )

    def close(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._listener is not None:
            self._listener.close()
            for connection in self._web_server.connections:
                connection.force_close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            # The caller has disconnected, so nobody receives this.
            return web.Response(status=503)
        connection = transport.connection
        connection.begin(request.content)
        response_bytes = 0
        try:
            response = await self._respond(request, connection)
            if not request.content.is_eof():
                response.force_close()
            response_bytes = response.content_length or 0
            if response_bytes > WRITE_BYTES:
                response = await write_in_parts(request, response, connection)
                response_bytes = 0
        finally:
            connection.end(response_bytes)
        return response

    async def _respond(
        self, request: web.BaseRequest, connection: CallerConnection
    ) -> web.StreamResponse:
        size = request.content_length or 0
        # A body that never fits is left to the handler, which has a limit of its own.
        may_fit = size <= self.connections.budget.limits.maximum_bytes
        if size and may_fit and not connection.reserve_body(size):
            return self._create_refusal()
        response = await self._handler(request)
        is_large = (response.content_length or 0) > WRITE_BYTES
        if is_large and not connection.reserve(response.content_length):
            return self._create_refusal()
        return response


async def write_in_parts(
    request: web.BaseRequest, response: web.Response, connection: CallerConnection
) -> web.StreamResponse:
    """Write a response as its caller reads it, so that the transport holds no second copy."""
    written = web.StreamResponse(status=response.status, headers=response.headers)
    written.content_length = len(response.body)
    if response.keep_alive is False:
        written.force_close()
    connection.begin_writing(len(response.body))
    await written.prepare(request)
    parts = memoryview(response.body)
    for at in range(0, len(parts), WRITE_BYTES):
        part = parts[at : at + WRITE_BYTES]
        await written.write(part)
        connection.record_written(len(part))
    await written.write_eof()
    return written


class _ReportHandler(logging.Handler):
    """Passes what aiohttp logs of requests to the log of the process, which has a rate limit."""

    def __init__(self, report: Callable[..., None]):
        super().__init__(logging.WARNING)
        self._report = report

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        is_malformed = isinstance(error, HttpProcessingError)
        event = "request_malformed" if is_malformed else "request_crashed"
        self._report(event, problem=record.getMessage() if error is None else repr(error))


def _create_logger(report: Callable[..., None]) -> logging.Logger:
    logger = logging.Logger(__name__, logging.WARNING)
    logger.addHandler(_ReportHandler(report))
    return logger
