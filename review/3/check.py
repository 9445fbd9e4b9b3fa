"""A backend leaves at a control that has just lost its disk."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins import Case, run_case

DRAIN_SECONDS = 2.5
# The backend serves for ``drain`` after the confirmation and a little longer, at times many
# seconds, and then exits.
SERVING_SECONDS = 9.0
# Without the disruption, all else is the same.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"z0": "r0", "z1": "r0", "z2": "r1"}
ROUTES = [
    ["r-orders", "/orders/", "unsafe", "2500ms", "1000ms", "orders", 2],
    ["r-lists", "/lists/", "safe", "2500ms", "1000ms", "lists", 2],
]
CLIENTS = 6
CONTROL = "control-3"
OUTAGE_SECONDS = 3.0
# After the start of a control, machines are in touch again once this time has passed.
STABLE_WINDOW_SECONDS = 3.0
LEAVE_DELAY_SECONDS = float(os.environ.get("LEAVE_DELAY", "0.5"))


async def send_orders(case: Case, number: int, answers: list) -> None:
    """Send one order after another."""
    client = case.create_client(f"z{number % 3}")
    while True:
        path = f"/orders/{number}/{len(answers)}"
        answer = await client.send("POST", path, body=b"ring" * 20, deadline_ms=2500)
        answers.append(answer)
        case.record.note(
            f"client {number} sent {answer.request_id} to {answer.address}: {answer.status}"
            f" after {answer.seconds:.3f} s {answer.problem}",
            answer.sent_at,
        )
        await asyncio.sleep(0.1)


async def play(case: Case) -> bool:
    """Return whether requests reach the backend later than ``drain`` after the confirmation."""
    await case.start_backends("lists", ["z0", "z1", "z2"], work_seconds=0.1)
    backends = await case.start_backends("orders", ["z0", "z1", "z2"], work_seconds=0.2)
    await case.begin(ROUTES)
    answers: list = []
    clients = [asyncio.create_task(send_orders(case, n, answers)) for n in range(CLIENTS)]
    await asyncio.sleep(6.0)
    leaving = backends[2]
    control = case.platform.get_control(CONTROL)
    in_touch_at = 0.0
    if HAS_TROUBLE:
        case.platform.kill(CONTROL)
        case.platform.wipe(CONTROL)
        await asyncio.sleep(OUTAGE_SECONDS)
        case.platform.start(CONTROL)
        in_touch_at = time.monotonic() + STABLE_WINDOW_SECONDS
        while not case.platform.is_listening(control):
            await asyncio.sleep(0.02)
        await asyncio.sleep(LEAVE_DELAY_SECONDS)
    else:
        await asyncio.sleep(OUTAGE_SECONDS)
    # Its planned shutdown: this backend does not say that it drains, it leaves.
    leaving.stop_announcing()
    begun = time.monotonic()
    confirmed = await leaving.leave(control)
    if confirmed is None:
        raise RuntimeError("no control confirmed that the backend leaves")
    node, confirmed_at = confirmed
    case.record.note(
        f"{node} confirmed after {confirmed_at - begun:.3f} s that {leaving.name} leaves",
        confirmed_at,
        show=True,
    )
    await asyncio.sleep(SERVING_SECONDS)
    leaving.crash()
    ended_at = time.monotonic()
    case.record.note(f"{leaving.name} exits", ended_at)
    await asyncio.sleep(3.0)
    for task in clients:
        task.cancel()
    late_after = max(confirmed_at + DRAIN_SECONDS, in_touch_at)
    arrived = {item.request_id for item in leaving.exchanges if item.at > late_after}
    late = [item for item in answers if item.request_id in arrived and item.sent_at > late_after]
    cut = [item for item in late if item.status != 200]
    case.record.note(
        f"{len(late)} requests that were sent later than {DRAIN_SECONDS} s after the confirmation"
        f" reached {leaving.name}, {len(cut)} of them failed; without excuse: 0 may",
        show=True,
    )
    return bool(late)


if __name__ == "__main__":
    run_case(
        str(Path(__file__).parent),
        play,
        controls=["z0", "z1", "z2"],
        entries=["z0", "z1", "z2"],
        zones=ZONES,
        has_trouble=HAS_TROUBLE,
    )
