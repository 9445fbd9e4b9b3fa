"""Compares an entry with a minimal aiohttp proxy, in alternating rounds of one run.

``python -m benchmarks.path`` prints JSON: latency added to a direct request, processor time per
request, latency at increasing request rates, memory per connection, and orders per second.
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
REQUESTS_PER_SECOND = 230
ROUND_SECONDS = 6.0
ROUNDS = 3
MAXIMUM_CONNECTIONS = 60
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ORDER_SECONDS = 5.0
TARGET_OPTIONS = ("--slots", "1000", "--work", "0.002")
ORDER_CALLERS = 32
TESTED_RATES = (400, 600, 800, 1000, 1200)
MAXIMUM_P99_SECONDS = 0.1


def read_processor_seconds(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def compute_quantile(values: list[float], share: float) -> float:
    """Return a quantile in milliseconds of values in seconds."""
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def run_rate(address: str, rate: float, seconds: float, path: str) -> list[float]:
    """Send requests at a constant rate; return the latencies in seconds of successful ones."""
    latencies: list[float] = []
    connector = TCPConnector(limit=MAXIMUM_CONNECTIONS)
    async with ClientSession(connector=connector, timeout=ClientTimeout(total=10)) as session:

        async def send(started: float) -> None:
            async with session.get(f"http://{address}{path}") as response:
                await response.read()
                if response.status == 200:
                    latencies.append(time.perf_counter() - started)

        begin = time.perf_counter()
        tasks = []
        for number in range(int(rate * seconds)):
            send_at = begin + number / rate
            await asyncio.sleep(max(0.0, send_at - time.perf_counter()))
            tasks.append(asyncio.create_task(send(time.perf_counter())))
        await asyncio.gather(*tasks, return_exceptions=True)
    return latencies


async def measure_round(address: str, pid: int | None, path: str) -> dict:
    """Return the latencies of one round, and the processor time of the process ``pid``."""
    before = read_processor_seconds(pid) if pid else 0.0
    latencies = await run_rate(address, REQUESTS_PER_SECOND, ROUND_SECONDS, path)
    spent = read_processor_seconds(pid) - before if pid else 0.0
    return {
        "answered": len(latencies),
        "median_ms": compute_quantile(latencies, 0.5),
        "p99_ms": compute_quantile(latencies, 0.99),
        "processor_ms": 1000 * spent / max(1, len(latencies)),
    }


async def compare(entry: dict, passthrough: tuple[str, int], target: str) -> dict:
    """Measure direct requests, the pass-through and the entry in alternating rounds.

    Alternation spreads changes of the machine's load over all three; figures are medians.
    """
    sides = {"direct": (target, None), "bare": passthrough, "entry": (entry["http"], entry["pid"])}
    rounds: dict[str, list[dict]] = {name: [] for name in sides}
    for _ in range(ROUNDS):
        for name, (address, pid) in sides.items():
            rounds[name].append(await measure_round(address, pid, "/archivo/7"))
    result = {
        name: {key: statistics.median(item[key] for item in items) for key in items[0]}
        for name, items in rounds.items()
    }
    direct, via_entry = result["direct"], result["entry"]
    return result | {
        "rounds": rounds,
        "added_median_ms": via_entry["median_ms"] - direct["median_ms"],
        "added_p99_ms": via_entry["p99_ms"] - direct["p99_ms"],
        "processor_ratio": via_entry["processor_ms"] / result["bare"]["processor_ms"],
    }


async def measure_rates(address: str) -> dict:
    """Return answered share and p99 by request rate, up to the first rate that is not sustained.

    A rate is sustained if 99% of the requests are answered and their p99 is within the bound.
    """
    results = {}
    for rate in TESTED_RATES:
        latencies = await run_rate(address, rate, 3.0, "/archivo/7")
        p99 = compute_quantile(latencies, 0.99) if latencies else float("inf")
        results[rate] = {"answered": len(latencies) / (rate * 3.0), "p99_ms": p99}
        if results[rate]["answered"] < 0.99 or p99 > 1000 * MAXIMUM_P99_SECONDS:
            break
    return results


async def measure_connections(entry: dict) -> float:
    """Return the memory in bytes per idle caller connection, the mean of 1,000 connections."""
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
    """Return the throughput and latency of orders; each caller places one order at a time."""
    latencies: list[float] = []
    outcomes: dict[str, int] = {}
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector, timeout=ClientTimeout(total=20)) as session:
        end = time.perf_counter() + ORDER_SECONDS

        async def place_orders(number: int) -> None:
            address = entries[number % len(entries)]["http"]
            while time.perf_counter() < end:
                started = time.perf_counter()
                headers = {"Idempotency-Key": uuid.uuid4().hex}
                async with session.post(f"http://{address}/rondas", headers=headers) as response:
                    await response.read()
                    outcome = response.headers["Tarragonshelf-Outcome"]
                outcomes[outcome] = outcomes.get(outcome, 0) + 1
                if outcome == "ran":
                    latencies.append(time.perf_counter() - started)

        await asyncio.gather(*(place_orders(number) for number in range(ORDER_CALLERS)))
    return {
        "orders_per_second": len(latencies) / ORDER_SECONDS,
        "median_ms": compute_quantile(latencies, 0.5),
        "p99_ms": compute_quantile(latencies, 0.99),
        "outcomes": outcomes,
    }


def start_passthrough(target: str) -> tuple[subprocess.Popen, str]:
    """Start the pass-through in front of a target; return its process and its address."""
    command = [sys.executable, str(ROOT / "benchmarks" / "passthrough.py"), target]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return process, process.stdout.readline().strip()


def measure_all() -> dict:
    """Measure lookups with three controls, and orders with three and with five."""
    result: dict = {"rate": REQUESTS_PER_SECOND}
    with start_fleet(controls=3, entries=3, targets=16, options=TARGET_OPTIONS) as fleet:
        target = next(t["address"] for t in fleet["targets"] if t["service"] == "archivo")
        entry = list_processes(fleet, "entry")[0]
        process, address = start_passthrough(target)
        try:
            result["lookups"] = asyncio.run(compare(entry, (address, process.pid), target))
            result["held"] = asyncio.run(measure_rates(entry["http"]))
            result["held_bare"] = asyncio.run(measure_rates(address))
            result["connection_bytes"] = asyncio.run(measure_connections(entry))
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait()
        result["orders_3_controls"] = asyncio.run(measure_orders(list_processes(fleet, "entry")))
    with start_fleet(controls=5, entries=3, targets=16, options=TARGET_OPTIONS) as fleet:
        result["orders_5_controls"] = asyncio.run(measure_orders(list_processes(fleet, "entry")))
    return result


if __name__ == "__main__":
    print(json.dumps(measure_all(), indent=1))
