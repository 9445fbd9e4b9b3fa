"""Two controls are asked to stop, a version is acknowledged, and two others lose their disks."""

import asyncio
import json
import os
import signal
import time
from pathlib import Path

from review.stand_ins_3.case import HAS_TROUBLE, create_document, create_route, run_case
from review.stand_ins_3.http import call

ZONES = {
    "amman-a": "amman",
    "amman-b": "amman",
    "irbid-a": "irbid",
    "irbid-b": "irbid",
    "aqaba-a": "aqaba",
    "aqaba-b": "aqaba",
}
# Bounds of the site: recover, three times stable_window, and grace.
RECOVER_SECONDS = 15.0
READING_SECONDS = 12.0
GRACE_SECONDS = 6.0
# Traffic starts this long after the machines.
START_SECONDS = 12.0
STEADY_SECONDS = 8.0
DOWN_SECONDS = 0.9
OLD_VERSION, NEW_VERSION = 1, 2
# "stops" or "disks" plays one of the two disruptions alone.
ONLY = os.environ.get("ONLY", "")


def create_version(version):
    """Return a configuration whose second route only this version has."""
    routes = [
        create_route("r-1", "/control/", "unsafe", "sessiond"),
        create_route(f"r-{version}", f"/v{version}/", "unsafe", "sessiond"),
    ]
    return create_document(version, routes, ["sessiond"])


async def wait_for_exit(case, vm):
    """Wait for the end of a process that was asked to stop; after ``grace`` it is killed."""
    process = case.site.processes[vm]
    until = time.monotonic() + GRACE_SECONDS
    while process.poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.02)
    if process.poll() is None:
        case.journal.note(f"{vm} is killed after grace")
        process.kill()
    await asyncio.to_thread(process.wait)
    case.journal.note(f"{vm} has ended")


async def start_again(case, vm):
    """Start a process after the time that it is down."""
    await asyncio.sleep(DOWN_SECONDS)
    case.site.start_process(vm)
    case.journal.note(f"{vm} starts again")


async def read_all(case):
    """Read the configuration at all controls and count the answers."""
    read = {}
    until = time.monotonic() + READING_SECONDS
    while time.monotonic() < until:
        for address in case.site.call_addresses():
            answer = await call(address, "GET", "/v1/config/get", seconds=1.0)
            text = f"{answer.status} {answer.problem}".strip()
            if answer.status == 200:
                text = f"200 {json.loads(answer.body)['version']}"
                if json.loads(answer.body) != json.loads(create_version(NEW_VERSION)):
                    text += " with other content"
            case.journal.note(f"read at {address[0]}: {text}")
            read[text] = read.get(text, 0) + 1
        await asyncio.sleep(0.5)
    return read


async def play(case):
    """Play the case and return the violations."""
    case.site.start()
    await case.add_backend("sessiond", "amman-a", 0)
    await case.put(create_version(OLD_VERSION), seconds=30)
    await asyncio.sleep(START_SECONDS + STEADY_SECONDS)
    stopped, wiped = case.site.controls[4:], case.site.controls[:2]
    starts = []
    if HAS_TROUBLE and ONLY != "disks":
        for vm in stopped:
            case.journal.note(f"{vm} gets SIGTERM")
            case.site.signal(vm, signal.SIGTERM)
        await asyncio.gather(*(wait_for_exit(case, vm) for vm in stopped))
        starts += [asyncio.create_task(start_again(case, vm)) for vm in stopped]
    await case.put(create_version(NEW_VERSION))
    if HAS_TROUBLE and ONLY != "stops":
        for vm in wiped:
            case.journal.note(f"{vm} loses its disk")
            case.site.signal(vm, signal.SIGKILL)
        for vm in wiped:
            await asyncio.to_thread(case.site.processes[vm].wait)
            case.site.lose_disk(vm)
        starts += [asyncio.create_task(start_again(case, vm)) for vm in wiped]
    await asyncio.gather(*starts)
    case.journal.note("all processes are back")
    await asyncio.sleep(RECOVER_SECONDS)
    read = await read_all(case)
    if f"200 {NEW_VERSION:08x}" in read and not any(" with " in text for text in read):
        return []
    return [
        f"CONFIG: version {NEW_VERSION:08x} was acknowledged; later than {RECOVER_SECONDS:g} s "
        f"after all were back, reads gave {read}"
    ]


if __name__ == "__main__":
    options = {"controls": 6, "entries": 1, "zones": ZONES, "tolerance": 2}
    run_case(Path(__file__).parent / "record.txt", play, **options)
