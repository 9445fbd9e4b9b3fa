"""Runs a site's service and handles its signals."""

import asyncio
import gc
import resource
import signal
from collections.abc import Callable
from pathlib import Path

from mode import Service

from ..telemetry import create_clock, create_logger

# Tasks that remain after a service has stopped are cancelled this often, at this interval. One
# cancellation may get lost: ``asyncio.wait_for`` of Python 3.11 returns a result that arrives at
# the same moment.
END_ATTEMPTS = 5
END_INTERVAL_SECONDS = 0.1
# The memory in use is read after so many bytes were received. If it is above a threshold, free
# pieces are returned, at most once in the interval.
TRIM_CHECK_BYTES = 1 << 20
TRIM_INTERVAL_SECONDS = 0.01


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


def read_resident_bytes() -> int:
    """Return the memory that this process uses, or 0 where the platform has no ``/proc``."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()


class MemoryTrimmer:
    """Returns memory that was released, but that the allocator keeps, to the operating system.

    A crowd leaves free pieces between those in use, and a large body that follows needs new
    memory. It has no effect where the C library has no ``malloc_trim``.
    """

    def __init__(self):
        # Memory above which free pieces are returned.
        self.threshold_bytes = 1 << 62
        self._received = 0
        self._trimmed_at = float("-inf")
        self._trim: Callable[[int], int] | None = None

    def record(self, now: float, size: int) -> None:
        """Record received bytes, and return free memory if much is in use."""
        self._received += size
        if self._received < TRIM_CHECK_BYTES or now - self._trimmed_at < TRIM_INTERVAL_SECONDS:
            return
        self._received = 0
        if read_resident_bytes() > self.threshold_bytes:
            self._trimmed_at = now
            if self._trim is None:
                self._trim = _load_trim()
            self._trim(0)


def _load_trim() -> Callable[[int], int]:
    # Imported only here, as few processes ever need it.
    import ctypes

    return getattr(ctypes.CDLL(None), "malloc_trim", lambda padding: 0)
