"""Faults that a seed determines, injected from outside the processes."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random

from ._history import STABLE_SECONDS, History
from ._proxy import PathFault, Proxy, ProxyMode
from ._site import Site
from ._targets import DRAIN_OBSERVATION_SECONDS, FAILURE_MODES, Target

# Range of the time between the starts of two faults: some overlap, some follow each other.
FAULT_INTERVAL_SECONDS = (0.2, 1.8)
# The same for additional target faults: at any time some targets fail part of their requests.
TARGET_FAULT_INTERVAL_SECONDS = (0.3, 1.2)
# The same for targets that name a request rate limit.
LIMIT_INTERVAL_SECONDS = (1.0, 4.0)
# The same for entries that lose the path to all targets, and the time for which they do, besides
# some seconds that the fault determines.
PATH_INTERVAL_SECONDS = (3.0, 9.0)
MINIMUM_PATH_CUT_SECONDS = 6.0
# Lowest limit in requests per second, and number of steps of 0.1 above it; without a limit a
# target receives about 4 requests per second.
MINIMUM_LIMIT = 0.4
LIMIT_STEPS = 17
# A limit is named for this long, and for some seconds more that the fault determines.
MINIMUM_LIMIT_SECONDS = 7.0
# The platform kills a process this time after it sent SIGTERM.
STOP_GRACE_SECONDS = 6.0
# Time that a control without its disk gets to catch up, and for which no disk is wiped afterwards:
# the fleet has to tolerate the loss of one disk at a time.
CATCH_UP_SECONDS = 5.0
# Range of the time between the starts of two replacements of controls in a run that replaces all,
# in an ordinary run, and of the time between other faults in a run that replaces all.
REPLACE_INTERVAL_SECONDS = (4.0, 12.0)
RARE_REPLACE_INTERVAL_SECONDS = (5.0, 25.0)
OTHER_FAULT_INTERVAL_SECONDS = (2.0, 6.0)
# A replaced control counts as lost until its successor has had this time with a majority, and the
# rest of it after its start if that takes longer than the second time, as on a busy machine.
SUCCESSOR_CATCH_UP_SECONDS = 4.0
SUCCESSOR_START_SECONDS = 1.0
POLL_SECONDS = 0.1
# The core counts as disturbed until killed controls accept connections, but at most for this time.
START_SECONDS = 10.0
# All messages pass proxies of this process. If it gets no processor for longer than this, they
# are held up, and the core counts as disturbed.
STALL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; ``victim`` selects the VM or target, modulo their number."""

    start_seconds: float
    kind: str
    victim: int
    duration_seconds: float


# A target announces its drain if the fault lasts less than this; otherwise only its responses say
# that it leaves. About half of the faults do.
ANNOUNCED_DRAIN_SECONDS = 2.15
# The target calls a control to leave and announces nothing else if the fault lasts less than this.
UNANNOUNCED_LEAVE_SECONDS = 1.3

# VMs are killed (also with a torn write, or all controls at once), wiped, stopped (entries one by
# one for "roll"), suspended or reloaded. Their connections are delayed, silenced or reset.
# Targets fail ("target-bad"), get faults of their connections ("target-cut") or leave.
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
# Targets name a request rate limit, change it and drop it. This kind is drawn after all others, so
# that earlier seeds keep their faults.
LIMIT_KIND = "target-limit"
# Some or all entries lose the path to all targets, drawn last for the same reason.
PATH_KINDS = tuple(f"path-{fault}" for fault in PathFault)
# A control is replaced by an empty one at a new address, drawn last for the same reason: the
# successor starts before the control is stopped, after it was stopped, or after it was killed.
REPLACE_KINDS = ("replace-ahead", "replace-stop", "replace-kill")
# The last fault, right after a change was acknowledged: all controls or all processes are killed,
# also with the loss of one control's disk, or a control is killed while another one is replaced.
FINAL_KINDS = ("final-controls", "final-all", "final-disk", "final-join")


