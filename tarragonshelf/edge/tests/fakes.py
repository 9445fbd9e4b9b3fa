"""Entries, hubs and targets that declare limits, on a simulated network and clock."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import count
from random import Random

from ...base import Effect, Message
from ...catalogue import CatalogueStored, PutCatalogue, compress_content
from ...edge import (
    AllowanceAnswered,
    EdgeNode,
    EdgeSettings,
    FollowHub,
    HubLost,
    HubProbed,
    HubReceived,
    PermitAnswered,
    ProbeHub,
    RetryDecided,
    SendToHub,
)
from ...forwarding import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    Cancel,
    ForwardRequest,
    Refuse,
    RelayAttempt,
    RelayEnded,
    RelayOutcome,
    RequestMachine,
    RequestPermit,
    RequestRetryGrant,
    RespondWith,
    RetryBudgetSettings,
    RetryGrantAnswered,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
)
from ...forwarding.tests.fakes import create_route
from ...hub import AnnounceTarget, SubscriberLost, SubscriberReceived
from ...hub.tests.fakes import PORT, REGIONS, FakeReader, FakeSite
from ...registry import TargetEntry, TargetState
from ...relaying import (
    CheckTargets,
    CloseIdleConnections,
    PathDoubted,
    TargetChecked,
    TargetConnected,
)
from ...throttling import LimitStatement, PauseStatement

STEP = 0.01
# Bound of the users' specification for targets whose responses say that they leave.
DRAIN_SECONDS = 2.5
TICK_STEPS = 5
MEAN_WORK_SECONDS = 0.15
ANNOUNCEMENT_SECONDS = 2.0
# Bounds of the users' specification for targets that name a limit.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_SETTLE_SECONDS = 3.0
TOLD_SECONDS = 0.5
# Requests that may reach a target during a pause, from TOLD_SECONDS after it was requested.
PAUSE_SLACK = 2
# Time after which an entry gives up opening a connection, and after which the kernel gives up one
# whose bytes are not acknowledged.
CONNECT_TIMEOUT_SECONDS = 0.35
USER_TIMEOUT_SECONDS = 1.5
# Time after which an entry gives up connecting to a hub.
HUB_CONNECT_TIMEOUT_SECONDS = 1.0
# Time in which a hub answers a probe.
PROBE_SECONDS = 0.1
# Time after which a connection that is being opened is reported as slow, and after which a check
# of a target is given up.
SLOW_CONNECT_SECONDS = 0.1
CHECK_SECONDS = 0.25
# Time that a message takes between two entries.
RELAY_SECONDS = 0.01
# An idle connection is used again within this time.
IDLE_SECONDS = 2.0
# Time in which a network answers that a connection is refused or reset.
REFUSE_SECONDS = 0.01


class PathFault(StrEnum):
    """What happens to an entry's connections to all targets.

    Connections hang, are reset, or go on while new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(slots=True)
class Arrival:
    """A request that reached a target; ``was_told`` is whether its entry had to know the limit.

    ``is_late`` is whether its caller sent it so long after that entry had passed on a response of
    the target that said that it leaves, that it should have gone elsewhere.
    """

    at: float
    entry: str
    was_told: bool
    is_late: bool = False


@dataclass(slots=True)
class FakeTarget:
    """A target, what its responses say of it, and the requests that reached it."""

    entry: TargetEntry
    limit: float | None = None
    # Whether the target answers nothing, so that connections to it hang.
    is_dead: bool = False
    arrivals: list[Arrival] = field(default_factory=list)
    # When each entry first passed on a response that names the limit.
    told_at: dict[str, float] = field(default_factory=dict)
    # Whether its responses say that it leaves, and when each entry first passed on such a one.
    is_leaving: bool = False
    departure_told_at: dict[str, float] = field(default_factory=dict)
    # Seconds for which the target wants no requests; it turns each one away.
    pause: float | None = None
    # When each entry was turned away, and when the requested pause ends.
    pauses: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    # Whether another target answers at its address.
    is_replaced: bool = False

    def count_arrivals(self, start: float, end: float) -> int:
        """Return how many requests arrived in a span of time."""
        return sum(start <= item.at < end for item in self.arrivals)


