"""Upgrades of a site: its processes are replaced, one after the other, by those of another build.

A build is a directory that contains the package. Older ones come from the project's history.
"""

import asyncio
import io
import json
import os
import shutil
import signal
import subprocess
import sys
import tarfile
from dataclasses import dataclass
from pathlib import Path
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout

from .__main__ import Soak, run_until_stopped
from ._faults import (
    CATCH_UP_SECONDS,
    LIMIT_KIND,
    PATH_KINDS,
    STOP_GRACE_SECONDS,
    Fault,
    Injector,
    draw_faults,
)
from ._history import History
from ._site import Site

ROOT = Path(__file__).parents[1]
PACKAGE = "tarragonshelf"
# A build that has this package forwards requests of entries that lost their path to the targets.
RELAYING_PACKAGE = Path(PACKAGE, "relaying")
ADMINISTRATION_PORTS = {"entry": 9100, "control": 9101}
# The users' specification requires that a restarted process works again after this time.
READY_TIMEOUT_SECONDS = 10.0
READY_POLL_SECONDS = 0.1
# Pause after a process is ready, before the next one is replaced.
PAUSE_SECONDS = (0.2, 0.6)
# Faults are drawn for this time for each replaced process, about as long as it takes.
SECONDS_PER_PROCESS = 2.5
FAULT_KINDS = ("target-bad", LIMIT_KIND, *PATH_KINDS)
# Log lines that show that a process received what its build does not know.
UNKNOWN_EVENTS = ("message_unknown", "peer_frame_malformed", "memory_not_restored")
# Appended to a build, this makes it send a message of a kind that no build has, with every fifth
# group of messages, on all links between processes.
LATER_MODULE = Path(PACKAGE, "transport", "_connection.py")
LATER_CODE = """
_NEW_FRAME = bytes([0, 0, 0, 7, 0x4C, 0x0C, 0x88, 0x0E, 0, 0, 0])
_write = Connection.write
_count = 0


def _write_with_new_kind(connection, content):
    global _count
    _count += 1
    _write(connection, content if _count % 5 else _NEW_FRAME + content)


Connection.write = _write_with_new_kind
"""


class CommitMissingError(Exception):
    """The checkout does not contain a commit, for example because it is shallow."""


def extract_commit(commit: str, folder: Path) -> Path:
    """Write the package as of a commit into a new directory and return it.

    Raises
    ------
    CommitMissingError
        If the checkout has no such commit.
    """
    command = ["git", "-C", str(ROOT), "archive", commit, PACKAGE]
    try:
        archived = subprocess.run(command, capture_output=True, check=True)
    except FileNotFoundError as error:
        raise CommitMissingError(f"commit {commit} cannot be read without git") from error
    except subprocess.CalledProcessError as error:
        problem = error.stderr.decode(errors="replace").strip()
        raise CommitMissingError(f"commit {commit} is not in this checkout: {problem}") from error
    path = folder / f"build-{commit}"
    path.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(path, filter="data")
    return path


def create_later_build(build: Path, folder: Path) -> Path:
    """Return a copy of a build that also sends messages of a kind that the build does not know."""
    path = folder / f"later-{build.name}"
    shutil.copytree(
        build / PACKAGE, path / PACKAGE, ignore=shutil.ignore_patterns("__pycache__", "tests")
    )
    with (path / LATER_MODULE).open("a") as module:
        module.write(LATER_CODE)
    return path


