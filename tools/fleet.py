"""Starts a complete fleet as separate processes on free loopback ports.

Prints one JSON line when all targets are ready. With ``--hold`` the fleet runs until standard
input is closed, otherwise it stops at once. Every process that was started is stopped by pid.
"""

import json
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import fire

HOST = "127.0.0.1"
READY_SECONDS = 60.0
STOP_SECONDS = 45.0
TOOLS = Path(__file__).parent


@dataclass
class StartedProcess:
    """A daemon that was started by this tool."""

    role: str
    vm: str
    process: subprocess.Popen
    http: str
    administration: str
    log: str
    settings: str
    peer: str

    def describe(self) -> dict:
        """Return the fields of the process in the JSON line."""
        return {
            "role": self.role,
            "vm": self.vm,
            "pid": self.process.pid,
            "http": self.http,
            "administration": self.administration,
            "log": self.log,
            "settings": self.settings,
        }


@dataclass
class Fleet:
    """Processes of a fleet and the folder of their settings, logs and data.

    ``options`` are additional command-line arguments of the targets, ``limits`` additional
    settings of the daemons.
    """

    folder: Path
    configuration: Path
    options: tuple[str, ...] = ()
    limits: dict[str, int] = field(default_factory=dict)
    processes: list[StartedProcess] = field(default_factory=list)
    targets: list[dict] = field(default_factory=list)
    target_processes: list[subprocess.Popen] = field(default_factory=list)

    @property
    def document(self) -> dict:
        """Content of the configuration document."""
        return json.loads(self.configuration.read_text())

    @property
    def data_centres(self) -> list[str]:
        """Names of all data centres, alternating between regions."""
        regions = [region["data_centres"] for region in self.document["regions"]]
        width = max(len(names) for names in regions)
        return [names[i] for i in range(width) for names in regions if i < len(names)]

    @property
    def operator_settings(self) -> Path:
        """Path of the settings file for operator commands."""
        return self.folder / "operator.json"


