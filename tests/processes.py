"""Fleets of separate processes for tests."""

import json
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent


@contextmanager
def start_fleet(*, controls=3, entries=3, targets=8, configuration=None, options=()):
    """Start a fleet and yield what its tool tells of it; ``options`` go to the tool."""
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


def run_command(*words: str) -> subprocess.CompletedProcess:
    """Run the command line."""
    command = [sys.executable, "-m", "tarragonshelf", *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def list_processes(fleet: dict, role: str) -> list[dict]:
    """Return a fleet's processes of a role."""
    return [item for item in fleet["processes"] if item["role"] == role]


def read_runs(fleet: dict) -> list[dict]:
    """Return all requests that the targets ran, from their own records."""
    lines = []
    for target in fleet["targets"]:
        lines += Path(target["record"]).read_text().splitlines()
    return [json.loads(line) for line in lines]
