"""Runs the soak: ``python -m soak --seed N --seconds N``; prints one JSON object a seed."""

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

from ._faults import Fault, Injector, draw_faults
from ._record import Record
from ._site import Site, find_port
from ._targets import Target, keep_announcing
from ._traffic import Caller, Operator

START_SECONDS = 30.0
# After the last fault everything works again within so many seconds, as the pages say.
RECOVER_SECONDS = 15.0
# So many requests are sent to each entry in the end; any of them may meet a change.
FINAL_REQUESTS = 3


class Soak:
    """One seed: a site, its targets, callers and faults."""

    def __init__(self, seed: int, folder: Path, *, controls: int, entries: int, targets: int):
        self.random = Random(seed)
        self.record = Record()
        self.site = Site(folder, controls=controls, entries=entries, record=self.record)
        self.targets = [
            Target(f"t{number}", number, self.record, Random(self.random.random()))
            for number in range(targets)
        ]
        self.operator = Operator(self.site, self.record, Random(self.random.random()))
        self.callers = [
            Caller(number, self.site, self.record, Random(self.random.random()))
            for number in range(2 * entries)
        ]

    async def run(self, faults: list[Fault]) -> None:
        """Start, run under faults, and check the end."""
        tasks: list[asyncio.Task] = []
        await self.site.start()
        try:
            for target in self.targets:
                await target.start(self.site.target_host, find_port)
                tasks.append(_create(keep_announcing(target, self._list_calls)))
            await self._wait_until_serving()
            tasks += [_create(item.run()) for item in (*self.callers, self.operator)]
            tasks.append(_create(self._watch()))
            await Injector(self.site, self.targets, self.record).inject(faults)
            await self._check_end()
            self._note_crashes(tasks)
        finally:
            for task in tasks:
                task.cancel()
            self.site.stop()
            for target in self.targets:
                target.stop()

    def _list_calls(self) -> list[str]:
        calls = self.site.list_calls()
        return self.random.sample(calls, len(calls))

    async def _wait_until_serving(self) -> None:
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        async with ClientSession() as session:
            await asyncio.wait_for(self.operator.put(session, 1), START_SECONDS)
            for vm in self.site.entries:
                while (await self.callers[0].send(session, vm)).status not in (200, 500):
                    if asyncio.get_running_loop().time() > deadline:
                        raise TimeoutError(f"{vm} did not serve within {START_SECONDS} s")
                    await asyncio.sleep(0.2)

    async def _watch(self) -> None:
        while True:
            self.site.check_processes()
            await asyncio.sleep(0.2)

    async def _check_end(self) -> None:
        """See each entry serve by the newest document, and that document read back."""
        deadline = asyncio.get_running_loop().time() + RECOVER_SECONDS
        problems = await self._find_problems()
        while problems and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.5)
            problems = await self._find_problems()
        for problem in problems:
            self.record.report("recover", problem)

    async def _find_problems(self) -> list[str]:
        """Return what does not work at the moment."""
        problems = []
        async with ClientSession() as session:
            version = await self.operator.read(session)
            newest = max(number for _, number in self.record.acknowledged)
            if version < newest:
                problems.append(f"read version {version} instead of {newest}")
            for vm in self.site.entries:
                sent = [await self.callers[0].send(session, vm) for _ in range(FINAL_REQUESTS)]
                if not any(item.status == 200 for item in sent):
                    problems.append(f"{vm} answered {[item.status for item in sent]}")
                # The route of a version is replaced by that of the next one.
                asked = await self.callers[0].send(session, vm, f"v{newest}")
                if asked.status == 404 and newest == self.operator.version:
                    problems.append(f"{vm} has version {newest} not in force")
        return problems

    def _note_crashes(self, tasks: list[asyncio.Task]) -> None:
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                self.record.report("soak", f"a task of the soak failed: {task.exception()!r}")


def _create(coroutine) -> asyncio.Task:
    return asyncio.get_running_loop().create_task(coroutine)


async def _run_until_told(soak: Soak, faults: list[Fault]) -> None:
    """Run, and end all that was started when this process is asked to stop."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await soak.run(faults)


def run_seed(
    seed: int,
    seconds: float,
    *,
    controls: int = 3,
    entries: int = 4,
    targets: int = 8,
    folder: str = "",
) -> dict:
    """Run one seed and return what was found.

    Parameters
    ----------
    seed : int
        Draws the faults.
    seconds : float
        For how long faults begin.
    controls, entries, targets : int
        How many of each there are.
    folder : str
        Keeps settings, disks and logs; by default they are kept only if a promise was broken.
    """
    is_kept = bool(folder)
    path = Path(folder or tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    path.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, path, controls=controls, entries=entries, targets=targets)
    faults = draw_faults(Random(seed), seconds)
    asyncio.run(_run_until_told(soak, faults))
    if not soak.record.broken and not is_kept:
        shutil.rmtree(path)
    return {
        "seed": seed,
        "seconds": seconds,
        "faults": [f"{item.at} {item.kind} {item.victim} {item.seconds}" for item in faults],
        "requests": soak.record.count(),
        "versions": len(soak.record.acknowledged),
        "broken": soak.record.broken,
        "folder": str(path),
    }


def main(*, seed: int = 0, seconds: float = 15.0, runs: int = 1, **sizes) -> None:
    """Run seeds from one on; without a seed one is drawn."""
    seed = seed or SystemRandom().randrange(1 << 32)
    is_broken = False
    for number in range(runs):
        found = run_seed(seed + number, seconds, **sizes)
        print(json.dumps(found), flush=True)
        is_broken = is_broken or bool(found["broken"])
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