@dataclass(slots=True)
class Outcome:
    """How a request ended; ``refusal`` is None if a target responded."""

    request: ForwardRequest
    entry: str
    ended_at: float
    refusal: Refuse | None


@dataclass(slots=True)
class Relayed:
    """A request that an entry forwards for another one."""

    relay: "FakeEntry"
    machine: RequestMachine


@dataclass(slots=True)
class FakeEntry:
    """An entry process and its connection to a hub."""

    name: str
    node: EdgeNode
    hub: str = ""
    number: int = 0
    is_cut: bool = False
    is_frozen: bool = False
    path_fault: PathFault | None = None
    # When the idle connection to a target was last used.
    idle_connections: dict[str, float] = field(default_factory=dict)
    open_attempts: dict[tuple[RequestMachine, int], FakeTarget] = field(default_factory=dict)
    # Requests that other entries forward, by state machine and number of the attempt.
    relayed: dict[tuple[RequestMachine, int], Relayed] = field(default_factory=dict)
    most_relayed: int = 0
    inbox: list[Callable[[], None]] = field(default_factory=list)


def create_target(number: int) -> FakeTarget:
    """Return a target that is ready."""
    name = f"t{number}"
    entry = TargetEntry(name, 1000, 1, TargetState.READY, f"{name}:80", "s", f"z{number % 3}", 3)
    return FakeTarget(entry)


