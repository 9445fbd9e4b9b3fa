"""Main loop of a process that runs one service."""

import asyncio
import signal

from mode import Service


def run_service(create_service) -> int:
    """Run a service until it stops or the process gets SIGTERM or SIGINT; return the exit code.

    Parameters
    ----------
    create_service : callable
        Returns the service; called in the event loop.
    """
    return asyncio.run(_run(create_service))


async def _run(create_service) -> int:
    service: Service = create_service()
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await service.maybe_start()
    stop_task = asyncio.create_task(stop_requested.wait())
    service_task = asyncio.create_task(service.wait_until_stopped())
    await asyncio.wait({stop_task, service_task}, return_when=asyncio.FIRST_COMPLETED)
    await service.stop()
    service_task.cancel()
    return 1 if service.crashed else 0
