"""Soak test: ``python -m soak --seed N --seconds N`` prints one JSON object per seed."""

import asyncio
import json
import shutil
import signal
import sys
import tempfile
from pathlib import Path
from random import Random, SystemRandom

import fire
from aiohttp import ClientSession

from ._accounts import AccountChecks, draw_accounts
from ._bad_callers import BadCallers
from ._faults import Fault, Injector, draw_faults, draw_final_fault, draw_replacements
from ._history import History
from ._site import Site, find_free_port
from ._targets import Target, keep_announcing
from ._traffic import Caller, Operator

START_TIMEOUT_SECONDS = 30.0
# The users' specification requires that everything works again this time after the last fault.
RECOVERY_TIMEOUT_SECONDS = 15.0
# Number of requests sent to each entry at the end, of which one has to succeed: any single one may
# fail because it coincides with a change.
FINAL_REQUESTS = 3


class Soak:
    """One run: a site, its targets, an operator and callers."""

    may_have_accounts = True

    def __init__(self, seed: int, folder: Path, *, controls: int, entries: int, targets: int):
        self.random = Random(seed)
        self.history = self._create_history()
        self.site = self._create_site(
            folder,
            controls=controls,
            entries=entries,
            history=self.history,
            random=Random(f"settings of {seed}"),
        )
        self.targets = [
            Target(f"t{number}", number, self.history, Random(self.random.random()))
            for number in range(targets)
        ]
        self.operator = Operator(self.site, self.history, Random(self.random.random()))
        self.callers = [
            Caller(number, self.site, self.history, Random(self.random.random()))
            for number in range(2 * entries)
        ]
        draws = draw_accounts(seed) if self.may_have_accounts else None
        if draws is not None:
            self.history.accounts = AccountChecks(self.history, draws)

    async def run(self, faults: list[Fault], final_fault: Fault | None = None) -> None:
        """Start the site, inject faults under load, and check that everything recovers.

        The last fault comes when everything has recovered from the others.
        """
        tasks: list[asyncio.Task] = []
        await self.site.start()
        try:
            for target in self.targets:
                await target.start(self.site.target_host, find_free_port)
                tasks.append(
                    _create_task(keep_announcing(target, self._shuffle_control_addresses))
                )
            await self._wait_until_serving()
            changes = _create_task(self.operator.run())
            tasks += [changes, *(_create_task(item.run()) for item in self.callers)]
            if self.history.accounts is not None:
                draws = self.history.accounts.draws
                caller = Caller(len(self.callers), self.site, self.history, draws.random)
                tasks.append(_create_task(BadCallers(caller, draws).run()))
            tasks.append(_create_task(self._watch_processes()))
            injector = self._create_injector()
            tasks.append(_create_task(injector.watch_stalls()))
            await self._inject(injector, faults)
            await self._check_recovery("faults")
            if final_fault is not None:
                changes.cancel()
                await self._put_last_version()
                await injector.inject_final(final_fault)
                await self._check_recovery("the final fault")
            self._report_failed_tasks(tasks)
        finally:
            for task in tasks:
                task.cancel()
            self.site.stop()
            for target in self.targets:
                target.stop()

    def _create_history(self) -> History:
        return History()

    def _create_site(self, folder: Path, **options) -> Site:
        return Site(folder, **options)

    def _create_injector(self) -> Injector:
        return Injector(self.site, self.targets, self.history)

    async def _inject(self, injector: Injector, faults: list[Fault]) -> None:
        await injector.inject(faults)

    async def _put_last_version(self) -> None:
        """Change the document; it is due for as long as all has to be recovered in."""
        async with ClientSession() as session:
            put = self.operator.put(session, self.operator.version + 1)
            try:
                await asyncio.wait_for(put, RECOVERY_TIMEOUT_SECONDS)
            except TimeoutError:
                self.history.report_violation(
                    "recover",
                    f"version {self.operator.version} was not acknowledged within "
                    f"{RECOVERY_TIMEOUT_SECONDS:g} s",
                )

    def _shuffle_control_addresses(self) -> list[str]:
        addresses = self.site.list_control_addresses()
        return self.random.sample(addresses, len(addresses))

    async def _wait_until_serving(self) -> None:
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_SECONDS
        async with ClientSession() as session:
            await asyncio.wait_for(self.operator.put(session, 1), START_TIMEOUT_SECONDS)
            for vm in self.site.entries:
                while (await self.callers[0].send(session, vm, version=0)).status not in (
                    200,
                    500,
                ):
                    if asyncio.get_running_loop().time() > deadline:
                        raise TimeoutError(f"{vm} did not serve within {START_TIMEOUT_SECONDS} s")
                    await asyncio.sleep(0.2)

    async def _watch_processes(self) -> None:
        while True:
            self.site.check_processes()
            await asyncio.sleep(0.2)

    async def _check_recovery(self, cause: str) -> None:
        """Check that each entry serves by the newest document, and each control returns it."""
        deadline = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_SECONDS
        problems = await self._find_problems()
        while problems and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.5)
            problems = await self._find_problems()
        for problem in problems:
            self.history.report_violation("recover", f"after {cause}, {problem}")

    async def _find_problems(self) -> list[str]:
        """Return a description of each function that currently fails."""
        problems = []
        async with ClientSession() as session:
            newest = max(number for _, number in self.history.acknowledged_versions)
            for vm in self.site.controls:
                version = await self.operator.read(session, f"{vm}:{self.site.call_port}")
                if version < newest:
                    problems.append(f"{vm} returned version {version} instead of {newest}")
            for vm in self.site.entries:
                sent = [
                    await self.callers[0].send(session, vm, version=0)
                    for _ in range(FINAL_REQUESTS)
                ]
                if not any(item.status == 200 for item in sent):
                    problems.append(
                        f"{vm} responded only with statuses {[item.status for item in sent]}"
                    )
                # Each version replaces the route of the previous one by a route of its own.
                lookup = await self.callers[0].send(session, vm, version=newest)
                if lookup.status == 404 and newest == self.operator.version:
                    problems.append(f"{vm} does not have version {newest} in force")
        return problems

    def _report_failed_tasks(self, tasks: list[asyncio.Task]) -> None:
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                self.history.report_violation(
                    "soak", f"a task of the soak failed: {task.exception()!r}"
                )