def draw_faults(random: Random, seconds: float) -> list[Fault]:
    """Return the faults that start within ``seconds``, ordered by start."""
    faults = _draw(random, seconds, KINDS, FAULT_INTERVAL_SECONDS)
    faults += _draw(random, seconds, ("target-bad",), TARGET_FAULT_INTERVAL_SECONDS)
    faults += _draw(random, seconds, (LIMIT_KIND,), LIMIT_INTERVAL_SECONDS)
    faults += _draw(random, seconds, PATH_KINDS, PATH_INTERVAL_SECONDS)
    faults += _draw(random, seconds, REPLACE_KINDS, RARE_REPLACE_INTERVAL_SECONDS)
    return sorted(faults, key=lambda fault: fault.start_seconds)


def draw_replacements(random: Random, seconds: float, controls: int) -> list[Fault]:
    """Return faults that replace all controls one by one, and others within ``seconds``."""
    faults, at = [], random.uniform(*OTHER_FAULT_INTERVAL_SECONDS)
    for position in random.sample(range(controls), controls):
        gap = round(random.uniform(0.3, 4.0), 2)
        faults.append(Fault(round(at, 2), random.choice(REPLACE_KINDS), position, gap))
        at += random.uniform(*REPLACE_INTERVAL_SECONDS)
    faults += _draw(random, seconds, KINDS, OTHER_FAULT_INTERVAL_SECONDS)
    return sorted(faults, key=lambda fault: fault.start_seconds)


def draw_final_fault(random: Random) -> Fault:
    """Return the fault that ends a run."""
    (fault,) = _draw(random, 1.0, FINAL_KINDS, (0.6, 0.9))
    return fault


def _draw(
    random: Random, seconds: float, kinds: tuple[str, ...], interval: tuple[float, float]
) -> list[Fault]:
    faults = []
    at = random.uniform(*interval)
    while at < seconds:
        kind, victim = random.choice(kinds), random.randrange(1 << 16)
        faults.append(Fault(round(at, 2), kind, victim, round(random.uniform(0.3, 4.0), 2)))
        at += random.uniform(*interval)
    return faults


