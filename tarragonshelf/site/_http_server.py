"""HTTP server for short requests of the platform, targets and operators."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web


class HttpServer:
    """Serves HTTP on one address with a single handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the response to a request.
    """

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.Response]]):
        self._web_server = web.Server(handler, access_log=None)
        self._listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._web_server, host, int(port), backlog=512)

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._listener is not None:
            self._listener.close()
            for connection in self._web_server.connections:
                connection.force_close()