def find_ports(count: int) -> list[int]:
    """Return free ports; all are kept bound until the last is chosen, so that they differ."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def start_fleet(fleet: Fleet, controls: int, entries: int, targets: int) -> None:
    """Start all processes, initialize the voter set and apply the configuration."""
    (fleet.folder / "secret").write_text(secrets.token_hex(24))
    addresses = [f"{HOST}:{port}" for port in find_ports(2 * controls + 3 * entries + targets)]
    take_address = iter(addresses).__next__
    known_controls = [
        {"vm": f"control-{n + 1}", "address": take_address()} for n in range(controls)
    ]
    operator = {"operator": "fleet", "secret_file": "secret", "controls": known_controls}
    fleet.operator_settings.write_text(json.dumps(operator))
    for n, control in enumerate(known_controls):
        start_control(fleet, n, control, known_controls, take_address())
    peers = [take_address() for _ in range(entries)]
    for n, peer in enumerate(peers):
        start_entry(fleet, n, peer, peers, known_controls, take_address(), take_address())
    wait_until(lambda: all(is_live(item) for item in fleet.processes), "processes are live")
    run_command(fleet, "initialize")
    run_command(fleet, "apply", str(fleet.configuration))
    callers = [item.http for item in fleet.processes if item.role == "entry"]
    for n in range(targets):
        start_target(fleet, n, take_address(), callers)
    wait_until(lambda: count_ready(fleet) >= targets, f"{targets} targets are ready")


def start_control(
    fleet: Fleet, n: int, control: dict, known_controls: list, administration: str
) -> None:
    """Start one control."""
    settings = {
        "vm": control["vm"],
        "data_centre": fleet.data_centres[n % len(fleet.data_centres)],
        "peer": control["address"],
        "administration": administration,
        "data_folder": str(fleet.folder / control["vm"]),
        "secret_file": "secret",
        "controls": known_controls,
    }
    fleet.processes.append(
        start_process(fleet, "control", settings, http="", peer=control["address"])
    )


def start_entry(
    fleet: Fleet,
    n: int,
    peer: str,
    peers: list,
    known_controls: list,
    http: str,
    administration: str,
) -> None:
    """Start one entry."""
    settings = {
        "vm": f"entry-{n + 1}",
        "data_centre": fleet.data_centres[n % len(fleet.data_centres)],
        "http": http,
        "peer": peer,
        "administration": administration,
        "secret_file": "secret",
        "controls": known_controls,
        "entries": [item for item in peers[:3] if item != peer],
    }
    fleet.processes.append(start_process(fleet, "entry", settings, http=http, peer=peer))


def start_process(
    fleet: Fleet, role: str, settings: dict, *, http: str, peer: str
) -> StartedProcess:
    """Write the settings file of a daemon and start it."""
    vm = settings["vm"]
    path = fleet.folder / f"{vm}.json"
    path.write_text(json.dumps(settings | fleet.limits))
    log = fleet.folder / f"{vm}.log"
    process = launch_daemon(role, path, log)
    administration = settings["administration"]
    return StartedProcess(role, vm, process, http, administration, str(log), str(path), peer)


def launch_daemon(role: str, settings: Path, log: Path) -> subprocess.Popen:
    """Start a daemon that appends to its log file."""
    command = [sys.executable, "-m", "tarragonshelf", role, "--settings", str(settings)]
    with open(log, "a") as output:
        return subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT
        )


def start_target(fleet: Fleet, n: int, address: str, callers: list[str]) -> None:
    """Start the ``n``-th target; services and data centres are assigned round-robin."""
    services = fleet.document["services"]
    service = services[n % len(services)]["name"]
    data_centre = fleet.data_centres[(n // len(services)) % len(fleet.data_centres)]
    record = fleet.folder / f"target-{n + 1}.record"
    record.touch()
    process = launch_target(service, address, data_centre, callers, record, fleet.options)
    fleet.target_processes.append(process)
    fleet.targets.append(
        {
            "service": service,
            "address": address,
            "pid": process.pid,
            "record": str(record),
            "data_centre": data_centre,
        }
    )


def launch_target(
    service: str,
    address: str,
    data_centre: str,
    callers: list[str],
    record: Path,
    options: tuple[str, ...],
) -> subprocess.Popen:
    """Start a target process."""
    command = [sys.executable, str(TOOLS / "target.py")]
    command += ["--service", service, "--address", address, "--data_centre", data_centre]
    command += ["--entries", ",".join(callers), "--record", str(record), *options]
    with open(record.with_suffix(".log"), "a") as output:
        return subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT
        )


def run_command(fleet: Fleet, *words: str) -> None:
    """Repeat an operator command until it succeeds, for at most 60 s."""
    command = [sys.executable, "-m", "tarragonshelf", *words]
    command += ["--settings", str(fleet.operator_settings)]
    deadline = time.monotonic() + READY_SECONDS
    while True:
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if done.returncode == 0:
            return
        if time.monotonic() > deadline:
            raise SystemExit(f"{words[0]} failed: {done.stdout}{done.stderr}")
        time.sleep(0.3)


def is_live(item: StartedProcess) -> bool:
    """Return whether a daemon answers on its administration port; exit if it has ended."""
    if item.process.poll() is not None:
        raise SystemExit(f"{item.vm} ended: {Path(item.log).read_text()[-2000:]}")
    return fetch(f"http://{item.administration}/health/live") is not None


def count_ready(fleet: Fleet) -> int:
    """Return the number of ready targets, the minimum over all entries."""
    counts = []
    for item in fleet.processes:
        if item.role == "entry":
            text = fetch(f"http://{item.administration}/metrics") or ""
            lines = (line for line in text.splitlines() if "_targets_ready{" in line)
            counts.append(sum(int(float(line.split()[-1])) for line in lines))
    return min(counts, default=0)


def fetch(url: str) -> str | None:
    """Return the body of a URL, or None if the request fails."""
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return response.read().decode()
    except (urllib.error.URLError, OSError):
        return None


def wait_until(condition, description: str) -> None:
    """Wait at most 60 s for a condition; exit if it does not hold by then."""
    deadline = time.monotonic() + READY_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise SystemExit(f"not reached in {READY_SECONDS} s: {description}")
        time.sleep(0.1)


def stop_fleet(fleet: Fleet) -> None:
    """Stop all processes, entries and targets before controls.

    Suspended processes are resumed, and those that do not end within 45 s are killed.
    """
    entries = [item.process for item in fleet.processes if item.role == "entry"]
    controls = [item.process for item in fleet.processes if item.role == "control"]
    for group in (fleet.target_processes + entries, controls):
        for process in group:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_SECONDS
        for process in group:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def describe(fleet: Fleet) -> dict:
    """Return the content of the JSON line."""
    control = next(item for item in fleet.processes if item.role == "control")
    return {
        "processes": [item.describe() for item in fleet.processes],
        "targets": fleet.targets,
        "control": control.peer,
        "settings": str(fleet.operator_settings),
    }


def run(
    configuration: str,
    controls: int = 3,
    entries: int = 3,
    targets: int = 8,
    slots: int = 3,
    work: float = 0.005,
    hold: bool = False,
    memory_mb: int = 0,
    maximum_descriptors: int = 0,
) -> None:
    """Start a fleet and print its processes as one JSON line; with ``--hold``, keep it running.

    ``slots`` is the number of concurrent requests of each target, ``work`` the seconds it takes
    to process one. ``memory_mb`` and ``maximum_descriptors`` limit each daemon if they are set.
    """
    options = ("--slots", str(slots), "--work", str(work))
    with tempfile.TemporaryDirectory(prefix="tarragonshelf-") as folder:
        named = {"memory_mb": memory_mb, "maximum_descriptors": maximum_descriptors}
        limits = {name: value for name, value in named.items() if value}
        fleet = Fleet(Path(folder), Path(configuration).resolve(), options, limits)
        try:
            start_fleet(fleet, controls, entries, targets)
            print(json.dumps(describe(fleet)), flush=True)
            if hold:
                sys.stdin.read()
        finally:
            stop_fleet(fleet)


if __name__ == "__main__":
    fire.Fire(run)
