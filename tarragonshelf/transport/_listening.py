"""Listening sockets that accept a few connections at a time."""

import asyncio
import socket
from collections.abc import Callable

# Connections that are accepted in one turn of the event loop, before those beyond a limit are
# closed, and connections that wait for that in the kernel.
ACCEPT_BATCH = 8
ACCEPT_QUEUE = 512


async def listen(
    address: str, create_connection: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """Accept connections on ``HOST:PORT``, a few in each turn of the event loop."""
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(create_connection, sock=listener, backlog=ACCEPT_BATCH)
    # asyncio accepts as many connections in one turn as its backlog, so that is not the queue.
    listener.listen(ACCEPT_QUEUE)
    return server