class UpgradeSite(Site):
    """A site of which each process runs one of several builds.

    Parameters
    ----------
    build : Path
        Build of all processes at first.
    """

    def __init__(self, folder: Path, *, build: Path, **options):
        super().__init__(folder, **options)
        self.builds = dict.fromkeys(self.vms, build)

    def start_process(self, vm: str) -> None:
        """Start the process of a VM from its build."""
        build = self.builds[vm]
        path = self.write_settings(vm)
        with (self.folder / f"{vm}.log").open("a") as log:
            log.write(json.dumps({"vm": vm, "event": "build_started", "build": build.name}) + "\n")
            log.flush()
            self.processes[vm] = subprocess.Popen(
                [sys.executable, "-m", "tarragonshelf.platform", self.get_role(vm)],
                cwd=build,
                env={
                    **os.environ,
                    "PYTHONPATH": str(build),
                    "TARRAGONSHELF_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def get_role(self, vm: str) -> str:
        """Return the role of a VM's process."""
        return "control" if vm in self.controls else "entry"


@dataclass(frozen=True, slots=True)
class Upgrade:
    """The builds that all processes change to, one after the other.

    With ``has_new_disks`` a replaced control starts with an empty disk, otherwise with its own.
    """

    builds: tuple[Path, ...]
    has_new_disks: bool = False

    @property
    def has_relaying(self) -> bool:
        """Whether all builds relay requests of entries that lost their path to the targets."""
        return all((build / RELAYING_PACKAGE).is_dir() for build in self.builds)


class Upgrader(Injector):
    """Replaces the processes of a site, and injects faults into targets and paths meanwhile."""

    def __init__(self, site: UpgradeSite, targets, history: History, random: Random):
        super().__init__(site, targets, history)
        self.random = random
        self.pause_seconds = PAUSE_SECONDS
        self.has_new_disks = False

    async def upgrade(self, builds: tuple[Path, ...]) -> None:
        """Replace all processes by each build in turn, in a random order."""
        for build in builds:
            for vm in self.random.sample(self.site.vms, len(self.site.vms)):
                self.site.builds[vm] = build
                await self._disturb_vms([vm], Fault(0.0, "upgrade", 0, 0.0), self._upgrade_one)
                await asyncio.sleep(self.random.uniform(*self.pause_seconds))

    async def _upgrade_one(self, vm: str, fault: Fault) -> None:
        """Stop the process of a VM, start its new build, and wait until it is ready."""
        self.site.send_signal(vm, signal.SIGTERM)
        await self.site.wait_for_exit(vm, STOP_GRACE_SECONDS)
        is_wiped = self.has_new_disks and vm in self.site.controls
        if is_wiped:
            self.site.wipe_disk(vm)
        self.site.start_process(vm)
        await self._wait_until_ready(vm)
        if is_wiped:
            await asyncio.sleep(CATCH_UP_SECONDS)

    async def _wait_until_ready(self, vm: str) -> None:
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_SECONDS
        while not await self._is_ready(vm):
            if asyncio.get_running_loop().time() > deadline:
                self.history.report_violation(
                    "ready",
                    f"{vm} of {self.site.builds[vm].name} was not ready "
                    f"{READY_TIMEOUT_SECONDS:g} s after its start",
                )
                return
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _is_ready(self, vm: str) -> bool:
        url = f"http://{vm}:{ADMINISTRATION_PORTS[self.site.get_role(vm)]}/health/ready"
        try:
            async with (
                ClientSession(timeout=ClientTimeout(1.0)) as session,
                session.get(url) as response,
            ):
                return response.status == 200
        except (ClientError, OSError, TimeoutError):
            return False


class UpgradeHistory(History):
    """Checks the path rule only if all builds know it."""

    has_relaying = True

    def check_path_cut(self, *arguments, **options) -> None:
        """Check the requests to entries without a path, unless a build does not relay them."""
        if self.has_relaying:
            super().check_path_cut(*arguments, **options)


class UpgradeSoak(Soak):
    """One run: a site that begins with the first of some builds and changes to the others.

    Parameters
    ----------
    upgrade : Upgrade
        The builds in the order in which they run.
    """

    # Earlier builds do not know accounts.
    may_have_accounts = False

    def __init__(self, seed: int, folder: Path, *, upgrade: Upgrade, **sizes: int):
        self.upgrade = upgrade
        super().__init__(seed, folder, **sizes)

    def _create_history(self) -> History:
        history = UpgradeHistory()
        history.has_relaying = self.upgrade.has_relaying
        return history

    def _create_site(self, folder: Path, **options) -> Site:
        return UpgradeSite(folder, build=self.upgrade.builds[0], **options)

    def _create_injector(self) -> Injector:
        upgrader = Upgrader(self.site, self.targets, self.history, Random(self.random.random()))
        upgrader.has_new_disks = self.upgrade.has_new_disks
        return upgrader

    async def _inject(self, injector: Injector, faults: list[Fault]) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(injector.inject(faults))
            group.create_task(injector.upgrade(self.upgrade.builds[1:]))


def draw_upgrade_faults(
    random: Random, seconds: float, kinds: tuple[str, ...] = FAULT_KINDS
) -> list[Fault]:
    """Return faults of some kinds, which leave all processes running."""
    return [fault for fault in draw_faults(random, seconds) if fault.kind in kinds]


def run_upgrade(
    seed: int,
    builds: tuple[Path, ...],
    folder: Path,
    *,
    controls: int = 3,
    entries: int = 3,
    targets: int = 6,
    has_new_disks: bool = False,
    kinds: tuple[str, ...] = FAULT_KINDS,
) -> dict:
    """Run one seed and return the builds, the outcomes and the violations found.

    Parameters
    ----------
    seed : int
        Seed of the order of the processes, of the faults and of the load.
    builds : tuple of Path
        The builds in the order in which they run.
    folder : Path
        Directory for settings, disks and logs.
    controls, entries, targets : int
        Number of processes or targets of each kind.
    has_new_disks : bool
        Whether replaced controls start with empty disks.
    kinds : tuple of str
        Kinds of faults of targets and of the paths to them.
    """
    folder.mkdir(parents=True, exist_ok=True)
    soak = UpgradeSoak(
        seed,
        folder,
        upgrade=Upgrade(builds, has_new_disks),
        controls=controls,
        entries=entries,
        targets=targets,
    )
    seconds = SECONDS_PER_PROCESS * (controls + entries) * (len(builds) - 1)
    asyncio.run(run_until_stopped(soak, draw_upgrade_faults(Random(seed), seconds, kinds)))
    return {
        "seed": seed,
        "builds": [build.name for build in builds],
        "requests": soak.history.count_outcomes(),
        "versions": len(soak.history.acknowledged_versions),
        "events": {event: count_events(folder, event) for event in UNKNOWN_EVENTS},
        "broken": soak.history.violations,
        "folder": str(folder),
    }


def count_events(folder: Path, event: str) -> int:
    """Return how many lines of an event the logs of all processes hold."""
    text = f'"event":"{event}"'
    return sum(path.read_text().count(text) for path in folder.glob("*.log"))
