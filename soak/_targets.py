"""Targets that announce themselves and can fail in several ways."""

import asyncio
import contextlib
import json
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ._history import Execution, History
from ._proxy import Proxy

SERVICES = ("orders", "lists")
HEARTBEAT_INTERVAL_SECONDS = 0.8
# A draining target keeps serving, and the run lasts at least this time after the drain began, so
# that requests that still reach it are detected.
DRAIN_OBSERVATION_SECONDS = 4.0
# In this order: abort the connection, respond with status 500, respond after 5 s, take ten times
# as long, send the response twice, refuse with status 503 or abort the connection.
FAILURE_MODES = ("reset", "error", "mute", "slow", "extra", "full")
# Share of the requests that fail while a failure mode is set.
FAILURE_SHARE = 0.7


class Target:
    """One target behind a proxy.

    Parameters
    ----------
    name : str
        Name under which it announces itself.
    number : int
        Determines its service and data centre.
    """

    def __init__(self, name: str, number: int, history: History, random: Random):
        self.name = name
        self.number = number
        self.service = SERVICES[number % len(SERVICES)]
        self.history = history
        self.random = random
        self.failure_mode = ""
        # Requests per second that the target names as its limit, if any.
        self.limit: float | None = None
        self.response_seconds = 0.08
        self.proxy: Proxy | None = None
        self.is_draining = False
        # Whether its responses say that it leaves; a target may say so without an announcement.
        self.is_leaving = False
        # Whether it calls a control to leave, and says so nowhere else.
        self.only_leaves = False
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, find_free_port) -> None:
        """Start to serve behind a proxy of its own."""
        loop = asyncio.get_running_loop()
        server = web.Server(self._serve, access_log=None)
        self._server = await loop.create_server(server, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.proxy = Proxy(f"{host}:{find_free_port()}", f"{host}:{port}")
        await self.proxy.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.close()
        self.proxy.stop()

    def name_limit(self, limit: float | None) -> None:
        """Name a limit in all responses from now on, or none."""
        self.limit = limit
        self.history.record_limit(asyncio.get_running_loop().time(), self.name, limit)

    async def announce(self, session: ClientSession, controls: list[str]) -> bool:
        """Announce the target to the first control that accepts it; return whether one did."""
        self._sequence += 1
        state = "draining" if self.is_draining else "ready"
        zone = f"z{self.number % 3}"
        body = {
            "address": self.proxy.listen,
            "born": 1700,
            "info": {"service": self.service, "version": "v1", "zone": zone, "slots": 3},
            "status": {"state": state, "seq": self._sequence, "warmup_left": "0ms"},
        }
        action = "heartbeat"
        if self.only_leaves:
            action, body = "leave", {"born": body["born"]}
        for control in controls:
            url = f"http://{control}/v1/instances/{self.name}/{action}"
            with contextlib.suppress(ClientError, OSError, TimeoutError):
                async with session.post(url, json=body, timeout=ClientTimeout(1.0)) as response:
                    if response.status == 200:
                        await response.read()
                        return True
        return False

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(
                status=421, headers={"Request-Id": request_id, "Not-Executed": "1"}
            )
        now = asyncio.get_running_loop().time()
        self.history.record_arrival(now, self.name, request_id)
        state = {} if self.limit is None else {"Server-Limit": f"{self.limit:g}"}
        if self.is_leaving and not self.only_leaves:
            state["Server-Leaving"] = "1"
        body = await request.read()
        if self.failure_mode == "full" and self.random.random() < FAILURE_SHARE:
            return web.Response(
                status=503, headers={"Request-Id": request_id, "Not-Executed": "1", **state}
            )
        stamp = f"{self.name}.{request_id}.{self.random.getrandbits(32):08x}"
        self.history.record_execution(now, request_id, Execution(self.name, now, stamp), body)
        if self.history.accounts is not None:
            self.history.accounts.check_execution(now, request_id, request.headers.items())
        headers = {"Request-Id": request_id, "Response-Stamp": stamp, **state}
        if self.failure_mode and self.random.random() < FAILURE_SHARE:
            return await self._inject_failure(request, request_id, headers)
        await asyncio.sleep(self.response_seconds)
        padding = bytes(int(request.headers.get("Response-Bytes", "0")))
        return web.Response(body=request_id.encode() + padding, headers=headers)

    async def _inject_failure(self, request, request_id, headers) -> web.StreamResponse:
        if self.failure_mode == "error":
            return web.Response(status=500, headers=headers)
        if self.failure_mode == "mute":
            await asyncio.sleep(5.0)
        elif self.failure_mode == "slow":
            await asyncio.sleep(10 * self.response_seconds)
        elif self.failure_mode == "extra":
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            size = len(request_id)
            response = (
                f"HTTP/1.1 200 OK\r\n{head}Content-Length: {size}\r\n\r\n{request_id}".encode()
            )
            request.transport.write(response + response)
            request.transport.close()
        else:
            request.transport.abort()
        return web.Response(body=request_id.encode(), headers=headers)


async def keep_announcing(target: Target, list_controls) -> None:
    """Announce a target until it has left, and record when its drain is first acknowledged."""
    loop = asyncio.get_running_loop()
    async with ClientSession(json_serialize=json.dumps) as session:
        while True:
            was_draining, has_left = target.is_draining, target.only_leaves
            is_acknowledged = await target.announce(session, list_controls())
            if (
                is_acknowledged
                and was_draining
                and target.name not in target.history.drain_acknowledged_at
            ):
                target.history.drain_acknowledged_at[target.name] = loop.time()
            if is_acknowledged and has_left:
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