class Injector:
    """Injects faults into the processes and targets of a site.

    Parameters
    ----------
    site : Site
        Processes and their proxies.
    targets : list of Target
        Targets that may fail.
    history : History
        Receives the times of disturbances, so that checks can excuse disturbed VMs.
    """

    def __init__(self, site: Site, targets: list[Target], history: History):
        self.site = site
        self.targets = targets
        self.history = history
        self._disturbed_vms: set[str] = set()
        self._fault_counts: Counter[str] = Counter()
        self._control_count = len(site.controls)
        self._start_watches: set[asyncio.Task] = set()
        self._stalled_at = float("-inf")
        self._has_path_cut = False
        self._wiped_at = float("-inf")

    async def inject(self, faults: list[Fault]) -> None:
        """Inject faults at their start times, and wait until all have ended."""
        started_at = _get_time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, started_at + fault.start_seconds - _get_time()))
                group.create_task(self._inject_one(fault))

    async def _inject_one(self, fault: Fault) -> None:
        target = self.targets[fault.victim % len(self.targets)]
        vm = self.site.vms[fault.victim % len(self.site.vms)]
        if fault.kind.startswith("target"):
            await self._disturb_target(fault, target)
        elif fault.kind in PATH_KINDS:
            await self._cut_paths(fault)
        elif fault.kind in REPLACE_KINDS:
            await self._replace(fault)
        elif fault.kind == "kill-controls":
            await self._disturb_vms(self.site.controls, fault, self._kill)
        elif fault.kind == "roll":
            for entry in self.site.entries:
                await self._disturb_vms([entry], fault, self._stop)
        elif fault.kind in ("wipe", "kill-torn"):
            control = self.site.controls[fault.victim % len(self.site.controls)]
            inject = self._wipe if fault.kind == "wipe" else self._kill_torn
            await self._disturb_vms([control], fault, inject)
        elif fault.kind in ("kill", "stop", "pause", "reload"):
            inject = getattr(self, f"_{fault.kind}")
            await self._disturb_vms([vm], fault, inject)
        else:
            await self._disturb_links(vm, fault)

    async def _disturb_vms(
        self, vms: list[str], fault: Fault, inject: Callable[[str, Fault], Awaitable[None]]
    ) -> None:
        """Inject a fault into those of some VMs that are not being disturbed already."""
        undisturbed = [vm for vm in vms if vm not in self._disturbed_vms]
        self._disturbed_vms.update(undisturbed)
        self._record_disturbance(undisturbed, 1)
        try:
            await asyncio.gather(*(inject(vm, fault) for vm in undisturbed))
        finally:
            self._record_disturbance(undisturbed, -1)
            self._disturbed_vms.difference_update(undisturbed)
            self._watch_start(undisturbed)

    def _record_disturbance(self, vms: list[str], change: int) -> None:
        """Record that a fault of some VMs begins (1) or ends (-1)."""
        for vm in vms:
            self.history.record_disturbance(_get_time(), vm)
            self._fault_counts[vm] += change
        if any(vm not in self.site.entries for vm in vms):
            self.history.record_core(_get_time(), self._has_majority())

    def _watch_start(self, vms: list[str], extra_seconds: float = 0.0) -> None:
        controls = [vm for vm in vms if vm in self.site.controls]
        if controls:
            self._start_watches.add(asyncio.create_task(self.watch_start(controls, extra_seconds)))

    async def watch_start(self, controls: list[str], extra_seconds: float) -> None:
        """Count the core as disturbed while controls start, and some seconds longer.

        A start takes longer on a busy machine.
        """
        deadline = _get_time() + START_SECONDS
        while _get_time() < deadline and not all(map(self.site.is_listening, controls)):
            self.history.record_core(_get_time(), self._has_majority())
            await asyncio.sleep(POLL_SECONDS)
        deadline = _get_time() + extra_seconds
        while _get_time() < deadline:
            self.history.record_core(_get_time(), self._has_majority())
            await asyncio.sleep(POLL_SECONDS)

    def _has_majority(self) -> bool:
        sound = sum(not self._fault_counts[vm] for vm in self.site.controls)
        return 2 * sound > self._control_count

    async def _kill(self, vm: str, fault: Fault) -> None:
        self.site.send_signal(vm, signal.SIGKILL)
        await self.site.wait_for_exit(vm, STOP_GRACE_SECONDS)
        await asyncio.sleep(fault.duration_seconds / 2)
        self.site.start_process(vm)

    async def _kill_torn(self, vm: str, fault: Fault) -> None:
        self.site.send_signal(vm, signal.SIGKILL)
        await self.site.wait_for_exit(vm, STOP_GRACE_SECONDS)
        self.site.tear_journal(vm)
        self.site.start_process(vm)

    async def _wipe(self, vm: str, fault: Fault) -> None:
        if _get_time() - self._wiped_at < CATCH_UP_SECONDS:
            return
        self._wiped_at = float("inf")
        self.site.send_signal(vm, signal.SIGKILL)
        await self.site.wait_for_exit(vm, STOP_GRACE_SECONDS)
        self.site.wipe_disk(vm)
        self.site.start_process(vm)
        await asyncio.sleep(CATCH_UP_SECONDS)
        self._wiped_at = _get_time()

    async def _replace(self, fault: Fault) -> None:
        """Replace a control by an empty one once no other disk is missing."""
        while True:
            vm = self.site.controls[fault.victim % len(self.site.controls)]
            is_disk_missing = _get_time() - self._wiped_at < CATCH_UP_SECONDS
            if not is_disk_missing and vm not in self._disturbed_vms:
                break
            await asyncio.sleep(POLL_SECONDS)
        self._wiped_at = float("inf")
        # The address is not used again, so that this fault never ends.
        self._disturbed_vms.add(vm)
        successor = ""
        if fault.kind == "replace-ahead":
            successor = await self._start_successor(vm)
            await asyncio.sleep(fault.duration_seconds)
        self._record_disturbance([vm], 1)
        is_killed = fault.kind == "replace-kill"
        self.site.send_signal(vm, signal.SIGKILL if is_killed else signal.SIGTERM)
        await self.site.wait_for_exit(vm, STOP_GRACE_SECONDS)
        self.site.remove_control(vm)
        if not successor:
            await asyncio.sleep(fault.duration_seconds / 2)
            successor = await self._start_successor(vm)
        self._change_settings()
        await self.wait_for_catch_up(successor)
        self._change_settings()
        self._end_catch_up(successor)
        self._wiped_at = _get_time() - CATCH_UP_SECONDS

    async def _start_successor(self, vm: str) -> str:
        successor = await self.site.add_control(vm)
        self._disturbed_vms.add(successor)
        self._record_disturbance([successor], 1)
        self._change_settings()
        return successor

    async def wait_for_catch_up(self, successor: str) -> None:
        """Wait until a new control has had the time to become a member that has caught up."""
        started_at = _get_time()
        deadline = started_at + START_SECONDS
        while _get_time() - started_at < SUCCESSOR_CATCH_UP_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            now = _get_time()
            if not self._has_majority() or self._stalled_at > started_at:
                started_at, deadline = now, now + START_SECONDS
            elif now < deadline and not self._is_started(successor):
                started_at = max(started_at, now - SUCCESSOR_START_SECONDS)

    async def watch_stalls(self) -> None:
        """Record the times in which this process stands still, until cancelled."""
        checked_at = _get_time()
        while True:
            await asyncio.sleep(POLL_SECONDS)
            now = _get_time()
            if now - checked_at > POLL_SECONDS + STALL_SECONDS:
                self._stalled_at = now
                self.history.record_stall(checked_at, now, self._has_majority())
            checked_at = now

    def _is_started(self, successor: str) -> bool:
        """Return whether a new control and a majority accept connections."""
        listening = sum(self.site.is_listening(vm) for vm in self.site.controls)
        return self.site.is_listening(successor) and 2 * listening > self._control_count

    def _end_catch_up(self, successor: str) -> None:
        """Count a new control as sound; the core is disturbed only by its start."""
        had_majority = self._has_majority()
        self._fault_counts[successor] -= 1
        self.history.record_disturbance(_get_time(), successor)
        self._disturbed_vms.discard(successor)
        if self._has_majority() != had_majority:
            self.history.record_core(_get_time(), self._has_majority())

    def _change_settings(self) -> None:
        """Let all settings name other seeds, and signal this to some running processes."""
        for vm in self.site.vms:
            self.site.write_settings(vm)
            # A process that is still starting does not handle signals yet.
            is_started = self.history.is_undisturbed(vm, _get_time() - STABLE_SECONDS)
            if is_started and vm not in self._disturbed_vms and self.site.random.random() < 0.5:
                self.site.send_signal(vm, signal.SIGHUP)

    async def inject_final(self, fault: Fault) -> None:
        """Inject the last fault and start everything again."""
        controls = self.site.controls
        victim = controls[fault.victim % len(controls)]
        if fault.kind == "final-join":
            removal = replace(fault, kind="replace-kill", duration_seconds=0.0)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._replace(removal))
                await asyncio.sleep(fault.duration_seconds / 2)
                other = next(vm for vm in controls if vm != victim)
                await self._disturb_vms([other], fault, self._kill)
        else:
            await self._kill_together(fault, victim)
        # After a last fault that took most controls, the rest has twice the usual time to recover.
        self._watch_start(self.site.controls, STABLE_SECONDS)

    async def _kill_together(self, fault: Fault, victim: str) -> None:
        """Kill several VMs at once, possibly with the loss of one disk, and start them again."""
        controls = self.site.controls
        vms = controls if fault.kind == "final-controls" else self.site.vms
        self._record_disturbance(vms, 1)
        for vm in vms:
            self.site.send_signal(vm, signal.SIGKILL)
        for vm in vms:
            await self.site.wait_for_exit(vm, STOP_GRACE_SECONDS)
        if fault.kind == "final-disk":
            self.site.wipe_disk(victim)
        for vm in vms:
            self.site.start_process(vm)
        self._record_disturbance(vms, -1)

    async def _stop(self, vm: str, fault: Fault) -> None:
        self.site.send_signal(vm, signal.SIGTERM)
        await self.site.wait_for_exit(vm, STOP_GRACE_SECONDS)
        self.site.start_process(vm)

    async def _pause(self, vm: str, fault: Fault) -> None:
        self.site.send_signal(vm, signal.SIGSTOP)
        await asyncio.sleep(fault.duration_seconds)
        self.site.send_signal(vm, signal.SIGCONT)

    async def _reload(self, vm: str, fault: Fault) -> None:
        self.site.send_signal(vm, signal.SIGHUP)

    async def _cut_paths(self, fault: Fault) -> None:
        """Cut some entries off from all targets; callers and controls still reach them."""
        if self._has_path_cut:
            return
        self._has_path_cut = True
        entries = self.site.entries
        # Each bit of the number selects an entry; at least one is selected.
        mask = 1 + fault.victim % ((1 << len(entries)) - 1)
        cut = [vm for number, vm in enumerate(entries) if mask >> number & 1]
        # A control that is replaced meanwhile counts as disturbed.
        controls, started_at = self.site.controls, _get_time()
        self._set_path_fault(cut, PathFault(fault.kind.removeprefix("path-")))
        await asyncio.sleep(MINIMUM_PATH_CUT_SECONDS + fault.duration_seconds)
        self._set_path_fault(cut, None)
        self.history.check_path_cut(
            cut,
            started_at,
            _get_time(),
            controls=controls,
            others=[vm for vm in entries if vm not in cut],
        )
        self._has_path_cut = False

    def _set_path_fault(self, vms: list[str], path_fault: PathFault | None) -> None:
        for target in self.targets:
            for vm in vms:
                target.proxy.set_path_fault(vm, path_fault)

    async def _disturb_links(self, vm: str, fault: Fault) -> None:
        proxies = list(self.site.proxies[vm].values())
        self._record_disturbance([vm], 1)
        await _disturb_proxies(proxies, fault)
        self._record_disturbance([vm], -1)

    async def _disturb_target(self, fault: Fault, target: Target) -> None:
        if fault.kind == "target-bad":
            target.failure_mode = FAILURE_MODES[fault.victim % len(FAILURE_MODES)]
            await asyncio.sleep(fault.duration_seconds)
            target.failure_mode = ""
        elif fault.kind == LIMIT_KIND:
            await _limit_target(fault, target)
        elif fault.kind == "target-cut":
            proxy_faults = ("silence", "lose-there", "lose-back", "reset", "delay")
            kind = proxy_faults[fault.victim % len(proxy_faults)]
            await _disturb_proxies(
                [target.proxy], Fault(fault.start_seconds, kind, 0, fault.duration_seconds)
            )
        elif not any(item.is_leaving for item in self.targets):
            # At most one target leaves in a run, and it does not return. Some announce no drain.
            target.is_leaving = True
            target.is_draining = fault.duration_seconds < ANNOUNCED_DRAIN_SECONDS
            target.only_leaves = fault.duration_seconds < UNANNOUNCED_LEAVE_SECONDS
            await asyncio.sleep(DRAIN_OBSERVATION_SECONDS)


async def _limit_target(fault: Fault, target: Target) -> None:
    """Let a target that names no limit name one, then another one, then none."""
    if target.limit is not None:
        return
    steps = divmod(fault.victim, LIMIT_STEPS)
    seconds = MINIMUM_LIMIT_SECONDS + fault.duration_seconds
    for step in steps:
        target.name_limit(round(MINIMUM_LIMIT + step % LIMIT_STEPS / 10, 1))
        await asyncio.sleep(seconds / len(steps))
    target.name_limit(None)


async def _disturb_proxies(proxies: list[Proxy], fault: Fault) -> None:
    if fault.kind == "reset":
        for proxy in proxies:
            proxy.reset()
        return
    for proxy in proxies:
        proxy.delay_seconds = fault.duration_seconds / 10
        proxy.mode = ProxyMode(fault.kind)
    await asyncio.sleep(fault.duration_seconds)
    for proxy in proxies:
        proxy.mode = ProxyMode.PASS


def _get_time() -> float:
    return asyncio.get_running_loop().time()
