"""Shows the main job over a fleet of separate processes, step by step.

Ends with exit code 0 only if each step held.
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

from caller import Caller, Load, create_session
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
        """Return callers that know one entry each."""
        entries = entries or self.list_processes("entry")
        return [
            Caller(self.session, f"caller-{n}", "norte-1", entries[n % len(entries)]["http"])
            for n in range(count)
        ]

    def check(self, what: str, holds: bool, shown: object = "") -> None:
        """Print a step with what came back, and remember it if it did not hold."""
        print(f"  {'ok    ' if holds else 'FAILED'} {what}: {shown}", flush=True)
        if not holds:
            self.failures.append(what)

    def count_runs(self) -> Counter:
        """Return how often each key ran, from the targets' own records."""
        keys: Counter = Counter()
        for target in self.fleet["targets"]:
            for line in Path(target["record"]).read_text().splitlines():
                key = json.loads(line)["key"]
                if key:
                    keys[key] += 1
        return keys

    def run_command(self, *words: str) -> subprocess.CompletedProcess:
        """Run a command of the operator's."""
        command = [sys.executable, "-m", "tarragonshelf", *words]
        return subprocess.run(
            [*command, "--settings", self.fleet["settings"]],
            capture_output=True,
            text=True,
            check=False,
        )

    async def call_command(self, *words: str) -> subprocess.CompletedProcess:
        """Run a command of the operator's beside the load."""
        return await asyncio.to_thread(self.run_command, *words)

    async def find_leader(self) -> str:
        """Return the VM of the leader that most controls name, or an empty text."""
        done = await self.call_command("status", "--json")
        if done.returncode:
            return ""
        controls = json.loads(done.stdout)["controls"]
        leaders = [item["vm"] for item in controls if item["role"] == "leader"]
        return leaders[0] if leaders else ""

    async def wait_for(self, what: str, holds) -> bool:
        """Wait until a condition holds, within a wide bound."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            if await holds():
                return True
            await asyncio.sleep(0.2)
        self.check(what, False, f"not within {WAIT_SECONDS} s")
        return False

    @asynccontextmanager
    async def load(self):
        """Keep callers busy, and check afterwards that none was cut off."""
        load = Load(self.create_callers(CALLERS), "/rondas")
        running = asyncio.create_task(load.run())
        await asyncio.sleep(0.5)
        yield load
        load.stop()
        await running

    async def show_path(self) -> None:
        """Read a lookup and place an order twice, as a caller."""
        print("the path")
        status = await self.call_command("status")
        print("    " + "\n    ".join(status.stdout.splitlines()[:7]))
        caller = self.create_callers(1)[0]
        entry = caller.entry
        async with self.session.get(
            f"http://{entry}/entries", params={"caller": "a", "data_centre": "norte-1"}
        ) as response:
            named = await response.json()
        self.check("an entry names addresses", bool(named["addresses"]), named)
        seen = await caller.request("GET", "/rondas/boya-7")
        self.check("a lookup is answered", seen.status == 200, seen.body.decode())
        key = uuid.uuid4().hex
        first, second = (item["http"] for item in self.list_processes("entry")[:2])
        placed = await caller.request("POST", "/repuestos", key=key, address=first)
        self.check("an order runs", placed.outcome == "ran", placed.body.decode())
        again = await caller.request("POST", "/repuestos", key=key, address=second)
        same = again.outcome == "replayed" and again.body == placed.body
        self.check("a resend at another entry gets the stored answer", same, again.outcome)
        self.check("the target ran it once", self.count_runs()[key] == 1, self.count_runs()[key])

    async def show_planned_stops(self) -> None:
        """Show that SIGTERM under load cuts off nothing."""
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
                await self.wait_for(f"{name} ends", lambda pid=pid: is_gone(pid))
                await asyncio.sleep(0.5)
            bad = [item for item in load.seen if item.status != 200]
            shown = f"{len(load.seen)} requests, {len(load.orders)} orders; {bad[:3] or 'all ran'}"
            self.check(f"SIGTERM to {name} cuts off nothing", not bad, shown)
        self.fleet["processes"].remove(entry)
        self.restart(control)

    def restart(self, item: dict) -> None:
        """Start a control again with the settings and the data folder that it had."""
        process = launch_daemon(item["role"], Path(item["settings"]), Path(item["log"]))
        item["pid"] = process.pid
        self.restarted.append(process)

    async def show_kills(self) -> None:
        """Kill one control, then a majority."""
        print("kills of controls")
        await self.wait_for("all controls are back", self.count_current_controls)
        leader = await self.find_leader()
        victim = next(item for item in self.list_processes("control") if item["vm"] == leader)
        async with self.load() as load:
            os.kill(victim["pid"], signal.SIGKILL)
            await asyncio.sleep(4)
        lookups = [seen for _, seen in load.lookups]
        bad = [item for item in lookups if item.status != 200]
        self.check("lookups are served without the leader", not bad, f"{len(lookups)} lookups")
        self.check_orders(load, "orders run or are told not-run as the leader is killed")
        remaining = [item for item in self.list_processes("control") if item is not victim]
        majority = len(self.list_processes("control")) // 2
        killed = remaining[:majority]
        for item in killed:
            os.kill(item["pid"], signal.SIGKILL)
        await asyncio.sleep(1)
        caller = self.create_callers(1)[0]
        seen = await caller.request("GET", "/rondas/boya-8")
        self.check("lookups are served without a majority", seen.status == 200, seen.status)
        key = uuid.uuid4().hex
        refused = await caller.request("POST", "/firmas", key=key)
        told = refused.outcome == "not-run" and self.count_runs()[key] == 0
        self.check("an order gets not-run, and was not run", told, refused.body.decode())
        for item in (victim, *killed):
            self.restart(item)

        async def lands() -> bool:
            return (await caller.request("POST", "/firmas", key=key)).status == 200

        if await self.wait_for("the order lands once the majority is back", lands):
            runs = self.count_runs()[key]
            self.check("the order lands once the majority is back", runs == 1, f"{runs} run")

    def check_orders(self, load: Load, what: str) -> None:
        """Check that what callers were told of their orders is what the targets ran."""
        runs = self.count_runs()
        wrong = [
            (key, seen.outcome, runs[key])
            for key, seen in load.orders.items()
            if runs[key] > 1
            or (seen.outcome == "not-run" and runs[key])
            or (seen.outcome == "ran" and runs[key] != 1)
        ]
        told = Counter(seen.outcome for seen in load.orders.values())
        self.check(what, not wrong, wrong or dict(told))

    async def count_current_controls(self) -> bool:
        """Tell whether every control hears a leader."""
        done = await self.call_command("status", "--json")
        if done.returncode:
            return False
        controls = json.loads(done.stdout)["controls"]
        wanted = len(self.list_processes("control"))
        return sum(item["is_current"] for item in controls) == wanted


async def is_gone(pid: int) -> bool:
    """Tell whether a process has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return True
    return stat.rpartition(")")[2].split()[0] == "Z"


async def show(fleet: dict) -> list[str]:
    """Run all steps and return those that failed."""
    async with create_session() as session:
        demo = Demo(fleet, session)
        try:
            await demo.show_path()
            await demo.show_planned_stops()
            await demo.show_kills()
        finally:
            for process in demo.restarted:
                process.terminate()
        return demo.failures


def main() -> int:
    """Start the fleet, run the steps, stop the fleet; return the exit code."""
    command = [*FLEET, "--configuration", str(CONFIGURATION), "--hold"]
    command += ["--controls", "3", "--entries", "4", "--targets", "12"]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        if not line:
            print("the fleet did not start")
            return 1
        failures = asyncio.run(show(json.loads(line)))
    finally:
        process.stdin.close()
        process.wait()
    print("all steps held" if not failures else f"{len(failures)} steps failed: {failures}")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(main())
