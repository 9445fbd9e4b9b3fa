"""HTTP server for short requests of the platform, targets and operators."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from ._connections import CallerConnection, CallerConnections, listen

# Sent with a refusal for lack of memory; stalled requests have lost their place by then.
NO_MEMORY_RETRY_AFTER_SECONDS = 2
# How long aiohttp reads and drops the rest of a body after an early response.
LINGER_SECONDS = 2.0


class HttpServer:
    """Serves HTTP on one address with a single handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the response to a request.
    connections : CallerConnections
        Bounds the memory and the connections of callers.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.Response]],
        connections: CallerConnections,
    ):
        self._handler = handler
        self.connections = connections
        self._web_server = web.Server(self._serve, access_log=None, lingering_time=LINGER_SECONDS)
        self._listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        self._listener = await listen(
            address,
            lambda: CallerConnection(self.connections, self._web_server(), closes_if_full=True),
        )

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
            response_bytes = response.content_length or 0
        finally:
            connection.end(response_bytes)
        if not request.content.is_eof():
            response.force_close()
        return response

    async def _respond(
        self, request: web.BaseRequest, connection: CallerConnection
    ) -> web.StreamResponse:
        size = request.content_length or 0
        # A body that never fits is left to the handler, which has a limit of its own.
        may_fit = size <= self.connections.budget.limits.maximum_bytes
        if size and may_fit and not connection.reserve_body(size):
            headers = {"Retry-After": str(NO_MEMORY_RETRY_AFTER_SECONDS)}
            return web.Response(status=503, headers=headers, text="no-memory")
        return await self._handler(request)
