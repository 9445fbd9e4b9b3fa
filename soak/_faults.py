"""Faults drawn by a seed and carried out from outside."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from ._proxy import Manner, Proxy
from ._record import Record
from ._site import Site
from ._targets import BAD_MANNERS, LINGER_SECONDS, Target

# Between the beginnings of two faults: some overlap, some come in series.
GAP_SECONDS = (0.2, 1.8)
# At any time some targets fail part of what they get.
NOISE_GAP_SECONDS = (0.3, 1.2)
# The platform kills a process so long after it asked it to stop.
GRACE_SECONDS = 6.0
# So long after a lost disk no other disk is lost: one at a time is to be borne.
CATCH_UP_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when it begins, what it is, whom it hits and for how long."""

    at: float
    kind: str
    victim: int
    seconds: float


KINDS = (
    "kill",
    "kill-torn",
    "wipe",
    "stop",
    "roll",
    "pause",
    "reload",
    "kill-controls",
    "delay",
    "silence",
    "lose-there",
    "lose-back",
    "reset",
    "target-bad",
    "target-cut",
    "target-leave",
)


def draw_faults(random: Random, seconds: float) -> list[Fault]:
    """Return faults over some seconds, in order of their beginnings."""
    faults = _draw(random, seconds, KINDS, GAP_SECONDS)
    faults += _draw(random, seconds, ("target-bad",), NOISE_GAP_SECONDS)
    return sorted(faults, key=lambda fault: fault.at)


def _draw(
    random: Random, seconds: float, kinds: tuple[str, ...], gap: tuple[float, float]
) -> list[Fault]:
    faults = []
    at = random.uniform(*gap)
    while at < seconds:
        kind, victim = random.choice(kinds), random.randrange(1 << 16)
        faults.append(Fault(round(at, 2), kind, victim, round(random.uniform(0.3, 4.0), 2)))
        at += random.uniform(*gap)
    return faults


class Injector:
    """Carries faults out.

    Parameters
    ----------
    site : Site
        The processes.
    targets : list of Target
        The targets.
    record : Record
        Told who is harmed, so that checks know who is calm.
    """

    def __init__(self, site: Site, targets: list[Target], record: Record):
        self.site = site
        self.targets = targets
        self.record = record
        self._busy: set[str] = set()
        self._wiped_at = float("-inf")

    async def inject(self, faults: list[Fault]) -> None:
        """Carry faults out at their times, and wait until all are over."""
        began = _read_time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, began + fault.at - _read_time()))
                group.create_task(self._carry_out(fault))

    async def _carry_out(self, fault: Fault) -> None:
        target = self.targets[fault.victim % len(self.targets)]
        vm = self.site.vms[fault.victim % len(self.site.vms)]
        if fault.kind.startswith("target"):
            await self._harm_target(fault, target)
        elif fault.kind == "kill-controls":
            await self._harm_all(self.site.controls, fault, self._kill)
        elif fault.kind == "roll":
            for entry in self.site.entries:
                await self._harm_all([entry], fault, self._stop)
        elif fault.kind in ("wipe", "kill-torn"):
            control = self.site.controls[fault.victim % len(self.site.controls)]
            harm = self._wipe if fault.kind == "wipe" else self._kill_torn
            await self._harm_all([control], fault, harm)
        elif fault.kind in ("kill", "stop", "pause", "reload"):
            harm = getattr(self, f"_{fault.kind}")
            await self._harm_all([vm], fault, harm)
        else:
            await self._harm_links(vm, fault)

    async def _harm_all(
        self, vms: list[str], fault: Fault, harm: Callable[[str, Fault], Awaitable[None]]
    ) -> None:
        """Do the same to some VMs, but for those to which something is being done."""
        free = [vm for vm in vms if vm not in self._busy]
        self._busy.update(free)
        self._note(free)
        try:
            await asyncio.gather(*(harm(vm, fault) for vm in free))
        finally:
            self._note(free)
            self._busy.difference_update(free)

    def _note(self, vms: list[str]) -> None:
        for vm in vms:
            self.record.harmed_at[vm] = _read_time()

    async def _kill(self, vm: str, fault: Fault) -> None:
        self.site.send(vm, signal.SIGKILL)
        await self.site.wait_until_ended(vm, GRACE_SECONDS)
        await asyncio.sleep(fault.seconds / 2)
        self.site.run(vm)

    async def _kill_torn(self, vm: str, fault: Fault) -> None:
        self.site.send(vm, signal.SIGKILL)
        await self.site.wait_until_ended(vm, GRACE_SECONDS)
        self.site.tear(vm)
        self.site.run(vm)

    async def _wipe(self, vm: str, fault: Fault) -> None:
        if _read_time() - self._wiped_at < CATCH_UP_SECONDS:
            return
        self._wiped_at = float("inf")
        self.site.send(vm, signal.SIGKILL)
        await self.site.wait_until_ended(vm, GRACE_SECONDS)
        self.site.wipe(vm)
        self.site.run(vm)
        await asyncio.sleep(CATCH_UP_SECONDS)
        self._wiped_at = _read_time()

    async def _stop(self, vm: str, fault: Fault) -> None:
        self.site.send(vm, signal.SIGTERM)
        await self.site.wait_until_ended(vm, GRACE_SECONDS)
        self.site.run(vm)

    async def _pause(self, vm: str, fault: Fault) -> None:
        self.site.send(vm, signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        self.site.send(vm, signal.SIGCONT)

    async def _reload(self, vm: str, fault: Fault) -> None:
        self.site.send(vm, signal.SIGHUP)

    async def _harm_links(self, vm: str, fault: Fault) -> None:
        proxies = list(self.site.proxies[vm].values())
        self._note([vm])
        await _harm_proxies(proxies, fault)
        self._note([vm])

    async def _harm_target(self, fault: Fault, target: Target) -> None:
        if fault.kind == "target-bad":
            target.manner = BAD_MANNERS[fault.victim % len(BAD_MANNERS)]
            await asyncio.sleep(fault.seconds)
            target.manner = ""
        elif fault.kind == "target-cut":
            manners = ("silence", "lose-there", "lose-back", "reset", "delay")
            kind = manners[fault.victim % len(manners)]
            await _harm_proxies([target.proxy], Fault(fault.at, kind, 0, fault.seconds))
        elif not any(item.is_leaving for item in self.targets):
            # One target at a time leaves; it comes back no more.
            target.is_leaving = True
            await asyncio.sleep(LINGER_SECONDS)


async def _harm_proxies(proxies: list[Proxy], fault: Fault) -> None:
    if fault.kind == "reset":
        for proxy in proxies:
            proxy.reset()
        return
    for proxy in proxies:
        proxy.delay = fault.seconds / 10
        proxy.manner = Manner(fault.kind)
    await asyncio.sleep(fault.seconds)
    for proxy in proxies:
        proxy.manner = Manner.PASS


def _read_time() -> float:
    return asyncio.get_running_loop().time()
