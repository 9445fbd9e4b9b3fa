"""Entries with admission in front of the targets of one service, on a simulated clock."""

import heapq
from collections import Counter
from dataclasses import dataclass
from itertools import count
from random import Random

from ...admission import AdmissionController, ServiceLoad

SLOTS = 3
QUEUE_PER_SLOT = 2
# Requests per slot, waiting ones included, that a target holds before it refuses more.
MAXIMUM_HELD_PER_SLOT = 5
WORK_SECONDS = 0.15
TIMEOUT_SECONDS = 1.5
OBJECTIVE_SECONDS = 0.6
LOAD_INTERVAL_SECONDS = 0.1
MAXIMUM_ATTEMPTS = 3


@dataclass(slots=True)
class Caller:
    """A request; ``is_served`` if it was answered within its time-out, also after a return."""

    at: float
    rank: int
    account: str
    is_served: bool = False


class FakeFleet:
    """Entries that know each other's load from 0.1 s ago; no admission without ``ranks``."""

    def __init__(self, *, ranks: tuple[int, ...], seed: int, entries: int = 20, targets: int = 20):
        self.random = Random(seed)
        self.now = 0.0
        # Requests per second that all targets can run.
        self.capacity = SLOTS * targets / WORK_SECONDS
        self.usable = set(range(targets))
        # Outstanding requests of each target, and when each of its slots becomes free.
        self._held = Counter()
        self._free_at = [[0.0] * SLOTS for _ in range(targets)]
        self.controllers = [AdmissionController(Random(seed + item)) for item in range(entries)]
        for controller in self.controllers:
            controller.update_ranks({"s": ranks} if ranks else {})
        self.callers: list[Caller] = []
        # Refusals by admission, and the share of slots that were really free at that time.
        self.refusals: list[tuple[Caller, float]] = []
        # Outstanding requests of each entry, and those of the others that it knows.
        self._own, self._known = ([Counter() for _ in range(entries)] for _ in range(2))
        self._told_at = 0.0
        self._events: list = []
        self._order = count()

    def add_load(self, start: float, end: float, rate: float, rank: int, account: str) -> None:
        """Let callers come at random times with a mean rate per second."""
        at = start + self.random.expovariate(rate)
        while at < end:
            self.callers.append(Caller(at, rank, account))
            self._at(at, self._send, self.callers[-1])
            at += self.random.expovariate(rate)

    def remove_targets(self, at: float, number: int) -> None:
        """Let some targets vanish with what they run; all entries learn it at once."""
        self._at(at, self.usable.difference_update, range(number))

    def run(self, seconds: float) -> None:
        """Run until a time."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def get_served_share(self, start: float = 0.0, **values) -> float:
        """Return the share served of the callers since a time with some rank or account."""
        chosen = [item for item in self.callers if item.at >= start]
        for key, value in values.items():
            chosen = [item for item in chosen if getattr(item, key) == value]
        return sum(item.is_served for item in chosen) / len(chosen)

    def _at(self, at: float, function, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._order), function, arguments))

    def _send(self, caller: Caller) -> None:
        if self.now - self._told_at >= LOAD_INTERVAL_SECONDS:
            self._told_at, self._known = self.now, [self._held - own for own in self._own]
        entry = self.random.randrange(len(self.controllers))
        controller, now = self.controllers[entry], self.now
        own, known = self._own[entry], self._known[entry]
        held = {target: own[target] + known[target] for target in self.usable}
        slots, waiting = SLOTS * len(held), QUEUE_PER_SLOT * SLOTS * len(held)
        free = sum(max(0, SLOTS - value) for value in held.values())
        load = ServiceLoad(slots, free, sum(held.values()), waiting, WORK_SECONDS, 0.1)
        overload = controller.decide(now, "s", caller.rank, caller.account, load)
        room = [item for item in held if held[item] < SLOTS * (1 + QUEUE_PER_SLOT)]
        if overload is None and not room:
            overload = controller.refuse_full(now, "s", caller.rank, load)
        if overload is None and room:
            for _ in range(MAXIMUM_ATTEMPTS):
                # All entries see the same old counts, and would overload the least loaded target.
                chosen = min(self.random.choices(room, k=2), key=held.__getitem__)
                if self._run_at_target(entry, chosen, caller):
                    return
        if overload is not None:
            idle = sum(max(0, SLOTS - self._held[item]) for item in held)
            self.refusals.append((caller, idle / slots))
            if now + overload.retry_after < caller.at + TIMEOUT_SECONDS:
                self._at(now + overload.retry_after, self._send, caller)

    def _run_at_target(self, entry: int, number: int, caller: Caller) -> bool:
        controller, free_at = self.controllers[entry], self._free_at[number]
        controller.record_start(self.now, "s")
        if self._held[number] >= SLOTS * MAXIMUM_HELD_PER_SLOT:
            controller.record_refusal(self.now, "s")
            return False
        self._held[number] += 1
        self._own[entry][number] += 1
        end = max(self.now, heapq.heappop(free_at)) + self.random.expovariate(1 / WORK_SECONDS)
        heapq.heappush(free_at, end)
        self._at(end, self._end, entry, number, caller, self.now)
        return True

    def _end(self, entry: int, number: int, caller: Caller, sent_at: float) -> None:
        self._held[number] -= 1
        self._own[entry][number] -= 1
        if number in self.usable:
            caller.is_served = self.now <= caller.at + TIMEOUT_SECONDS
            seconds = self.now - sent_at
            self.controllers[entry].record_end(self.now, "s", seconds, OBJECTIVE_SECONDS)
