"""Helpers that start a fleet of separate processes and read what its targets recorded."""

import json
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent


@contextmanager
def start_fleet(*, controls=3, entries=3, targets=8, configuration=None, options=()):
    """Start a fleet and yield the description that ``tools/fleet.py`` prints.

    ``options`` are passed to the tool as further command line arguments.
    """
    configuration = configuration or ROOT / "examples" / "rompeolas.json"
    command = [sys.executable, str(ROOT / "tools" / "fleet.py"), "--hold"]
    command += ["--configuration", str(configuration), "--controls", str(controls)]
    command += ["--entries", str(entries), "--targets", str(targets), *options]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        assert line, "the fleet did not start"
        yield json.loads(line)
    finally:
        process.stdin.close()
        process.wait()


def run_command(*arguments: str) -> subprocess.CompletedProcess:
    """Run ``python -m tarragonshelf`` and return the completed process."""
    command = [sys.executable, "-m", "tarragonshelf", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def list_processes(fleet: dict, role: str) -> list[dict]:
    """Return the processes of a fleet that have a role."""
    return [process for process in fleet["processes"] if process["role"] == role]


def read_runs(fleet: dict) -> list[dict]:
    """Return all requests that the targets ran, from the files that the targets write."""
    lines = []
    for target in fleet["targets"]:
        lines += Path(target["record"]).read_text().splitlines()
    return [json.loads(line) for line in lines]


def read_memory_mb(pid: int, name: str) -> float:
    """Return a field of a process's status, such as its peak ``VmHWM``, in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(item for item in lines if item.startswith(f"{name}:"))
    return int(line.split()[1]) / 1024
