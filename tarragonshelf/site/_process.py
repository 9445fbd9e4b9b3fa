"""Runs a site's service and handles its signals."""

import asyncio
import gc
import signal
from collections.abc import Callable

from mode import Service


def run_site_service(create: Callable[[], Service], reload: Callable[[Service], None]) -> int:
    """Run the service that ``create`` returns until SIGTERM or SIGINT; return the exit code.

    ``reload`` is called with the service on SIGHUP.
    """
    return asyncio.run(_run(create, reload))


async def _run(create: Callable[[], Service], reload: Callable[[Service], None]) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    service = create()
    loop.add_signal_handler(signal.SIGHUP, reload, service)
    await service.maybe_start()
    gc.freeze()
    gc.enable()
    stop_requested = asyncio.create_task(stop.wait())
    crashed = asyncio.create_task(service.wait_until_stopped())
    await asyncio.wait({stop_requested, crashed}, return_when=asyncio.FIRST_COMPLETED)
    await service.stop()
    crashed.cancel()
    return 1 if service.crashed else 0


def read_time() -> float:
    """Return the event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