def _create_task(coroutine) -> asyncio.Task:
    return asyncio.get_running_loop().create_task(coroutine)


async def run_until_stopped(
    soak: Soak, faults: list[Fault], final_fault: Fault | None = None
) -> None:
    """Run, and stop all child processes when this process receives SIGTERM."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await soak.run(faults, final_fault)


def run_seed(
    seed: int,
    seconds: float,
    *,
    controls: int = 3,
    entries: int = 4,
    targets: int = 8,
    replace: bool = False,
    folder: str = "",
) -> dict:
    """Run one seed and return the faults, the outcomes and the violations found.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the load.
    seconds : float
        Time within which faults start.
    controls, entries, targets : int
        Number of processes or targets of each kind.
    replace : bool
        Whether all controls are replaced one after another, beside few other faults.
    folder : str
        Directory in which settings, disks and logs are kept. By default, a temporary directory
        is used and kept only if a guarantee was violated.
    """
    is_kept = bool(folder)
    path = Path(folder or tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    path.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, path, controls=controls, entries=entries, targets=targets)
    random = Random(seed)
    if replace:
        faults = draw_replacements(random, seconds, controls)
    else:
        faults = draw_faults(random, seconds)
    final_fault = draw_final_fault(random)
    asyncio.run(run_until_stopped(soak, faults, final_fault))
    if not soak.history.violations and not is_kept:
        shutil.rmtree(path)
    return {
        "seed": seed,
        "seconds": seconds,
        "faults": [
            f"{item.start_seconds} {item.kind} {item.victim} {item.duration_seconds}"
            for item in (*faults, final_fault)
        ],
        "requests": soak.history.count_outcomes(),
        "versions": len(soak.history.acknowledged_versions),
        "has_accounts": soak.history.accounts is not None,
        "stalls": soak.history.stalls,
        "broken": soak.history.violations,
        "folder": str(path),
    }


def main(*, seed: int = 0, seconds: float = 15.0, runs: int = 1, **sizes) -> None:
    """Run consecutive seeds, starting with ``seed`` or, if it is 0, with a random one.

    Exit with status 1 if a guarantee was violated.
    """
    seed = seed or SystemRandom().randrange(1 << 32)
    has_violations = False
    for number in range(runs):
        result = run_seed(seed + number, seconds, **sizes)
        print(json.dumps(result), flush=True)
        has_violations = has_violations or bool(result["broken"])
    sys.exit(1 if has_violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
