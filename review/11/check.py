"""A ping of another writer, without its version, moves a backend to another service."""

import asyncio
import time
from pathlib import Path

from review.stand_ins_3.case import HAS_TROUBLE, create_document, create_route, run_case
from review.stand_ins_3.http import call_json

SERVICES = {"/termin/": "termin-buch", "/anzahlung/": "anzahlung"}
REQUESTS = 30


async def send_orders(case, phase):
    """Send orders on both routes, one after another, by both entries."""
    for number in range(REQUESTS):
        for prefix in SERVICES:
            vm = case.site.entries[number % len(case.site.entries)]
            request_id = f"{phase}-{SERVICES[prefix]}-{number}"
            await case.send(vm, "POST", f"{prefix}{number}", request_id, body=b"order")


async def play(case):
    """Play the case and return the violations."""
    routes = [
        create_route(f"r-{name}", prefix, "unsafe", name) for prefix, name in SERVICES.items()
    ]
    backends = [
        ("termin-buch", "norte-a", {}),
        ("termin-buch", "centro-a", {}),
        ("anzahlung", "centro-a", {}),
        ("anzahlung", "sur-a", {}),
    ]
    await case.start(create_document(1, routes, list(SERVICES.values())), backends)
    await send_orders(case, "before")
    if HAS_TROUBLE:
        named = case.backends[0]
        ping = {
            "address": f"{named.address[0]}:{named.address[1]}",
            "born": int(time.time() * 1000),
            # ``version`` is missing here.
            "info": {"service": "anzahlung", "zone": named.zone, "slots": 3},
            "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"},
        }
        path = f"/v1/instances/{named.identity}/heartbeat"
        answer = await call_json(case.site.call_addresses()[0], path, ping)
        case.journal.note(f"ping of another writer for {named.identity}: {answer.status}")
    await asyncio.sleep(3.0)
    await send_orders(case, "after")
    return [
        f"ROUTE: {run.request_id} {run.path} was run by {run.backend.identity} of "
        f"{run.backend.service}"
        for run in case.journal.runs
        if SERVICES[f"/{run.path.split('/')[1]}/"] != run.backend.service
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
