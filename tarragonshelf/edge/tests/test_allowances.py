"""Allowances of client accounts over all entries, under faults and in calm."""

from bisect import bisect_left
from collections import Counter
from functools import partial
from random import Random

import pytest

from ...catalogue import ClientAccount
from .fakes import STEP, FakeFleet

WINDOW_SECONDS = 5.0
OVERAGE = 1.1
SLACK = 20


class AccountLoad:
    """Requests of client accounts that arrive at random at the entries of a fleet.

    ``accounts`` are the rate, the burst and the requests per second that callers send, by name.
    """

    def __init__(self, accounts: dict[str, tuple[float, float, float]], *, seed: int, **sizes):
        self.fleet = FakeFleet(targets=1, rate=0.01, seed=seed, **sizes)
        self.fleet.handle_allowance = self.record
        self.random = Random(seed)
        self.accounts: dict[str, ClientAccount] = {}
        self.demand = {name: demand for name, (_, _, demand) in accounts.items()}
        self.granted: dict[str, list[float]] = {name: [] for name in accounts}
        self.sent: Counter = Counter()
        self.outcomes: Counter = Counter()
        self.pending: dict[tuple[int, int], str] = {}
        self.put(2, {name: item[:2] for name, item in accounts.items()})

    def put(self, version: int, limits: dict[str, tuple[float, float]]) -> None:
        """Put rates and bursts of the accounts in force, by a version of the catalogue."""
        words = " ".join(f"{name}:{rate}:{burst}" for name, (rate, burst) in limits.items())
        assert self.fleet.site.put(version, words)
        self.accounts = {name: ClientAccount(name, (), *item) for name, item in limits.items()}

    def reset(self) -> None:
        """Forget all decisions so far."""
        self.granted = {name: [] for name in self.granted}
        self.outcomes.clear()
        self.sent.clear()

    def run(self, seconds: float) -> None:
        """Send requests for some time."""
        names, weights = list(self.demand), list(self.demand.values())
        for _ in range(round(seconds / STEP)):
            self.fleet.advance(STEP)
            mean = sum(weights) * STEP
            while (mean := mean - self.random.expovariate(1.0)) > 0.0:
                self.send(self.random.choices(names, weights)[0])

    def send(self, name: str) -> None:
        entry = self.random.choice(list(self.fleet.entries.values()))
        self.sent[name] += 1

        def request() -> None:
            if not entry.node.is_ready:
                return
            accounts = entry.node.catalogue.accounts or ()
            account = next(item for item in accounts if item.name == name)
            number = entry.node.allowances.request(self.fleet.now, account)
            self.pending[id(entry), number] = name

        self.fleet.run_in(entry, request)

    def record(self, entry, answered) -> None:
        name = self.pending.pop((id(entry), answered.number))
        decided = answered.decided
        self.outcomes[name, decided.decider, decided.is_granted] += 1
        if decided.is_granted:
            self.granted[name].append(self.fleet.now)

    def count_refused(self, excluded: str = "") -> int:
        items = self.outcomes.items()
        return sum(n for (name, _, granted), n in items if not granted and name != excluded)

    def find_worst(self, name: str, since: float = 0.0) -> float:
        """Return the most requests of an account in a window, as a share of the bound."""
        account = self.accounts[name]
        allowed = (WINDOW_SECONDS * account.rate + account.burst) * OVERAGE + SLACK
        times = sorted(at for at in self.granted[name] if at >= since)
        counts = (
            bisect_left(times, start + WINDOW_SECONDS) - index for index, start in enumerate(times)
        )
        return max(counts, default=0) / allowed


