"""An entry against a bare aiohttp pass-through, alternating in one run.

``python -m benchmarks.path`` prints JSON: latency added to a direct request, processor time a
request, the highest rate held, memory of connections, and orders a second.
"""

import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import time
import uuid
from pathlib import Path

from aiohttp import ClientSession, ClientTimeout, TCPConnector

from tests.processes import list_processes, start_fleet

ROOT = Path(__file__).parent.parent
RATE = 230
SECONDS = 6.0
ROUNDS = 3
CONNECTIONS = 60
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ORDER_SECONDS = 5.0
TARGETS = ("--slots", "1000", "--work", "0.002")
ORDER_CALLERS = 32
HELD_RATES = (400, 600, 800, 1000, 1200)
HELD_P99_SECONDS = 0.1


def read_processor_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_memory(pid: int) -> int:
    """Return the resident bytes of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def compute_quantile(values: list[float], share: float) -> float:
    """Return a quantile of some values, in milliseconds."""
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def run_rate(address: str, rate: float, seconds: float, path: str) -> list[float]:
    """Send requests at an even rate and return the seconds that each took."""
    taken: list[float] = []
    connector = TCPConnector(limit=CONNECTIONS)
    async with ClientSession(connector=connector, timeout=ClientTimeout(total=10)) as session:

        async def send(started: float) -> None:
            async with session.get(f"http://{address}{path}") as response:
                await response.read()
                if response.status == 200:
                    taken.append(time.perf_counter() - started)

        begin = time.perf_counter()
        tasks = []
        for number in range(int(rate * seconds)):
            due = begin + number / rate
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            tasks.append(asyncio.create_task(send(time.perf_counter())))
        await asyncio.gather(*tasks, return_exceptions=True)
    return taken


async def measure_side(address: str, pid: int | None, path: str) -> dict:
    """Return latencies and processor time of one round."""
    before = read_processor_seconds(pid) if pid else 0.0
    taken = await run_rate(address, RATE, SECONDS, path)
    spent = read_processor_seconds(pid) - before if pid else 0.0
    return {
        "answered": len(taken),
        "median_ms": compute_quantile(taken, 0.5),
        "p99_ms": compute_quantile(taken, 0.99),
        "processor_ms": 1000 * spent / max(1, len(taken)),
    }


async def compare(entry: dict, bare: tuple[str, int], target: str) -> dict:
    """Alternate between a direct request, the bare pass-through and the entry."""
    sides = {"direct": (target, None), "bare": bare, "entry": (entry["http"], entry["pid"])}
    rounds: dict[str, list[dict]] = {name: [] for name in sides}
    for _ in range(ROUNDS):
        for name, (address, pid) in sides.items():
            rounds[name].append(await measure_side(address, pid, "/archivo/7"))
    result = {
        name: {key: statistics.median(item[key] for item in items) for key in items[0]}
        for name, items in rounds.items()
    }
    direct, through = result["direct"], result["entry"]
    return result | {
        "rounds": rounds,
        "added_median_ms": through["median_ms"] - direct["median_ms"],
        "added_p99_ms": through["p99_ms"] - direct["p99_ms"],
        "processor_ratio": through["processor_ms"] / result["bare"]["processor_ms"],
    }


async def find_held_rate(address: str) -> dict:
    """Return the highest rate with all answered and a p99 within the bound."""
    held = {}
    for rate in HELD_RATES:
        taken = await run_rate(address, rate, 3.0, "/archivo/7")
        p99 = compute_quantile(taken, 0.99) if taken else float("inf")
        held[rate] = {"answered": len(taken) / (rate * 3.0), "p99_ms": p99}
        if held[rate]["answered"] < 0.99 or p99 > 1000 * HELD_P99_SECONDS:
            break
    return held


async def measure_connections(entry: dict) -> float:
    """Return the bytes that each idle caller connection takes, from 1,000 of them."""
    before = read_memory(entry["pid"])
    host, _, port = entry["http"].rpartition(":")
    writers = []
    for _ in range(1000):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /entries HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"}")
        writers.append(writer)
    spent = read_memory(entry["pid"]) - before
    for writer in writers:
        writer.close()
    return spent / 1000


async def measure_orders(entries: list[dict]) -> dict:
    """Return orders a second and their latency, placed by callers one after another each."""
    taken: list[float] = []
    outcomes: dict[str, int] = {}
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector, timeout=ClientTimeout(total=20)) as session:
        end = time.perf_counter() + ORDER_SECONDS

        async def place(number: int) -> None:
            address = entries[number % len(entries)]["http"]
            while time.perf_counter() < end:
                started = time.perf_counter()
                headers = {"Idempotency-Key": uuid.uuid4().hex}
                async with session.post(f"http://{address}/rondas", headers=headers) as response:
                    await response.read()
                    outcome = response.headers["Tarragonshelf-Outcome"]
                outcomes[outcome] = outcomes.get(outcome, 0) + 1
                if outcome == "ran":
                    taken.append(time.perf_counter() - started)

        await asyncio.gather(*(place(number) for number in range(ORDER_CALLERS)))
    return {
        "orders_per_second": len(taken) / ORDER_SECONDS,
        "median_ms": compute_quantile(taken, 0.5),
        "p99_ms": compute_quantile(taken, 0.99),
        "outcomes": outcomes,
    }


def start_bare(target: str) -> tuple[subprocess.Popen, str]:
    """Start the bare pass-through before a target."""
    command = [sys.executable, str(ROOT / "benchmarks" / "passthrough.py"), target]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return process, process.stdout.readline().strip()


def measure_all() -> dict:
    """Measure lookups before three controls, and orders before three and five."""
    result: dict = {"rate": RATE}
    with start_fleet(controls=3, entries=3, targets=16, options=TARGETS) as fleet:
        target = next(t["address"] for t in fleet["targets"] if t["service"] == "archivo")
        entry = list_processes(fleet, "entry")[0]
        process, address = start_bare(target)
        try:
            result["lookups"] = asyncio.run(compare(entry, (address, process.pid), target))
            result["held"] = asyncio.run(find_held_rate(entry["http"]))
            result["held_bare"] = asyncio.run(find_held_rate(address))
            result["connection_bytes"] = asyncio.run(measure_connections(entry))
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait()
        result["orders_3_controls"] = asyncio.run(measure_orders(list_processes(fleet, "entry")))
    with start_fleet(controls=5, entries=3, targets=16, options=TARGETS) as fleet:
        result["orders_5_controls"] = asyncio.run(measure_orders(list_processes(fleet, "entry")))
    return result


if __name__ == "__main__":
    print(json.dumps(measure_all(), indent=1))
