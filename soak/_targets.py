"""Targets that announce themselves and misbehave."""

import asyncio
import contextlib
import json
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ._proxy import Proxy
from ._record import Record, Run

SERVICES = ("orders", "lists")
BEAT_SECONDS = 0.8
# After its word is acknowledged a leaving target serves on for so long.
LINGER_SECONDS = 4.0
BAD_MANNERS = ("reset", "error", "mute", "slow", "extra", "full")
SHARE_BAD = 0.7


class Target:
    """One target behind a forwarder.

    Parameters
    ----------
    name : str
        Its identity.
    number : int
        Decides its service and data centre.
    """

    def __init__(self, name: str, number: int, record: Record, random: Random):
        self.name = name
        self.number = number
        self.service = SERVICES[number % len(SERVICES)]
        self.record = record
        self.random = random
        self.manner = ""
        self.seconds = 0.08
        self.proxy: Proxy | None = None
        self.is_leaving = False
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, find_port) -> None:
        """Listen behind a forwarder of its own."""
        loop = asyncio.get_running_loop()
        server = web.Server(self._serve, access_log=None)
        self._server = await loop.create_server(server, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.proxy = Proxy(f"{host}:{find_port()}", f"{host}:{port}")
        await self.proxy.start()

    def stop(self) -> None:
        """Be gone."""
        self._server.close()
        self.proxy.stop()

    async def announce(self, session: ClientSession, controls: list[str]) -> bool:
        """Tell any control of itself and say whether it was acknowledged."""
        self._sequence += 1
        state = "draining" if self.is_leaving else "ready"
        zone = f"z{self.number % 3}"
        body = {
            "address": self.proxy.listen,
            "born": 1700,
            "info": {"service": self.service, "version": "v1", "zone": zone, "slots": 3},
            "status": {"state": state, "seq": self._sequence, "warmup_left": "0ms"},
        }
        for control in controls:
            url = f"http://{control}/v1/instances/{self.name}/heartbeat"
            with contextlib.suppress(ClientError, OSError, TimeoutError):
                async with session.post(url, json=body, timeout=ClientTimeout(1.0)) as answer:
                    if answer.status == 200:
                        await answer.read()
                        return True
        return False

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421, headers={"Request-Id": identity, "Not-Executed": "1"})
        body = await request.read()
        if self.manner == "full" and self.random.random() < SHARE_BAD:
            return web.Response(status=503, headers={"Request-Id": identity, "Not-Executed": "1"})
        now = asyncio.get_running_loop().time()
        stamp = f"{self.name}.{identity}.{self.random.getrandbits(32):08x}"
        self.record.note_run(now, identity, Run(self.name, now, stamp), body)
        headers = {"Request-Id": identity, "Response-Stamp": stamp}
        if self.manner and self.random.random() < SHARE_BAD:
            return await self._misbehave(request, identity, headers)
        await asyncio.sleep(self.seconds)
        return web.Response(body=identity.encode(), headers=headers)

    async def _misbehave(self, request, identity, headers) -> web.StreamResponse:
        if self.manner == "error":
            return web.Response(status=500, headers=headers)
        if self.manner == "mute":
            await asyncio.sleep(5.0)
        elif self.manner == "slow":
            await asyncio.sleep(10 * self.seconds)
        elif self.manner == "extra":
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            size = len(identity)
            answer = f"HTTP/1.1 200 OK\r\n{head}Content-Length: {size}\r\n\r\n{identity}".encode()
            request.transport.write(answer + answer)
            request.transport.close()
        else:
            request.transport.abort()
        return web.Response(body=identity.encode(), headers=headers)


async def keep_announcing(target: Target, list_controls) -> None:
    """Announce a target until it is stopped; note when its word that it leaves binds."""
    loop = asyncio.get_running_loop()
    async with ClientSession(json_serialize=json.dumps) as session:
        while True:
            was_leaving = target.is_leaving
            is_heard = await target.announce(session, list_controls())
            if is_heard and was_leaving and target.name not in target.record.left_at:
                target.record.left_at[target.name] = loop.time()
            await asyncio.sleep(BEAT_SECONDS)
