"""Runs a site's service and handles its signals."""

import asyncio
import gc
import signal
from collections.abc import Callable

from mode import Service

from ..telemetry import create_clock, create_logger

# Tasks that remain after a service has stopped are cancelled this often, at this interval. One
# cancellation may get lost: ``asyncio.wait_for`` of Python 3.11 returns a result that arrives at
# the same moment.
END_ATTEMPTS = 5
END_INTERVAL_SECONDS = 0.1


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
    await _end_tasks()
    return 1 if service.crashed else 0


async def _end_tasks() -> None:
    """Cancel all other tasks until they have ended, and log those that needed a second time."""
    for attempt in range(END_ATTEMPTS):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if not tasks:
            return
        if attempt:
            names = sorted(task.get_coro().__qualname__ for task in tasks)
            logger = create_logger(vm="", role="process", clock=create_clock())
            logger.msg("tasks_left", attempt=attempt, tasks=names)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=END_INTERVAL_SECONDS)


def read_time() -> float:
    """Return the event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
