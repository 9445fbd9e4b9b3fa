"""Running a service as a process until it is told to stop."""

import asyncio
import signal

from mode import Service


def run_service(create) -> int:
    """Run the service that ``create`` makes until SIGTERM or SIGINT; return the exit code."""
    return asyncio.run(_run(create))


async def _run(create) -> int:
    service: Service = create()
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await service.maybe_start()
    stopping = asyncio.create_task(stop.wait())
    crashed = asyncio.create_task(service.wait_until_stopped())
    await asyncio.wait({stopping, crashed}, return_when=asyncio.FIRST_COMPLETED)
    await service.stop()
    crashed.cancel()
    return 1 if service.crashed else 0
