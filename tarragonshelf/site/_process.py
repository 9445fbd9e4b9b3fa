"""Running a site's service until it is told to stop, with reloads on the way."""

import asyncio
import gc
import signal
from collections.abc import Callable

from mode import Service


def run_site_service(create: Callable[[], Service], reload: Callable[[Service], None]) -> int:
    """Run the service that ``create`` makes until SIGTERM; ``reload`` is called on SIGHUP."""
    return asyncio.run(_run(create, reload))


async def _run(create: Callable[[], Service], reload: Callable[[Service], None]) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    service = create()
    loop.add_signal_handler(signal.SIGHUP, reload, service)
    await service.maybe_start()
    gc.freeze()
    gc.enable()
    stopping = asyncio.create_task(stop.wait())
    crashed = asyncio.create_task(service.wait_until_stopped())
    await asyncio.wait({stopping, crashed}, return_when=asyncio.FIRST_COMPLETED)
    await service.stop()
    crashed.cancel()
    return 1 if service.crashed else 0


def read_time() -> float:
    """Return the event loop's time in seconds."""
    return asyncio.get_running_loop().time()
