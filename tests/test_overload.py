"""Goodput before, during and after an overload of twice the capacity does not collapse.

Retries of shed requests can turn an overload into a retry storm that outlasts it. Entries select
targets and retry with the production state machines. Each simulated target has three slots and
sheds the requests that exceed them. The simulation controls time and randomness.
"""

import heapq
from collections import Counter
from random import Random

import pytest

from tarragonshelf.configuration import check_document
from tarragonshelf.entry.tests.fakes import create_content, create_entry
from tarragonshelf.execution import (
    Attempt,
    AttemptEnded,
    AttemptResult,
    LookupMachine,
    Request,
    Respond,
    Started,
)
from tarragonshelf.ledger import Answer
from tarragonshelf.membership import TargetRecord, TargetState

TARGETS = 12
SLOTS = 3
MEAN_SERVICE_SECONDS = 0.05
CAPACITY = TARGETS * SLOTS / MEAN_SERVICE_SECONDS
PHASE_SECONDS = 10.0
DOCUMENT = check_document(create_content(targets=TARGETS, floor=8)).ok
ANSWER = Answer(200)


class OverloadSimulation:
    """Simulates lookups that several entries send to targets with few slots."""

    def __init__(self, entries: int, *, retry_ratio: float = 0.1, seed: int = 3):
        self.random = Random(seed)
        self.nodes = [create_entry(f"e{n}", (), n) for n in range(entries)]
        for node in self.nodes:
            node._configure(DOCUMENT)
            node.budget.ratio = retry_ratio
            for n in range(TARGETS):
                node.gossip.targets.merge(-100.0, create_target(n))
        self.busy_slots: Counter = Counter()
        self.events: list = []
        self.last_number = 0
        self.refused = 0
        self.served = 0

    def run(self, phases: list[float]) -> list[float]:
        """Run one phase per load and return each goodput, both in requests per second."""
        goodput = []
        now = 0.0
        for rate in phases:
            end = now + PHASE_SECONDS
            completed = 0
            while now < end:
                now += self.random.expovariate(rate)
                completed += self._complete_until(now)
                self._start(now)
            goodput.append(completed / PHASE_SECONDS)
        return goodput

    def _start(self, now: float) -> None:
        node = self.random.choice(self.nodes)
        node.budget.earn()
        self.last_number += 1
        request = Request(
            self.last_number,
            "GET",
            "/rondas",
            "a",
            "",
            "d",
            DOCUMENT.routes[0],
            DOCUMENT.services[0],
            now + 2.0,
        )
        machine = LookupMachine(request, node)
        self._feed(now, node, machine, Started())

    def _feed(self, now, node, machine, message) -> bool:
        for effect in machine.handle(now, message):
            if isinstance(effect, Attempt):
                self._send(now, node, machine, effect)
            elif isinstance(effect, Respond):
                return True
        return False

    def _send(self, now, node, machine, attempt) -> None:
        address = attempt.target.address
        node.balancer.acquire(address)
        kind, seconds = AttemptResult.REFUSED, 0.001
        if self.busy_slots[address] < SLOTS:
            self.busy_slots[address] += 1
            self.served += 1
            kind, seconds = (
                AttemptResult.ANSWERED,
                self.random.expovariate(1 / MEAN_SERVICE_SECONDS),
            )
        self.refused += kind == AttemptResult.REFUSED
        self.last_number += 1
        ended = AttemptEnded(attempt.number, kind, ANSWER)
        event = (now + seconds, self.last_number, node, machine, address, ended)
        heapq.heappush(self.events, event)

    def _complete_until(self, now: float) -> int:
        completed = 0
        while self.events and self.events[0][0] <= now:
            at, _, node, machine, address, ended = heapq.heappop(self.events)
            node.balancer.release(address)
            if ended.kind == AttemptResult.ANSWERED:
                self.busy_slots[address] -= 1
            completed += self._feed(at, node, machine, ended)
        return completed


def create_target(n: int) -> TargetRecord:
    return TargetRecord("rondas", f"t{n}", "n1", SLOTS, TargetState.READY, 1, 1, ("e0",))


class TestOverload:
    @pytest.mark.parametrize("entries", [4, 48])
    def test_goodput_recovers_after_overload(self, entries):
        simulation = OverloadSimulation(entries)
        before, during, after = simulation.run([0.6 * CAPACITY, 2 * CAPACITY, 0.6 * CAPACITY])
        print(f"{entries} entries: goodput {before:.0f}, {during:.0f}, {after:.0f} per s")
        assert before >= 0.9 * 0.6 * CAPACITY
        assert during >= before
        assert after >= 0.95 * before

    def test_retries_stay_within_their_budget(self):
        # A refused attempt takes no slot and costs a quarter of a retry token, so a retry ratio of
        # 0.1 allows 0.1 / 0.25 refused attempts per request.
        simulation = OverloadSimulation(4)
        simulation.run([2 * CAPACITY])
        requests = 2 * CAPACITY * PHASE_SECONDS
        initial_retries = 4 * 10 / 0.25
        assert (
            simulation.served + simulation.refused
            <= 1.05 * requests * (1 + 0.1 / 0.25) + initial_retries
        )
