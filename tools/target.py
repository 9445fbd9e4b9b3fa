"""Stand-in for a target: runs requests, and fails on command.

It announces itself, drains on SIGTERM, has a cold start, sheds when its slots are full, and
writes each request that it runs to a file before it answers. ``POST /control`` with
``{"mode": ...}`` makes it hang, crash, flap, slow down or fail; its health answers stay good.
"""

import asyncio
import json
import os
import signal
import time

import fire
from aiohttp import ClientError, ClientSession, ClientTimeout, web

ANNOUNCE_SECONDS = 1.0
FLAP_SECONDS = 2.0
DRAIN_SECONDS = 3.0
REGISTRARS = 2


class Target:
    """One target.

    Parameters
    ----------
    service, data_centre, address : str
        What it announces.
    entries : list of str
        Addresses of some entries to ask for registrars.
    record : str
        File that gets a JSON line for each request that runs.
    slots : int
        Requests that it runs at once.
    work, cold : float
        Seconds of work for a request, and of the cold start.
    """

    def __init__(self, *, service, address, data_centre, entries, record, slots, work, cold):
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.entries = entries
        self.record = record
        self.slots = slots
        self.work = work
        self.cold = cold
        self.mode = "normal"
        self.state = "starting"
        self.incarnation = time.time_ns() // 1_000_000
        self.sequence = 0
        self.busy = 0
        self.registrars: list[tuple[str, str]] = []

    async def handle(self, request: web.Request) -> web.Response:
        """Run a request, or misbehave as told."""
        if request.path == "/health":
            return web.json_response({"healthy": True, "load": 0.1})
        if request.path == "/control":
            self.mode = (await request.json())["mode"]
            return web.json_response({"mode": self.mode})
        body = await request.read()
        if self.busy >= self.slots:
            return web.json_response({"shed": True}, status=503)
        self.busy += 1
        try:
            return await self._run(request, body)
        finally:
            self.busy -= 1

    async def _run(self, request: web.Request, body: bytes) -> web.Response:
        is_flapping = self.mode == "flap" and int(time.time() / FLAP_SECONDS) % 2
        if self.mode == "hang" or is_flapping:
            await asyncio.sleep(3600)
        if self.mode == "crash" or b"poison" in body or "poison" in request.path_qs:
            os._exit(3)
        key = request.headers.get("Idempotency-Key", "")
        line = {"key": key, "method": request.method, "path": request.path_qs}
        with open(self.record, "a") as file:
            file.write(json.dumps(line) + "\n")
        if self.mode == "fail":
            return web.json_response({"error": "failing"}, status=500)
        await asyncio.sleep(self.work * (10 if self.mode == "slow" else 1))
        answer = {"service": self.service, "target": self.address, "path": request.path_qs}
        if request.path.endswith("/headers"):
            answer["headers"] = dict(request.headers)
        if request.method != "GET":
            answer["order"] = f"{self.address}-{self.incarnation}-{time.time_ns()}"
        return web.json_response(answer)

    async def announce(self, session: ClientSession) -> None:
        """Post one announcement to each registrar, choosing others for those that are gone."""
        await self._choose_registrars(session)
        self.sequence += 1
        for address, _ in list(self.registrars):
            try:
                async with session.post(
                    f"http://{address}/announcements", json=self._describe()
                ) as response:
                    answer = await response.json()
                    if answer.get("incarnation", 0) > self.incarnation:
                        self.incarnation = answer["incarnation"] + 1
                    self._name_registrar(address, answer.get("registrar", ""))
            except (ClientError, OSError, TimeoutError):
                self.registrars = [item for item in self.registrars if item[0] != address]

    def _name_registrar(self, address: str, vm: str) -> None:
        self.registrars = [(a, vm if a == address else name) for a, name in self.registrars]

    def _describe(self) -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "data_centre": self.data_centre,
            "slots": self.slots,
            "state": self.state,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "registrars": [name for _, name in self.registrars if name],
        }

    async def _choose_registrars(self, session: ClientSession) -> None:
        if len(self.registrars) >= min(REGISTRARS, len(self.entries)):
            return
        query = {"caller": self.address, "data_centre": self.data_centre}
        for entry in self.entries:
            try:
                async with session.get(f"http://{entry}/entries", params=query) as response:
                    named = (await response.json())["addresses"]
            except (ClientError, OSError, TimeoutError):
                continue
            known = {address for address, _ in self.registrars}
            fresh = [(address, "") for address in named if address not in known]
            self.registrars = (self.registrars + fresh)[:REGISTRARS]
            if len(self.registrars) >= REGISTRARS:
                return

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and leave."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        runner = web.ServerRunner(server)
        await runner.setup()
        host, _, port = self.address.rpartition(":")
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        async with ClientSession(timeout=ClientTimeout(total=1.0)) as session:
            started_at = time.monotonic()
            while not stop.is_set():
                is_warm = time.monotonic() - started_at >= self.cold
                self.state = "ready" if is_warm else "starting"
                await self.announce(session)
                pause = ANNOUNCE_SECONDS if is_warm else min(self.cold, ANNOUNCE_SECONDS) / 2
                try:
                    await asyncio.wait_for(stop.wait(), pause)
                except TimeoutError:
                    continue
            await self._drain(session)
        await runner.cleanup()

    async def _drain(self, session: ClientSession) -> None:
        self.state = "draining"
        drained_at = time.monotonic() + DRAIN_SECONDS
        while time.monotonic() < drained_at or self.busy:
            await self.announce(session)
            await asyncio.sleep(0.2)
        self.state = "leaving"
        await self.announce(session)


def run_target(
    service: str,
    address: str,
    data_centre: str,
    entries: str,
    record: str,
    slots: int = 3,
    work: float = 0.005,
    cold: float = 0.3,
) -> None:
    """Run a target; ``entries`` is a comma-separated list of entry addresses."""
    target = Target(
        service=service,
        address=address,
        data_centre=data_centre,
        entries=entries.split(",") if isinstance(entries, str) else list(entries),
        record=record,
        slots=slots,
        work=work,
        cold=cold,
    )
    asyncio.run(target.run())


if __name__ == "__main__":
    fire.Fire(run_target)
