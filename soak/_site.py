"""The real processes of a site on loopback addresses, behind proxies that inject faults."""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random

from ._history import History
from ._proxy import Proxy

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
# Settings name this many controls of the operator's list, which lags by at most the time below.
SEED_COUNT = 3
SEED_LAG_SECONDS = 3.0
# Number of loopback networks ``127.N.0.0/16`` from which a run selects one, and the fixed port on
# which controls expose their metrics.
LOOPBACK_NETWORKS = 250
METRICS_PORT = 9101


def find_free_port() -> int:
    """Return a port that is currently free on all loopback addresses."""
    with socket.socket() as probe:
        probe.bind(("0.0.0.0", 0))
        return probe.getsockname()[1]


def find_free_ports(count: int) -> list[int]:
    """Return different ports that are currently free on all loopback addresses."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("0.0.0.0", 0))
        return [probe.getsockname()[1] for probe in probes]


def reserve_network() -> tuple[int, socket.socket]:
    """Return the number of a loopback network that no other soak uses, and a socket.

    The network is reserved until the socket is closed, as processes bind their ports only later.
    """
    for number in range(os.getpid(), os.getpid() + LOOPBACK_NETWORKS):
        network = 1 + number % LOOPBACK_NETWORKS
        with contextlib.suppress(OSError):
            # Processes that use this network without a reservation have this port.
            socket.create_server((f"127.{network}.1.2", METRICS_PORT)).close()
            return network, socket.create_server((f"127.{network}.0.1", METRICS_PORT))
    raise OSError(f"port {METRICS_PORT} is in use on all {LOOPBACK_NETWORKS} loopback networks")


def create_document(version: int, **tables: dict) -> bytes:
    """Return a document of a version with a route that only this version has, and more tables."""
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
            **tables,
        }
    ).encode()


class Site:
    """Controls and entries as processes, whose ports for peers, calls and callers have a proxy.

    Parameters
    ----------
    folder : Path
        Directory for settings, disks and logs.
    controls, entries : int
        Number of processes of each role.
    history : History
        Receives violations, such as processes that exit unexpectedly.
    random : Random
        Determines the seeds in the settings, and how far the operator's list lags.
    """

    def __init__(
        self, folder: Path, *, controls: int, entries: int, history: History, random: Random
    ):
        self.folder = folder
        self.history = history
        self.random = random
        network, self._reservation = reserve_network()
        self.controls = [f"127.{network}.1.{number + 2}" for number in range(controls)]
        self.entries = [f"127.{network}.2.{number + 2}" for number in range(entries)]
        self.target_host = f"127.{network}.3.2"
        self._control_lists = [(float("-inf"), self.controls)]
        self._successors = (f"127.{network}.1.{controls + 2 + n}" for n in itertools.count())
        self._zone_numbers = {
            vm: number for vms in (self.controls, self.entries) for number, vm in enumerate(vms)
        }
        # Proxies listen on these ports and forward to the real ones, on which processes listen.
        (
            self.peer_port,
            self.call_port,
            self.front_port,
            self.query_port,
            self._real_peer_port,
            self._real_call_port,
            self._real_front_port,
        ) = find_free_ports(7)
        self.proxies: dict[str, dict[str, Proxy]] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._expected_exits: set[int] = set()
        self._is_bootstrap = True

    @property
    def vms(self) -> list[str]:
        """Addresses of all VMs, controls first."""
        return [*self.controls, *self.entries]

    def list_control_addresses(self) -> list[str]:
        """Return the addresses at which operators and targets call controls.

        Their list of the controls lags, so that it may lack new ones and name some that are gone.
        """
        seen_at = _get_time() - self.random.uniform(0.0, SEED_LAG_SECONDS)
        listed = [controls for since, controls in self._control_lists if since <= seen_at]
        return [f"{vm}:{self.call_port}" for vm in listed[-1]]

    async def start(self) -> None:
        """Start the proxies, then all processes."""
        for vm in self.controls:
            await self._add_control_proxies(vm)
        for vm in self.entries:
            await self._add_proxy(vm, "front", self.front_port, self._real_front_port)
        for vm in self.vms:
            self.start_process(vm)
        self._is_bootstrap = False

    async def add_control(self, predecessor: str) -> str:
        """Start an empty control at a new address, in the zone of the one that it replaces."""
        vm = next(self._successors)
        self._zone_numbers[vm] = self._zone_numbers[predecessor]
        await self._add_control_proxies(vm)
        self._set_controls([*self.controls, vm])
        self.start_process(vm)
        return vm

    def remove_control(self, vm: str) -> None:
        """Remove a control whose process is not running; connecting to it hangs or is refused."""
        self._set_controls([item for item in self.controls if item != vm])
        if self.random.random() < 0.5:
            for proxy in self.proxies[vm].values():
                proxy.drop_all_packets()

    def _set_controls(self, controls: list[str]) -> None:
        # A successor follows the control that it replaces.
        self.controls = sorted(controls, key=self._zone_numbers.get)
        self._control_lists.append((_get_time(), self.controls))

    def write_settings(self, vm: str) -> Path:
        """Write the settings file of a VM, which names seeds anew, and return its path."""
        path = self.folder / f"{vm}.json"
        # The process may read the file at any moment, and must not find a part of it.
        written = path.with_suffix(".tmp")
        written.write_text(json.dumps(self._create_settings(vm)))
        return written.replace(path)

    def start_process(self, vm: str) -> None:
        """Start the process of a VM."""
        is_control = vm in self.controls
        path = self.write_settings(vm)
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

    def is_listening(self, control: str) -> bool:
        """Return whether the process of a control accepts connections."""
        with socket.socket() as probe:
            return probe.connect_ex((control, self._real_call_port)) == 0

    def send_signal(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to the process of a VM if it is still running."""
        process = self.processes[vm]
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._expected_exits.add(process.pid)
        if process.poll() is None:
            process.send_signal(number)

    async def wait_for_exit(self, vm: str, seconds: float) -> None:
        """Wait until a process exits, and kill and report it after ``seconds``."""
        process = self.processes[vm]
        try:
            await asyncio.to_thread(process.wait, seconds)
        except subprocess.TimeoutExpired:
            self.history.report_violation(
                "stop", f"{vm} was still running {seconds} s after SIGTERM or SIGKILL"
            )
            process.kill()
            await asyncio.to_thread(process.wait)

    def wipe_disk(self, vm: str) -> None:
        """Delete the data of a VM whose process is not running."""
        shutil.rmtree(self._get_disk_path(vm), ignore_errors=True)

    def tear_journal(self, vm: str) -> None:
        """Append a partial record to the journal: a torn write, as after a power failure."""
        for path in sorted(self._get_disk_path(vm).glob("*"), key=lambda item: item.name):
            if path.is_file() and "journal" in path.name:
                with path.open("ab") as journal:
                    journal.write(b"\x00\x00\x01\x00torn")

    def check_processes(self) -> None:
        """Report processes that exited unexpectedly, and restart them."""
        for vm, process in list(self.processes.items()):
            if process.poll() is not None and process.pid not in self._expected_exits:
                self._expected_exits.add(process.pid)
                self.history.report_violation(
                    "exit", f"{vm} exited unexpectedly with {process.returncode}"
                )
                self.start_process(vm)

    def stop(self) -> None:
        """Kill all processes and stop all proxies."""
        self._reservation.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for proxies in self.proxies.values():
            for proxy in proxies.values():
                proxy.stop()

    def _get_disk_path(self, vm: str) -> Path:
        return self.folder / f"disk-{vm}"

    async def _add_control_proxies(self, vm: str) -> None:
        await self._add_proxy(vm, "peer", self.peer_port, self._real_peer_port)
        await self._add_proxy(vm, "call", self.call_port, self._real_call_port)

    async def _add_proxy(self, vm: str, name: str, port: int, real_port: int) -> None:
        proxy = Proxy(f"{vm}:{port}", f"{vm}:{real_port}")
        await proxy.start()
        self.proxies.setdefault(vm, {})[name] = proxy

    def _create_settings(self, vm: str) -> dict:
        seeds = [f"{item}:{self.call_port}" for item in self.controls]
        if not self._is_bootstrap:
            listed = self.list_control_addresses()
            seeds = self.random.sample(listed, len(listed))
        listen = {"control": f"{vm}:{self._real_call_port}"}
        if vm in self.entries:
            query_address = f"{vm}:{self.query_port}"
            listen = {
                "front": f"{vm}:{self._real_front_port}",
                "ready": query_address,
                "directory": query_address,
            }
        return {
            "node_name": vm,
            "ip": vm,
            "zone": f"z{self._zone_numbers[vm] % len(ZONES)}",
            "zones": ZONES,
            "listen": listen,
            "internal_ports": [self.peer_port, self.peer_port],
            "peer_listen": f"{vm}:{self._real_peer_port}",
            # Proxies tell the entries apart by their address.
            "source_ip": vm,
            "seeds": seeds[:SEED_COUNT],
            "bootstrap": self._is_bootstrap,
            "data_dir": str(self._get_disk_path(vm)),
            "bounds": BOUNDS,
        }


def _get_time() -> float:
    return asyncio.get_running_loop().time()