class FakeFleet:
    """Entries that forward requests to targets of one service.

    Parameters
    ----------
    entries, targets, hubs : int
        Number of each.
    rate : float
        Requests per second of all callers together.
    seed : int, optional
        Seed of everything random.
    """

    def __init__(self, *, entries: int, targets: int, rate: float, hubs: int = 3, seed: int = 1):
        self.random = Random(seed)
        self.rate = rate
        self.site = FakeSite(hubs, seed=seed, data_centres=3)
        self.site.step = STEP
        self.numbers = count(1)
        self.events: list = []
        self.outcomes: list[Outcome] = []
        # Ids of the requests that reached a target.
        self.ran: set[str] = set()
        # How often each request was delivered to a target, and those that may run once only.
        self.deliveries: Counter = Counter()
        self.orders: set[str] = set()
        self.entries: dict[str, FakeEntry] = {}
        self.disturbed: set[str] = set()
        # Whether a response that says that its target leaves counts although the entry has not
        # heard yet that the target was restarted.
        self.counts_unknown_incarnations = False
        self.site.put(1)
        self.targets = [create_target(number) for number in range(targets)]
        # Called with each decision on an allowance.
        self.handle_allowance: Callable[[FakeEntry, AllowanceAnswered], None] | None = None
        self._next_request_at = float("inf")
        self._steps = 0
        self._pending_retries: dict[tuple[str, int], RequestMachine] = {}
        self._pending_permits: dict[tuple[str, int], RequestMachine] = {}
        # How a relayed request ends: called with its result.
        self._relay_results: dict[RequestMachine, Callable[[Effect], None]] = {}
        for number in range(entries):
            self.start_entry(f"e{number}")
        for target in self.targets:
            self._announce(target)
        self.advance(6.0)
        assert all(item.node.is_ready for item in self.entries.values())
        self._next_request_at = self.now

    @property
    def now(self) -> float:
        """The simulated time in seconds."""
        return self.site.now

    # Faults

    def start_entry(self, name: str) -> None:
        """Start an entry process, or restart it without any state."""
        data_centre = f"z{int(name[1:]) % 3}"
        settings = EdgeSettings(
            vm=name,
            address=f"{name}:80",
            data_centre=data_centre,
            regions=REGIONS,
            hubs=tuple(f"{vm}:{PORT}" for vm in self.site.seeds),
            budget=RetryBudgetSettings(ratio=0.2, slack=40.0, window=10.0),
            address_lifetime_seconds=1.5,
            relay_address=f"{name}:90",
        )
        if name in self.entries:
            self.disturbed.add(name)
            self._excuse(name)
            self._disconnect(self.entries[name])
            self._break_relayed(self.entries[name])
        node = EdgeNode(settings=settings, reader=FakeReader(), random=Random(name))
        self.entries[name] = FakeEntry(name, node)

    def kill_entry(self, name: str) -> None:
        """Kill an entry process for good."""
        self._disconnect(self.entries[name])
        del self.entries[name]

    def cut_entry(self, name: str, *, is_cut: bool) -> None:
        """Cut an entry off from all hubs, or reconnect it."""
        self.disturbed.add(name)
        self.entries[name].is_cut = is_cut

    def cut_paths(self, names: list[str], fault: PathFault) -> None:
        """Cut entries off from all targets; hubs and callers still reach them."""
        for name in names:
            entry = self.entries[name]
            entry.path_fault = fault
            if fault == PathFault.RESET:
                entry.idle_connections.clear()
                for machine, number in list(entry.open_attempts):
                    self._end_attempt(entry, machine, number, AttemptOutcome.BROKEN, 0.0)

    def heal_paths(self, names: list[str]) -> None:
        """Let entries reach the targets again."""
        for name in names:
            self.entries[name].path_fault = None

    def stop_entry(self, name: str) -> None:
        """Begin a graceful stop of an entry, which finishes the requests in flight."""
        entry = self.entries[name]
        self._execute(entry, entry.node.stop())

    def freeze_entry(self, name: str, *, is_frozen: bool) -> None:
        """Suspend an entry process, or let it go on with what arrived meanwhile."""
        self.disturbed.add(name)
        self._excuse(name)
        entry = self.entries[name]
        entry.is_frozen = is_frozen
        if not is_frozen:
            inbox, entry.inbox = entry.inbox, []
            for handle in inbox:
                handle()

    def _excuse(self, name: str) -> None:
        """Forget what targets told an entry that is restarted or suspended."""
        for target in self.targets:
            target.departure_told_at.pop(name, None)

    # Simulation

    def advance(self, seconds: float) -> None:
        """Advance the clock; deliver messages, requests and responses."""
        for _ in range(round(seconds / STEP)):
            self.site.advance(STEP)
            self._steps += 1
            self._deliver_pushes()
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            while self._next_request_at <= self.now:
                self._next_request_at += self.random.expovariate(self.rate)
                self._start_request()
            if self._steps % TICK_STEPS == 0:
                for entry in self.entries.values():
                    if not entry.is_frozen:
                        self._execute(entry, entry.node.tick(self.now))

    def stop_hubs(self, *vms: str) -> None:
        """Kill hubs; the entries that follow them lose their connections."""
        for vm in vms:
            self.site.stop(vm)
        for entry in self.entries.values():
            if entry.hub in vms:
                lost = HubLost(f"{entry.hub}:{PORT}")
                entry.hub = ""
                self._execute(entry, entry.node.handle(self.now, lost))

    def remove_hub(self, vm: str) -> None:
        """Remove the VM of a hub for good after it was asked to stop."""
        self.site.stop_gracefully(vm)
        self.site.remove(vm)
        self.stop_hubs(vm)

    def start_put(self, version: int, report: Callable[[int], None]) -> None:
        """Send a version to the leader, and report its number once it is acknowledged."""
        leader = self.site.leader
        if leader is None:
            return
        content = compress_content(str(version).encode())
        call = self.site.call(leader, PutCatalogue(version, content))

        def check() -> None:
            reply = self.site.replies.get(call)
            if isinstance(reply, CatalogueStored):
                report(version)
            elif reply is None:
                self._after(STEP, check)

        self._after(0.0, check)

    def start_hubs(self, *vms: str) -> None:
        """Start hubs from their disks."""
        for vm in vms:
            self.site.start(vm)

    def restart_target(self, target: FakeTarget) -> None:
        """Start a target again under its name, as a new incarnation."""
        started = target.entry.started + 1000
        target.entry = replace(target.entry, started=started, sequence=0)
        target.told_at.clear()
        target.is_leaving = False
        target.departure_told_at.clear()
        target.pauses.clear()

    def replace_target(self, target: FakeTarget) -> FakeTarget:
        """End a target and start another one at its address."""
        target.is_replaced = True
        successor = create_target(len(self.targets))
        successor.entry = replace(
            successor.entry,
            address=target.entry.address,
            data_centre=target.entry.data_centre,
            started=target.entry.started + 1000,
        )
        self.targets.append(successor)
        self._announce(successor)
        return successor

    def list_late_arrivals(self) -> list[str]:
        """Return the requests that reached a target too long after it had said that it leaves."""
        return [
            f"{target.entry.identity} got one of {item.entry} at {item.at:.2f} s"
            for target in self.targets
            for item in target.arrivals
            if item.is_late
        ]

    def list_refusals(self, since: float) -> list[Outcome]:
        """Return the requests that were refused since a time."""
        return [item for item in self.outcomes if item.refusal and item.ended_at >= since]

    def find_excess(self, target: FakeTarget, named_at: float, *, is_strict: bool) -> list[str]:
        """Return the windows in which a target got more than its limit allows.

        Parameters
        ----------
        target : FakeTarget
            A target whose limit did not change since ``named_at``.
        named_at : float
            When it began to name the limit.
        is_strict : bool
            Whether requests of all entries count; otherwise only those of undisturbed entries
            that the target had told its limit, as the users' specification says.
        """
        allowed = LIMIT_FACTOR * target.limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        times = [
            item.at
            for item in target.arrivals
            if item.at >= named_at + LIMIT_SETTLE_SECONDS
            and (is_strict or (item.was_told and item.entry not in self.disturbed))
        ]
        found = []
        for start in times:
            got = sum(start <= at < start + LIMIT_WINDOW_SECONDS for at in times)
            if got > allowed:
                name = target.entry.identity
                found.append(f"{name} got {got} from {start:.2f} s on; allowed {allowed:.0f}")
        return found

    def find_pause_breaches(self, *, is_strict: bool = False) -> list[str]:
        """Return the pauses in which an entry sent a target more requests than is allowed.

        With ``is_strict`` the requests of disturbed entries count, too.
        """
        found = []
        for target in self.targets:
            for name, pauses in target.pauses.items():
                if name in self.disturbed and not is_strict:
                    continue
                times = [item.at for item in target.arrivals if item.entry == name]
                for at, until in pauses:
                    got = sum(at + TOLD_SECONDS <= time < until for time in times)
                    if got > PAUSE_SLACK:
                        identity = target.entry.identity
                        found.append(
                            f"{identity} got {got} of {name} from {at:.2f} to {until:.2f}"
                        )
        return found

    def _announce(self, target: FakeTarget) -> None:
        """Announce a target to any hub that runs, now and from time to time, until it ends."""
        if target.is_replaced:
            return
        running = [vm for vm, hub in self.site.hubs.items() if hub.node is not None]
        target.entry = replace(target.entry, sequence=target.entry.sequence + 1)
        if running:
            self.site.call(self.random.choice(running), AnnounceTarget(target.entry))
        self._after(ANNOUNCEMENT_SECONDS, lambda: self._announce(target))

    def _after(self, seconds: float, handle: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + seconds, next(self.numbers), handle))

    def run_in(self, entry: FakeEntry, handle: Callable[[], None]) -> None:
        """Run a handler in an entry process, and execute what it causes."""

        def run() -> None:
            handle()
            self._execute(entry, entry.node.pop_pending_effects())

        self._run_at(entry, run)

    def _run_at(self, entry: FakeEntry, handle: Callable[[], None]) -> None:
        """Run a handler in an entry process, once it is not frozen, unless it was restarted."""
        if self.entries.get(entry.name) is not entry:
            return
        if entry.is_frozen:
            entry.inbox.append(handle)
        else:
            handle()

    # Hubs

    def _deliver_pushes(self) -> None:
        pushed, self.site.pushed = self.site.pushed, []
        by_number = {(item.hub, item.number): item for item in self.entries.values()}
        for vm, number, message in pushed:
            entry = by_number.get((vm, number))
            if entry is not None and not entry.is_cut:
                self._run_at(
                    entry,
                    lambda entry=entry, vm=vm, message=message: self._execute(
                        entry,
                        entry.node.handle(self.now, HubReceived(f"{vm}:{PORT}", message)),
                    ),
                )

    def _execute(self, entry: FakeEntry, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, FollowHub):
                self._follow(entry, effect.address.partition(":")[0])
            elif isinstance(effect, ProbeHub):
                self._probe_hub(entry, effect.address)
            elif isinstance(effect, SendToHub):
                self._send_to_hub(entry, effect.message)
            elif isinstance(effect, RetryDecided):
                machine = self._pending_retries.pop((entry.name, effect.number))
                self._handle(entry, machine, RetryGrantAnswered(effect.is_granted))
            elif isinstance(effect, CheckTargets):
                for target in effect.targets:
                    self._check_target(entry, self.targets[int(target.identity[1:])])
            elif isinstance(effect, CloseIdleConnections) and effect.target is not None:
                entry.idle_connections.pop(effect.target.identity, None)
            elif isinstance(effect, CloseIdleConnections):
                entry.idle_connections.clear()
            elif isinstance(effect, AllowanceAnswered):
                self.handle_allowance(entry, effect)
            elif isinstance(effect, PermitAnswered):
                machine = self._pending_permits.pop((entry.name, effect.number))
                self._handle(entry, machine, effect.decided)

    def _check_target(self, entry: FakeEntry, target: FakeTarget) -> None:
        is_connected = entry.path_fault is None and not target.is_dead
        is_silent = target.is_dead or entry.path_fault == PathFault.HANG
        checked = TargetChecked(target.entry.identity, is_connected)
        self._notify_later(entry, checked, CHECK_SECONDS if is_silent else REFUSE_SECONDS)

    def _follow(self, entry: FakeEntry, vm: str) -> None:
        self._disconnect(entry)
        hub = self.site.hubs.get(vm)
        if entry.is_cut or hub is None or hub.node is None:
            lost = HubLost(f"{vm}:{PORT}")
            is_silent = entry.is_cut or hub is None or hub.is_gone
            seconds = HUB_CONNECT_TIMEOUT_SECONDS if is_silent else REFUSE_SECONDS
            self._after(seconds, lambda: self._execute(entry, entry.node.handle(self.now, lost)))
            return
        entry.hub, entry.number = vm, next(self.numbers)
        self._send_to_hub(entry, entry.node.create_subscription())

    def _probe_hub(self, entry: FakeEntry, address: str) -> None:
        hub = self.site.hubs.get(address.partition(":")[0])
        is_silent = entry.is_cut or hub is None or hub.is_gone or hub.suspended_at is not None
        if is_silent or hub.node is None:
            seconds = HUB_CONNECT_TIMEOUT_SECONDS if is_silent else REFUSE_SECONDS
            self._notify_later(entry, HubProbed(address, None), seconds)
            return
        is_current = hub.node.is_current(self.now)
        news = HubReceived(address, hub.node.registrar.create_hub_news())
        self._notify_later(entry, news, PROBE_SECONDS)
        self._notify_later(entry, HubProbed(address, is_current), PROBE_SECONDS)

    def _disconnect(self, entry: FakeEntry) -> None:
        if entry.hub and self.site.hubs[entry.hub].node is not None:
            self.site.receive(entry.hub, SubscriberLost(entry.number))
        entry.hub = ""

    def _send_to_hub(self, entry: FakeEntry, message) -> None:
        if entry.hub and not entry.is_cut:
            self.site.receive(entry.hub, SubscriberReceived(entry.number, message))

    # Requests

    def _start_request(self) -> None:
        entry = self.random.choice(list(self.entries.values()))
        self._run_at(entry, lambda: self._forward(entry))

    def _forward(self, entry: FakeEntry) -> None:
        if not entry.node.is_ready:
            return
        route = create_route(is_repeatable=self.random.random() < 0.4)
        identity = f"q{next(self.numbers)}"
        if not route.is_repeatable:
            self.orders.add(identity)
        request = ForwardRequest(identity, route, "s", self.now, self.now + route.timeout)
        entry.node.record_request(self.now, "s")
        self._handle(entry, RequestMachine(request, entry.node), Started())

    def _handle(self, entry: FakeEntry, machine: RequestMachine, message) -> None:
        for effect in machine.handle(self.now, message):
            if isinstance(effect, Attempt):
                self._send_attempt(entry, machine, effect)
            elif isinstance(effect, RelayAttempt):
                self._relay(entry, machine, effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(entry, machine, effect.at)
            elif isinstance(effect, RequestRetryGrant):
                number = entry.node.request_retry(self.now, effect.service)
                self._pending_retries[entry.name, number] = machine
            elif isinstance(effect, RequestPermit):
                number = entry.node.request_permit(self.now, effect.needed)
                self._pending_permits[entry.name, number] = machine
            elif isinstance(effect, RespondWith | Refuse):
                self._finish(entry, machine, effect)
            else:
                assert isinstance(effect, Cancel)
                entry.open_attempts.pop((machine, effect.number), None)
                self._cancel_relayed(entry, machine, effect.number)
        self._execute(entry, entry.node.pop_pending_effects())

    def _set_timer(self, entry: FakeEntry, machine: RequestMachine, at: float) -> None:
        self._after(
            max(0.0, at - self.now),
            lambda: self._run_at(entry, lambda: self._handle(entry, machine, TimerFired())),
        )

    def _send_attempt(self, entry: FakeEntry, machine: RequestMachine, attempt: Attempt) -> None:
        """Send a request on an idle connection or a new one, unless the path is cut."""
        target = self.targets[int(attempt.target.identity[1:])]
        number, fault = attempt.number, entry.path_fault
        entry.open_attempts[machine, number] = target
        used_at = entry.idle_connections.pop(target.entry.identity, float("-inf"))
        is_reused = self.now - used_at < IDLE_SECONDS
        if target.is_dead or fault == PathFault.HANG:
            outcome = AttemptOutcome.BROKEN if is_reused else AttemptOutcome.UNHEARD
            seconds = USER_TIMEOUT_SECONDS if is_reused else CONNECT_TIMEOUT_SECONDS
            if not is_reused:
                doubted = PathDoubted(target.entry.identity)
                self._notify_later(entry, doubted, SLOW_CONNECT_SECONDS)
            self._fail_later(entry, machine, number, outcome, seconds)
        elif fault == PathFault.RESET or (fault == PathFault.REFUSE and not is_reused):
            outcome = AttemptOutcome.NOT_SENT
            self._fail_later(entry, machine, number, outcome, REFUSE_SECONDS)
        else:
            if not is_reused:
                self._notify_later(entry, TargetConnected(target.entry.identity), 0.0)
            self._deliver_attempt(entry, machine, number, target, attempt.target.started)

    def _notify_later(self, entry: FakeEntry, message: Message, seconds: float) -> None:
        self._after(
            seconds,
            lambda: self._run_at(
                entry, lambda: self._execute(entry, entry.node.handle(self.now, message))
            ),
        )

    def _fail_later(
        self,
        entry: FakeEntry,
        machine: RequestMachine,
        number: int,
        outcome: AttemptOutcome,
        seconds: float,
    ) -> None:
        self._after(seconds, lambda: self._end_attempt(entry, machine, number, outcome, seconds))

    def _end_attempt(
        self,
        entry: FakeEntry,
        machine: RequestMachine,
        number: int,
        outcome: AttemptOutcome,
        seconds: float,
    ) -> None:
        if entry.open_attempts.pop((machine, number), None) is not None:
            ended = AttemptEnded(number, outcome, seconds)
            self._run_at(entry, lambda: self._handle(entry, machine, ended))

    def _deliver_attempt(
        self,
        entry: FakeEntry,
        machine: RequestMachine,
        number: int,
        target: FakeTarget,
        started: int,
    ) -> None:
        if target.is_replaced:
            outcome = AttemptOutcome.MISDIRECTED
            self._fail_later(entry, machine, number, outcome, REFUSE_SECONDS)
            return
        left_at = target.departure_told_at.get(entry.name, float("inf"))
        is_late = machine.request.arrived_at > left_at + DRAIN_SECONDS
        told_at = target.told_at.get(entry.name, float("inf"))
        was_told = target.limit is not None and self.now - told_at >= TOLD_SECONDS
        target.arrivals.append(Arrival(self.now, entry.name, was_told, is_late))
        if target.pause is not None:
            pause = target.pause
            self._after(
                REFUSE_SECONDS, lambda: self._turn_away(entry, machine, number, target, pause)
            )
            return
        self.ran.add(machine.request.identity)
        self.deliveries[machine.request.identity] += 1
        seconds = self.random.expovariate(1 / MEAN_WORK_SECONDS)
        self._after(
            seconds, lambda: self._answer(entry, machine, number, target, seconds, started)
        )

    def _answer(
        self,
        entry: FakeEntry,
        machine: RequestMachine,
        number: int,
        target: FakeTarget,
        seconds: float,
        started: int,
    ) -> None:
        is_cut = entry.path_fault not in (None, PathFault.REFUSE)
        if is_cut or entry.open_attempts.pop((machine, number), None) is None:
            return
        entry.idle_connections[target.entry.identity] = self.now
        limit = LimitStatement(target.limit)
        answer = TargetAnswer(200, (), b"")
        is_leaving = target.is_leaving
        ended = AttemptEnded(
            number, AttemptOutcome.ANSWERED, seconds, answer, limit, is_leaving=is_leaving
        )

        def handle() -> None:
            is_known = started == target.entry.started or self.counts_unknown_incarnations
            if is_leaving and target.is_leaving and is_known:
                target.departure_told_at.setdefault(entry.name, self.now)
            if limit.rate is not None:
                target.told_at.setdefault(entry.name, self.now)
            self._handle(entry, machine, ended)

        self._run_at(entry, handle)

    def _turn_away(
        self,
        entry: FakeEntry,
        machine: RequestMachine,
        number: int,
        target: FakeTarget,
        seconds: float,
    ) -> None:
        """Refuse a request and ask for a pause."""
        is_cut = entry.path_fault not in (None, PathFault.REFUSE)
        if is_cut or entry.open_attempts.pop((machine, number), None) is None:
            return
        target.pauses.setdefault(entry.name, []).append((self.now, self.now + seconds))
        entry.idle_connections[target.entry.identity] = self.now
        limit = None if target.limit is None else LimitStatement(target.limit)
        answer = TargetAnswer(503, (), b"")
        outcome, pause = AttemptOutcome.REFUSED, PauseStatement(seconds)
        ended = AttemptEnded(number, outcome, REFUSE_SECONDS, answer, limit, pause=pause)

        def handle() -> None:
            if limit is not None:
                target.told_at.setdefault(entry.name, self.now)
            self._handle(entry, machine, ended)

        self._run_at(entry, handle)

    # Relayed requests

    def _relay(self, entry: FakeEntry, machine: RequestMachine, attempt: RelayAttempt) -> None:
        assert not machine.request.is_relayed, "a relayed request is relayed again"
        relay = self.entries[attempt.relay.address.partition(":")[0]]
        minimum_version = entry.node.minimum_relay_version
        self._after(
            RELAY_SECONDS,
            lambda: self._run_at(
                relay,
                lambda: self._receive_relayed(entry, machine, attempt, relay, minimum_version),
            ),
        )

    def _receive_relayed(
        self,
        entry: FakeEntry,
        machine: RequestMachine,
        attempt: RelayAttempt,
        relay: FakeEntry,
        minimum_version: int,
    ) -> None:
        reason = relay.node.find_decline_reason(minimum_version, machine.request.size)
        if reason is not None:
            ended = RelayEnded(attempt.number, RelayOutcome.DECLINED, decline_reason=reason)
            self._reply_relayed(entry, machine, ended)
            return
        route = replace(machine.request.route, maximum_attempts=attempt.maximum_attempts)
        request = replace(machine.request, route=route, arrived_at=self.now, is_relayed=True)
        relayed = Relayed(relay, RequestMachine(request, relay.node))
        entry.relayed[machine, attempt.number] = relayed
        received_at = self.now
        relay.node.path.acquire_relayed(machine.request.size)
        relay.most_relayed = max(relay.most_relayed, relay.node.path.relayed_requests)

        def finish(effect: Effect) -> None:
            relay.node.path.release_relayed(machine.request.size)
            if entry.relayed.pop((machine, attempt.number), None) is None:
                return
            if isinstance(effect, Refuse):
                ended = RelayEnded(
                    attempt.number, RelayOutcome.REFUSED, refusal=effect, usage=effect.usage
                )
            else:
                target = self.targets[int(effect.target[1:])]
                held = entry.node.targets.get(effect.target)
                is_known = held is not None and held.started == target.entry.started
                known_at = entry.node.targets.get_known_at(effect.target)
                if target.is_leaving and is_known and known_at < received_at - 2 * RELAY_SECONDS:
                    target.departure_told_at.setdefault(entry.name, self.now)
                ended = RelayEnded(
                    attempt.number,
                    RelayOutcome.RESPONDED,
                    effect.answer,
                    effect.target,
                    usage=effect.usage,
                    is_leaving=target.is_leaving,
                )
            self._reply_relayed(entry, machine, ended)

        self._relay_results[relayed.machine] = finish
        self._handle(relay, relayed.machine, Started())

    def _reply_relayed(self, entry: FakeEntry, machine: RequestMachine, ended: RelayEnded) -> None:
        self._after(
            RELAY_SECONDS,
            lambda: self._run_at(entry, lambda: self._handle(entry, machine, ended)),
        )

    def _break_relayed(self, relay: FakeEntry) -> None:
        """Break the connections of all entries to one that is killed."""
        for entry in self.entries.values():
            for (machine, number), item in list(entry.relayed.items()):
                if item.relay is relay:
                    del entry.relayed[machine, number]
                    self._relay_results.pop(item.machine, None)
                    ended = RelayEnded(number, RelayOutcome.BROKEN)
                    self._reply_relayed(entry, machine, ended)

    def _cancel_relayed(self, entry: FakeEntry, machine: RequestMachine, number: int) -> None:
        relayed = entry.relayed.pop((machine, number), None)
        if relayed is not None:
            relayed.relay.node.path.release_relayed(machine.request.size)
            self._relay_results.pop(relayed.machine, None)
            for effect in relayed.machine.abandon(self.now):
                relayed.relay.open_attempts.pop((relayed.machine, effect.number), None)

    def _finish(self, entry: FakeEntry, machine: RequestMachine, effect: Effect) -> None:
        if machine.request.is_relayed:
            self._relay_results.pop(machine)(effect)
            return
        refusal = effect if isinstance(effect, Refuse) else None
        self.outcomes.append(Outcome(machine.request, entry.name, self.now, refusal))
