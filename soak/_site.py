"""The real processes of a site on loopback addresses, behind forwarders."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

from ._proxy import Proxy
from ._record import Record

BOUNDS = ["drain=2500ms", "retry_budget_ratio=0.2", "retry_budget_slack=40", "budget_window=10s"]
ZONES = {"z0": "r0", "z1": "r0", "z2": "r1"}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 100000,
    "header_timeout": "3s",
    "idle_timeout": "15s",
}
COLUMNS = ["name", "host", "path_prefix", "kind", "timeout", "service", "max_attempts"]
HOST = "h.example"
# Loopback networks ``127.N``.
NETWORKS = 250


def find_port() -> int:
    """Return a port that is free on all loopback addresses for now."""
    with socket.socket() as free:
        free.bind(("0.0.0.0", 0))
        return free.getsockname()[1]


def create_document(version: int) -> bytes:
    """Return a document whose last route exists from this version on."""
    rows = [
        ["r-orders", HOST, "/orders/", "unsafe", "2s", "orders", 2],
        ["r-lists", HOST, "/lists/", "safe", "2s", "lists", 2],
        [f"r-{version}", HOST, f"/v{version}/", "safe", "2s", "lists", 2],
    ]
    services = {"columns": ["name", "max_conns"], "rows": [["orders", 100], ["lists", 100]]}
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {"columns": COLUMNS, "rows": rows},
            "services": services,
            "limits": LIMITS,
        }
    ).encode()


class Site:
    """Controls and entries as processes, each port behind a forwarder.

    Parameters
    ----------
    folder : Path
        Takes settings, disks and logs.
    controls, entries : int
        How many processes of each role.
    record : Record
        Told of processes that end by themselves.
    """

    def __init__(self, folder: Path, *, controls: int, entries: int, record: Record):
        self.folder = folder
        self.record = record
        # The ports for metrics are fixed, so soaks side by side need addresses of their own.
        network = 1 + os.getpid() % NETWORKS
        self.controls = [f"127.{network}.1.{number + 2}" for number in range(controls)]
        self.entries = [f"127.{network}.2.{number + 2}" for number in range(entries)]
        self.target_host = f"127.{network}.3.2"
        self.peer, self.call, self.front = find_port(), find_port(), find_port()
        self.question = find_port()
        self.proxies: dict[str, dict[str, Proxy]] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._expected_ends: set[int] = set()
        self._is_first = True
        self._real_front = find_port()
        self._real_peer = find_port()
        self._real_call = find_port()

    @property
    def vms(self) -> list[str]:
        """All VMs."""
        return [*self.controls, *self.entries]

    def list_calls(self) -> list[str]:
        """Return where operators and targets reach controls."""
        return [f"{vm}:{self.call}" for vm in self.controls]

    async def start(self) -> None:
        """Start the forwarders, then all processes."""
        for vm in self.controls:
            await self._add_proxy(vm, "peer", self.peer, self._real_peer)
            await self._add_proxy(vm, "call", self.call, self._real_call)
        for vm in self.entries:
            await self._add_proxy(vm, "front", self.front, self._real_front)
        for vm in self.vms:
            self.run(vm)
        self._is_first = False

    def run(self, vm: str) -> None:
        """Start the process of a VM."""
        is_control = vm in self.controls
        path = self.folder / f"{vm}.json"
        path.write_text(json.dumps(self._create_settings(vm)))
        with (self.folder / f"{vm}.log").open("a") as log:
            self.processes[vm] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "tarragonshelf.platform",
                    "control" if is_control else "entry",
                ],
                env={**os.environ, "TARRAGONSHELF_NODE_FILE": str(path)},
                stdout=log,
                stderr=log,
            )

    def send(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to the process of a VM, if it still runs."""
        process = self.processes[vm]
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._expected_ends.add(process.pid)
        if process.poll() is None:
            process.send_signal(number)

    async def wait_until_ended(self, vm: str, seconds: float) -> None:
        """Wait for the end of a process, and kill it once the grace is over."""
        process = self.processes[vm]
        try:
            await asyncio.to_thread(process.wait, seconds)
        except subprocess.TimeoutExpired:
            self.record.report("stop", f"{vm} still ran {seconds} s after SIGTERM")
            process.kill()
            await asyncio.to_thread(process.wait)

    def wipe(self, vm: str) -> None:
        """Empty the disk of a VM that is not running."""
        shutil.rmtree(self._get_disk(vm), ignore_errors=True)

    def tear(self, vm: str) -> None:
        """Leave half a record at the end of the journal, as a loss of power may."""
        for path in sorted(self._get_disk(vm).glob("*"), key=lambda item: item.name):
            if path.is_file() and "journal" in path.name:
                with path.open("ab") as journal:
                    journal.write(b"\x00\x00\x01\x00torn")

    def check_processes(self) -> None:
        """Note processes that ended by themselves, and start them again."""
        for vm, process in list(self.processes.items()):
            if process.poll() is not None and process.pid not in self._expected_ends:
                self._expected_ends.add(process.pid)
                self.record.report("exit", f"{vm} ended by itself with {process.returncode}")
                self.run(vm)

    def stop(self) -> None:
        """End everything that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for proxies in self.proxies.values():
            for proxy in proxies.values():
                proxy.stop()

    def _get_disk(self, vm: str) -> Path:
        return self.folder / f"disk-{vm}"

    async def _add_proxy(self, vm: str, name: str, port: int, real: int) -> None:
        proxy = Proxy(f"{vm}:{port}", f"{vm}:{real}")
        await proxy.start()
        self.proxies.setdefault(vm, {})[name] = proxy

    def _create_settings(self, vm: str) -> dict:
        number = self.vms.index(vm)
        listen = {"control": f"{vm}:{self._real_call}"}
        if vm in self.entries:
            number = self.entries.index(vm)
            question = f"{vm}:{self.question}"
            listen = {
                "front": f"{vm}:{self._real_front}",
                "ready": question,
                "directory": question,
            }
        return {
            "node_name": vm,
            "ip": vm,
            "zone": f"z{number % len(ZONES)}",
            "zones": ZONES,
            "listen": listen,
            "internal_ports": [self.peer, self.peer],
            "peer_listen": f"{vm}:{self._real_peer}",
            "seeds": [f"{item}:{self.call}" for item in self.controls[:3]],
            "bootstrap": self._is_first,
            "data_dir": str(self._get_disk(vm)),
            "bounds": BOUNDS,
        }
