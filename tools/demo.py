"""Demonstrates request handling, planned stops and crashes on a fleet of separate processes.

Exits with code 0 only if every step passed.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import uuid
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path

from caller import Caller, LoadGenerator, create_session
from fleet import launch_daemon

ROOT = Path(__file__).parent.parent
FLEET = [sys.executable, str(ROOT / "tools" / "fleet.py")]
CONFIGURATION = ROOT / "examples" / "rompeolas.json"
WAIT_SECONDS = 30.0
CALLERS = 4


class Demo:
    """One run of the demonstration."""

    def __init__(self, fleet: dict, session):
        self.fleet = fleet
        self.session = session
        self.failures: list[str] = []
        self.restarted: list[subprocess.Popen] = []

    def list_processes(self, role: str) -> list[dict]:
        """Return the processes of a role."""
        return [item for item in self.fleet["processes"] if item["role"] == role]

    def create_callers(self, count: int, entries: list[dict] | None = None) -> list[Caller]:
        """Return callers; each starts with the address of one entry."""
        entries = entries or self.list_processes("entry")
        return [
            Caller(self.session, f"caller-{n}", "norte-1", entries[n % len(entries)]["http"])
            for n in range(count)
        ]

    def check(self, step: str, passed: bool, detail: object = "") -> None:
        """Print the result of a step, and record the step if it failed."""
        print(f"  {'ok    ' if passed else 'FAILED'} {step}: {detail}", flush=True)
        if not passed:
            self.failures.append(step)

    def count_runs(self) -> Counter:
        """Return how often each idempotency key ran, from the records of the targets."""
        keys: Counter = Counter()
        for target in self.fleet["targets"]:
            for line in Path(target["record"]).read_text().splitlines():
                key = json.loads(line)["key"]
                if key:
                    keys[key] += 1
        return keys

    def run_command(self, *words: str) -> subprocess.CompletedProcess:
        """Run an operator command."""
        command = [sys.executable, "-m", "tarragonshelf", *words]
        return subprocess.run(
            [*command, "--settings", self.fleet["settings"]],
            capture_output=True,
            text=True,
            check=False,
        )

    async def run_command_in_thread(self, *words: str) -> subprocess.CompletedProcess:
        """Run an operator command in a thread, so that the load continues."""
        return await asyncio.to_thread(self.run_command, *words)

    async def find_leader(self) -> str:
        """Return the VM of the first control that reports itself as leader, or an empty string."""
        done = await self.run_command_in_thread("status", "--json")
        if done.returncode:
            return ""
        controls = json.loads(done.stdout)["controls"]
        leaders = [item["vm"] for item in controls if item["role"] == "leader"]
        return leaders[0] if leaders else ""

    async def wait_for(self, step: str, condition) -> bool:
        """Wait at most 30 s until a condition holds; record the step as failed otherwise."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            if await condition():
                return True
            await asyncio.sleep(0.2)
        self.check(step, False, f"not within {WAIT_SECONDS} s")
        return False

    @asynccontextmanager
    async def load(self):
        """Run a load while the block runs, then wait until its last requests are complete."""
        load = LoadGenerator(self.create_callers(CALLERS), "/rondas")
        running = asyncio.create_task(load.run())
        await asyncio.sleep(0.5)
        yield load
        load.stop()
        await running

    async def check_request_path(self) -> None:
        """Send a lookup, and an order with a resend at another entry, as a caller."""
        print("request path")
        status = await self.run_command_in_thread("status")
        print("    " + "\n    ".join(status.stdout.splitlines()[:7]))
        caller = self.create_callers(1)[0]
        entry = caller.entry
        async with self.session.get(
            f"http://{entry}/entries", params={"caller": "a", "data_centre": "norte-1"}
        ) as raw_response:
            answer = await raw_response.json()
        self.check("an entry returns entry addresses", bool(answer["addresses"]), answer)
        response = await caller.request("GET", "/rondas/boya-7")
        self.check("a lookup is answered", response.status == 200, response.body.decode())
        key = uuid.uuid4().hex
        first, second = (item["http"] for item in self.list_processes("entry")[:2])
        first_response = await caller.request("POST", "/repuestos", key=key, address=first)
        self.check("an order runs", first_response.outcome == "ran", first_response.body.decode())
        second_response = await caller.request("POST", "/repuestos", key=key, address=second)
        is_replayed = (
            second_response.outcome == "replayed" and second_response.body == first_response.body
        )
        self.check(
            "a resend at another entry gets the stored answer",
            is_replayed,
            second_response.outcome,
        )
        self.check("the target ran it once", self.count_runs()[key] == 1, self.count_runs()[key])

    async def check_planned_stops(self) -> None:
        """Check that no request fails when a process receives SIGTERM under load."""
        print("planned stops under load")
        leader = await self.find_leader()
        entry = self.list_processes("entry")[-1]
        control = next(item for item in self.list_processes("control") if item["vm"] == leader)
        target = self.fleet["targets"][0]
        for name, pid in (
            ("target", target["pid"]),
            (f"control {leader}, the leader,", control["pid"]),
            (f"entry {entry['vm']}", entry["pid"]),
        ):
            async with self.load() as load:
                os.kill(pid, signal.SIGTERM)
                await self.wait_for(f"{name} ends", lambda pid=pid: has_ended(pid))
                await asyncio.sleep(0.5)
            failed = [item for item in load.responses if item.status != 200]
            detail = (
                f"{len(load.responses)} requests, {len(load.orders)} orders;"
                f" {failed[:3] or 'all ran'}"
            )
            self.check(f"SIGTERM to {name} fails no request", not failed, detail)
        self.fleet["processes"].remove(entry)
        self.restart(control)

    def restart(self, item: dict) -> None:
        """Restart a process with its settings and its data folder."""
        process = launch_daemon(item["role"], Path(item["settings"]), Path(item["log"]))
        item["pid"] = process.pid
        self.restarted.append(process)

    async def check_kills(self) -> None:
        """Kill the leader, then a majority of the controls, and check requests in between."""
        print("crashes of controls")
        await self.wait_for("all controls are back", self.are_controls_current)
        leader = await self.find_leader()
        killed_leader = next(
            item for item in self.list_processes("control") if item["vm"] == leader
        )
        async with self.load() as load:
            os.kill(killed_leader["pid"], signal.SIGKILL)
            await asyncio.sleep(4)
        lookups = [response for _, response in load.lookups]
        failed = [item for item in lookups if item.status != 200]
        self.check("lookups are served without the leader", not failed, f"{len(lookups)} lookups")
        self.check_orders(load, "orders run once or are refused as not-run while the leader fails")
        remaining = [item for item in self.list_processes("control") if item is not killed_leader]
        majority = len(self.list_processes("control")) // 2
        killed = remaining[:majority]
        for item in killed:
            os.kill(item["pid"], signal.SIGKILL)
        await asyncio.sleep(1)
        caller = self.create_callers(1)[0]
        response = await caller.request("GET", "/rondas/boya-8")
        self.check(
            "lookups are served without a majority", response.status == 200, response.status
        )
        key = uuid.uuid4().hex
        refused = await caller.request("POST", "/firmas", key=key)
        is_not_run = refused.outcome == "not-run" and self.count_runs()[key] == 0
        self.check(
            "an order is refused as not-run and did not run", is_not_run, refused.body.decode()
        )
        for item in (killed_leader, *killed):
            self.restart(item)

        async def is_served() -> bool:
            return (await caller.request("POST", "/firmas", key=key)).status == 200

        if await self.wait_for("the order runs after the majority is back", is_served):
            runs = self.count_runs()[key]
            self.check("the order ran once after the majority was back", runs == 1, f"{runs} run")

    def check_orders(self, load: LoadGenerator, step: str) -> None:
        """Check that the outcomes reported to callers match the records of the targets."""
        runs = self.count_runs()
        mismatches = [
            (key, response.outcome, runs[key])
            for key, response in load.orders.items()
            if runs[key] > 1
            or (response.outcome == "not-run" and runs[key])
            or (response.outcome == "ran" and runs[key] != 1)
        ]
        reported = Counter(response.outcome for response in load.orders.values())
        self.check(step, not mismatches, mismatches or dict(reported))

    async def are_controls_current(self) -> bool:
        """Return whether every control is in contact with a leader."""
        done = await self.run_command_in_thread("status", "--json")
        if done.returncode:
            return False
        controls = json.loads(done.stdout)["controls"]
        expected = len(self.list_processes("control"))
        return sum(item["is_current"] for item in controls) == expected


async def has_ended(pid: int) -> bool:
    """Return whether a process has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return True
    return stat.rpartition(")")[2].split()[0] == "Z"


async def run_steps(fleet: dict) -> list[str]:
    """Run all steps and return the failed ones."""
    async with create_session() as session:
        demo = Demo(fleet, session)
        try:
            await demo.check_request_path()
            await demo.check_planned_stops()
            await demo.check_kills()
        finally:
            for process in demo.restarted:
                process.terminate()
        return demo.failures


def main() -> int:
    """Start a fleet, run all steps and stop the fleet; return the exit code."""
    command = [*FLEET, "--configuration", str(CONFIGURATION), "--hold"]
    command += ["--controls", "3", "--entries", "4", "--targets", "12"]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        if not line:
            print("the fleet did not start")
            return 1
        failures = asyncio.run(run_steps(json.loads(line)))
    finally:
        process.stdin.close()
        process.wait()
    print("all steps passed" if not failures else f"{len(failures)} steps failed: {failures}")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(main())
