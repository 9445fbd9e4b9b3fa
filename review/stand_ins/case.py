"""Runs a case within its time, and ends what it started."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from .backend import Backend
from .client import Client
from .platform import Operator, Platform, Record

HOST = "check.example"
MAXIMUM_SECONDS = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


@dataclass(slots=True)
class Case:
    """The parts of a case."""

    platform: Platform
    record: Record
    random: Random
    backends: list[Backend] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)

    async def start_backends(self, service: str, zones: list[str], **options) -> list[Backend]:
        """Start one backend of a service in each zone of the list, and announce it."""
        started = []
        for zone in zones:
            backend = Backend(
                f"i-{self.random.getrandbits(32):08x}",
                service,
                zone,
                self.platform.backend_host,
                self.platform.list_controls,
                random=self.random,
                **options,
            )
            await backend.start()
            self.record.note(f"{backend.name} of {service} starts in {zone}")
            self.backends.append(backend)
            started.append(backend)
        return started

    async def begin(self, routes: list[list]) -> None:
        """Send the first configuration, and wait until all entries are ready."""
        if not await Operator(self.platform, HOST).put(1, routes):
            raise RuntimeError("the first configuration was not acknowledged")
        if not await self.platform.wait_until_ready():
            raise RuntimeError("not all entries were ready")

    def create_client(self, zone: str) -> Client:
        """Return a client in a zone."""
        region = self.platform.zones[zone]
        client = Client(self.platform.list_directories(), HOST, zone, region, self.random)
        self.clients.append(client)
        return client

    def stop(self) -> None:
        """End all backends, then all processes, and write the record."""
        for client in self.clients:
            client.close()
        for backend in self.backends:
            if backend.is_up:
                backend.crash()
            for item in backend.exchanges:
                self.record.note(
                    f"{item.backend} {item.outcome} {item.request_id} {item.path}"
                    f" deadline {item.deadline_ms} ms",
                    item.at,
                )
        self.platform.stop()
        self.record.write()


def run_case(
    folder: str,
    play: Callable[[Case], Awaitable[bool]],
    *,
    controls: list[str],
    entries: list[str],
    zones: dict[str, str],
    has_trouble: bool,
) -> None:
    """Play a case and exit with 1 if its rule was broken, 0 if it held, 2 if it did not run."""
    sys.exit(asyncio.run(_run(Path(folder), play, controls, entries, zones, has_trouble)))


async def _run(folder: Path, play, controls, entries, zones, has_trouble) -> int:
    record = Record(folder)
    platform = Platform(controls, entries, zones, record)
    seed = int(os.environ.get("SEED", "0")) or Random().getrandbits(30)
    record.note(f"seed {seed}, disruption {'on' if has_trouble else 'off'}", show=True)
    case = Case(platform, record, Random(seed))
    try:
        platform.start_all()
        is_broken = await asyncio.wait_for(play(case), MAXIMUM_SECONDS)
    except (OSError, RuntimeError, TimeoutError) as error:
        record.note(f"not run: {error!r}", show=True)
        return NOT_RUN
    finally:
        case.stop()
        await asyncio.sleep(0.05)
    print("the rule was broken" if is_broken else "the rule held", flush=True)
    return BROKEN if is_broken else HELD
