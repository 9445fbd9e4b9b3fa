"""Twice the load for a while: goodput before, during and after, on the real decisions.

Entries choose targets and retry by their own state machines; targets are three slots each that
shed what exceeds them. Time and randomness are the driver's.
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
WORK_SECONDS = 0.05
CAPACITY = TARGETS * SLOTS / WORK_SECONDS
PHASE_SECONDS = 10.0
DOCUMENT = check_document(create_content(targets=TARGETS, floor=8)).ok
ANSWER = Answer(200)


class Overload:
    """Drives lookups of several entries at targets with few slots."""

    def __init__(self, entries: int, *, ratio: float = 0.1, seed: int = 3):
        self.random = Random(seed)
        self.nodes = [create_entry(f"e{n}", (), n) for n in range(entries)]
        for node in self.nodes:
            node._configure(DOCUMENT)
            node.budget.ratio = ratio
            for n in range(TARGETS):
                node.gossip.targets.merge(-100.0, create_target(n))
        self.busy: Counter = Counter()
        self.events: list = []
        self.number = 0
        self.refused = 0
        self.served = 0

    def run(self, phases: list[float]) -> list[float]:
        """Run phases of a load each, in requests a second; return each one's goodput."""
        goodput = []
        now = 0.0
        for rate in phases:
            end = now + PHASE_SECONDS
            done = 0
            while now < end:
                now += self.random.expovariate(rate)
                done += self._work_until(now)
                self._start(now)
            goodput.append(done / PHASE_SECONDS)
        return goodput

    def _start(self, now: float) -> None:
        node = self.random.choice(self.nodes)
        node.budget.earn()
        self.number += 1
        request = Request(
            self.number,
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
        if self.busy[address] < SLOTS:
            self.busy[address] += 1
            self.served += 1
            kind, seconds = AttemptResult.ANSWERED, self.random.expovariate(1 / WORK_SECONDS)
        self.refused += kind == AttemptResult.REFUSED
        self.number += 1
        ended = AttemptEnded(attempt.number, kind, ANSWER)
        event = (now + seconds, self.number, node, machine, address, ended)
        heapq.heappush(self.events, event)

    def _work_until(self, now: float) -> int:
        done = 0
        while self.events and self.events[0][0] <= now:
            at, _, node, machine, address, ended = heapq.heappop(self.events)
            node.balancer.release(address)
            if ended.kind == AttemptResult.ANSWERED:
                self.busy[address] -= 1
            done += self._feed(at, node, machine, ended)
        return done


def create_target(n: int) -> TargetRecord:
    return TargetRecord("rondas", f"t{n}", "n1", SLOTS, TargetState.READY, 1, 1, ("e0",))


class TestOverload:
    @pytest.mark.parametrize("entries", [4, 48])
    def test_goodput_recovers_by_itself(self, entries):
        driver = Overload(entries)
        before, during, after = driver.run([0.6 * CAPACITY, 2 * CAPACITY, 0.6 * CAPACITY])
        print(f"{entries} entries: goodput {before:.0f}, {during:.0f}, {after:.0f} per s")
        assert before >= 0.9 * 0.6 * CAPACITY
        assert during >= before
        assert after >= 0.95 * before

    def test_retries_stay_within_their_budget(self):
        # A refused attempt takes no slot and costs a quarter of a retry: 0.1 / 0.25 a request.
        driver = Overload(4)
        driver.run([2 * CAPACITY])
        requests = 2 * CAPACITY * PHASE_SECONDS
        reserve = 4 * 10 / 0.25
        assert driver.served + driver.refused <= 1.05 * requests * (1 + 0.1 / 0.25) + reserve
