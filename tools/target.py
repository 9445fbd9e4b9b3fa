"""Simulated target that runs requests and can be switched into failure modes.

It announces itself to entries, has a cold start, drains on SIGTERM, sheds requests when all of
its slots are in use, and writes each request that it runs to a file before it answers.
``POST /control`` with ``{"mode": ...}`` makes it hang, crash, flap, slow down or fail. Its health
check reports it as healthy in every mode, which makes these failures gray.
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
    """HTTP server of one simulated target.

    Parameters
    ----------
    service, data_centre, address : str
        Announced service, data centre and HTTP address.
    entries : list of str
        Addresses of entries that are asked for the addresses of registrars.
    record : str
        File that receives a JSON line for each request that is run.
    slots : int
        Maximum number of concurrent requests.
    work, cold : float
        Processing time of a request and duration of the cold start, in seconds.
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
        self.running = 0
        self.registrars: list[tuple[str, str]] = []

    async def handle(self, request: web.Request) -> web.Response:
        """Answer health checks and mode changes, and run requests or fail as the mode says."""
        if request.path == "/health":
            return web.json_response({"healthy": True, "load": 0.1})
        if request.path == "/control":
            self.mode = (await request.json())["mode"]
            return web.json_response({"mode": self.mode})
        body = await request.read()
        if self.running >= self.slots:
            return web.json_response({"shed": True}, status=503)
        self.running += 1
        try:
            return await self._run(request, body)
        finally:
            self.running -= 1

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
        """Send an announcement to each registrar, after replacing those that failed before."""
        await self._choose_registrars(session)
        self.sequence += 1
        for address, _ in list(self.registrars):
            try:
                async with session.post(
                    f"http://{address}/announcements", json=self._create_announcement()
                ) as response:
                    answer = await response.json()
                    if answer.get("incarnation", 0) > self.incarnation:
                        self.incarnation = answer["incarnation"] + 1
                    self._set_registrar_name(address, answer.get("registrar", ""))
            except (ClientError, OSError, TimeoutError):
                self.registrars = [item for item in self.registrars if item[0] != address]

    def _set_registrar_name(self, address: str, vm: str) -> None:
        self.registrars = [(a, vm if a == address else name) for a, name in self.registrars]

    def _create_announcement(self) -> dict:
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
                    addresses = (await response.json())["addresses"]
            except (ClientError, OSError, TimeoutError):
                continue
            known_addresses = {address for address, _ in self.registrars}
            new_registrars = [
                (address, "") for address in addresses if address not in known_addresses
            ]
            self.registrars = (self.registrars + new_registrars)[:REGISTRARS]
            if len(self.registrars) >= REGISTRARS:
                return

    async def run(self) -> None:
        """Serve and announce until SIGTERM, then drain and announce the departure."""
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
        while time.monotonic() < drained_at or self.running:
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
    """Run a simulated target; ``entries`` is a comma-separated list of entry addresses."""
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