def run_faults(load: AccountLoad, random: Random, count: int) -> None:
    """Let faults of hubs and entries happen one after the other, each of many at a time."""
    fleet, site = load.fleet, load.fleet.site
    cut, freeze = fleet.cut_entry, fleet.freeze_entry
    for _ in range(count):
        leaders, hubs = [site.leader] if site.leader else [], sorted(site.hubs)
        entries = sorted(fleet.entries)
        some = random.sample(entries, random.randint(1, len(entries) * 2 // 3))
        names, begin, end = random.choice(
            [
                (leaders, fleet.stop_hubs, fleet.start_hubs),
                (leaders, site.suspend, site.resume),
                (random.sample(hubs, random.randint(2, 5)), fleet.stop_hubs, fleet.start_hubs),
                (random.sample(hubs, 2), site.isolate, lambda _: site.blocked_links.clear()),
                (some, partial(cut, is_cut=True), partial(cut, is_cut=False)),
                (some, partial(freeze, is_frozen=True), partial(freeze, is_frozen=False)),
                (some, fleet.kill_entry, fleet.start_entry),
            ]
        )
        for name in names:
            begin(name)
        load.run(random.uniform(0.5, 12.0))
        for name in names:
            end(name)
        load.run(random.uniform(0.0, 6.0))


# Rate, burst, and the requests that callers send each second: far beyond the allowance.
FLOODING_ACCOUNTS = {"a": (240.0, 0.0, 800.0), "b": (40.0, 20.0, 120.0), "c": (2.0, 4.0, 6.0)}


class TestBound:
    @pytest.mark.parametrize("seed", range(4))
    def test_bound_holds_over_faults(self, seed):
        """Load: three accounts at 3 times their rates, over kills, herd kills, freezes and cuts.

        Guards against more than the hard bound in any window, whichever hubs and entries fail.
        """
        load = AccountLoad(FLOODING_ACCOUNTS, seed=seed, entries=12, hubs=5)
        load.run(3.0)
        run_faults(load, Random(seed), 6)
        assert max(load.find_worst(name) for name in load.accounts) <= 1.0
        assert all(load.granted.values())

    def test_bound_fails_if_each_entry_enforces_the_whole_rate_alone(self):
        """The double lacks the leader: the bound that the other tests check can be exceeded."""
        load = AccountLoad(FLOODING_ACCOUNTS, seed=1, entries=24, hubs=3)
        for entry in load.fleet.entries.values():
            entry.node.allowances.has_hub = lambda now: False
            entry.node.allowances.set_entries(1)
            entry.node.allowances._local.answered_at = float("inf")
        load.run(6.0)
        assert all(load.find_worst(name) > 1.0 for name in ("a", "b"))

    def test_lowered_rate_binds_one_window_after_it_is_in_force(self):
        load = AccountLoad(FLOODING_ACCOUNTS, seed=2, entries=12, hubs=5)
        load.run(8.0)
        load.put(3, {"a": (40.0, 0.0), "b": (4.0, 2.0), "c": (1.0, 0.0)})
        in_force_at = load.fleet.now
        load.run(WINDOW_SECONDS)
        load.fleet.stop_hubs(load.fleet.site.leader)
        load.run(10.0)
        assert all(
            load.find_worst(name, in_force_at + WINDOW_SECONDS) <= 1 for name in load.demand
        )


class TestUse:
    def test_flooding_account_gets_its_allowance_and_others_keep_theirs(self):
        """Load: 80 accounts whose rates follow a Zipf distribution, one at 7 times its usual rate.

        Guards against refusals within the allowance in calm, and against an allowance that stays
        partly unused.
        """
        rates = {f"a{rank}": 150.0 / rank**1.2 for rank in range(1, 81)}
        accounts = {name: (rate, 0.0, rate / 1.6) for name, rate in rates.items()}
        load = AccountLoad(accounts, seed=1, entries=103, hubs=11)
        load.run(30.0)
        load.reset()
        load.run(20.0)
        assert load.count_refused() <= 0.005 * load.sent.total()
        assert not any(decider == "local" for _, decider, _ in load.outcomes)
        load.demand["a1"] *= 7
        load.reset()
        load.run(20.0)
        assert len(load.granted["a1"]) >= 0.9 * rates["a1"] * 20.0
        others = load.sent.total() - load.sent["a1"]
        assert load.count_refused(excluded="a1") <= 0.005 * others
        assert max(load.find_worst(name) for name in rates) <= 1.0


class TestHalfway:
    def test_requests_in_flight_are_decided_although_the_leader_dies(self):
        """Failure halfway: the leader dies between the requests of entries and its replies.

        Guards against callers that wait for a reply that never comes, and against a leader that
        grants again what its predecessor granted.
        """
        load = AccountLoad(FLOODING_ACCOUNTS, seed=3, entries=12, hubs=5)
        load.run(5.0)
        load.fleet.stop_hubs(load.fleet.site.leader)
        waiting = set(load.pending)
        assert waiting
        # Entries wait 1 s for a decision, and at most 0.3 s for the last reply.
        load.run(1.4)
        assert not waiting & set(load.pending)
        # For 10 s after the dead hub is noticed, a part is reserved for its entries.
        load.run(14.0)
        assert all(load.find_worst(name) <= 1.0 for name in load.accounts)
        load.reset()
        load.run(10.0)
        assert len(load.granted["a"]) >= 0.9 * 240.0 * 10.0
        assert not any(decider == "local" for _, decider, _ in load.outcomes)
