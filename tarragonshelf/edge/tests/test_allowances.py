"""Allowances of client accounts over all entries, under faults and in calm."""

from bisect import bisect_left
from collections import Counter
from random import Random

import pytest

from ...catalogue import ClientAccount
from .fakes import STEP, FakeFleet

WINDOW_SECONDS = 5.0
OVERAGE = 1.1
SLACK = 20


class AccountLoad:
    """Requests of client accounts that arrive at random at the entries of a fleet.

    Parameters
    ----------
    accounts : dict of str to tuple
        Rate, burst and requests per second that callers send, by name.
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
        self.version = 1
        self.put({name: item[:2] for name, item in accounts.items()})
        self.reset()

    @property
    def now(self) -> float:
        return self.fleet.now

    def put(self, limits: dict[str, tuple[float, float]]) -> None:
        """Put rates and bursts of the accounts in force, by a version of the catalogue."""
        self.version += 1
        words = " ".join(f"{name}:{rate}:{burst}" for name, (rate, burst) in limits.items())
        assert self.fleet.site.put(self.version, words)
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
            number = entry.node.allowances.request(self.now, account)
            self.pending[id(entry), number] = name

        self.fleet.run_in(entry, request)

    def record(self, entry, answered) -> None:
        name = self.pending.pop((id(entry), answered.number))
        decided = answered.decided
        self.outcomes[name, decided.decider, decided.is_granted] += 1
        if decided.is_granted:
            self.granted[name].append(self.now)

    def find_worst(self, name: str, since: float = 0.0) -> float:
        """Return the most requests of an account in a window, as a share of the bound."""
        account = self.accounts[name]
        allowed = (WINDOW_SECONDS * account.rate + account.burst) * OVERAGE + SLACK
        times = sorted(at for at in self.granted[name] if at >= since)
        counts = (
            bisect_left(times, start + WINDOW_SECONDS) - index for index, start in enumerate(times)
        )
        return max(counts, default=0) / allowed


class Faults:
    """Faults of entries and hubs, drawn at random, each with its end."""

    def __init__(self, load: AccountLoad, random: Random):
        self.load, self.fleet, self.random = load, load.fleet, random
        self.kinds = (
            self.kill_leader,
            self.kill_hubs,
            self.suspend_leader,
            self.isolate_hubs,
            self.cut_entries,
            self.freeze_entries,
            self.restart_entries,
        )

    def run(self, count: int) -> None:
        """Let faults happen one after the other."""
        for _ in range(count):
            end = self.random.choice(self.kinds)()
            self.load.run(self.random.uniform(0.5, 12.0))
            end()
            self.load.run(self.random.uniform(0.0, 6.0))

    def draw_entries(self) -> list[str]:
        names = sorted(self.fleet.entries)
        return self.random.sample(names, self.random.randint(1, len(names) * 2 // 3))

    def kill_leader(self):
        leader = self.fleet.site.leader
        return self.stop_hubs([leader] if leader else [])

    def kill_hubs(self):
        names = sorted(self.fleet.site.hubs)
        return self.stop_hubs(self.random.sample(names, self.random.randint(2, len(names))))

    def stop_hubs(self, names):
        self.fleet.stop_hubs(*names)
        return lambda: self.fleet.start_hubs(*names)

    def suspend_leader(self):
        site, leader = self.fleet.site, self.fleet.site.leader
        if leader is None:
            return lambda: None
        site.suspend(leader)
        return lambda: site.resume(leader)

    def isolate_hubs(self):
        site = self.fleet.site
        site.isolate(*self.random.sample(sorted(site.hubs), 2))
        return site.blocked_links.clear

    def cut_entries(self):
        names = self.draw_entries()
        for name in names:
            self.fleet.cut_entry(name, is_cut=True)
        return lambda: [self.fleet.cut_entry(name, is_cut=False) for name in names]

    def freeze_entries(self):
        names = self.draw_entries()
        for name in names:
            self.fleet.freeze_entry(name, is_frozen=True)
        return lambda: [self.fleet.freeze_entry(name, is_frozen=False) for name in names]

    def restart_entries(self):
        names = self.draw_entries()
        for name in names:
            self.fleet.kill_entry(name)
        return lambda: [self.fleet.start_entry(name) for name in names]


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
        Faults(load, Random(seed)).run(6)
        assert {
            name: load.find_worst(name) for name in load.accounts if load.find_worst(name) > 1
        } == {}
        assert all(load.granted[name] for name in load.accounts)

    def test_bound_fails_if_each_entry_enforces_the_whole_rate_alone(self):
        """The double lacks the leader: the bound that the other tests check can be exceeded."""
        load = AccountLoad(FLOODING_ACCOUNTS, seed=1, entries=12, hubs=3)
        for entry in load.fleet.entries.values():
            entry.node.allowances.has_hub = lambda now: False
            entry.node.allowances.set_entries(1)
            entry.node.allowances._local.answered_at = float("inf")
        load.run(6.0)
        assert all(load.find_worst(name) > 1.0 for name in ("a", "b"))

    def test_lowered_rate_binds_one_window_after_it_is_in_force(self):
        load = AccountLoad(FLOODING_ACCOUNTS, seed=2, entries=12, hubs=5)
        load.run(8.0)
        load.put({"a": (40.0, 0.0), "b": (4.0, 2.0), "c": (1.0, 0.0)})
        in_force_at = load.now
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
        refused = sum(n for (_, _, is_granted), n in load.outcomes.items() if not is_granted)
        assert refused <= 0.005 * load.sent.total()
        assert not any(decider == "local" for _, decider, _ in load.outcomes)
        load.demand["a1"] *= 7
        load.reset()
        load.run(20.0)
        assert len(load.granted["a1"]) >= 0.9 * rates["a1"] * 20.0
        others = sum(
            n
            for (name, _, is_granted), n in load.outcomes.items()
            if not is_granted and name != "a1"
        )
        assert others <= 0.005 * load.sent.total()
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
        load.run(0.4)
        assert not waiting & set(load.pending)
        # For 10 s after the dead hub is noticed, a part is reserved for its entries.
        load.run(14.0)
        assert all(load.find_worst(name) <= 1.0 for name in load.accounts)
        load.reset()
        load.run(10.0)
        assert len(load.granted["a"]) >= 0.9 * 240.0 * 10.0
        assert not any(decider == "local" for _, decider, _ in load.outcomes)
