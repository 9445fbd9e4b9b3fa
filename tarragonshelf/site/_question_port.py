"""A plain HTTP server for short questions and calls."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web


class QuestionPort:
    """Serves one address with one handler.

    Parameters
    ----------
    handler : callable
        Returns the answer to a request.
    """

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.Response]]):
        self._web = web.Server(handler, access_log=None)
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._web, host, int(port), backlog=512)

    async def stop(self) -> None:
        """Close the server and its connections."""
        if self._server is not None:
            self._server.close()
            for connection in self._web.connections:
                connection.force_close()
