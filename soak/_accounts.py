"""Client accounts of a run: the operator's changes, the callers' keys, and their guarantees."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from ._history import APPLY_SECONDS, History, SentRequest

# Share of the seeds whose document has accounts.
ACCOUNTS_SHARE = 0.5
# Callers usually send about 7 requests per second for an account.
RATES, BURSTS = (5.0, 8.0, 12.0, 18.0), (0.0, 2.0, 10.0)
# This account has no limit, and its keys never change, so that recovery can be checked with it.
STEADY, LIMITED = "a0", ("a1", "a2", "a3")
# Share of the requests with a Tenant header of the caller's.
FORGED_SHARE = 0.1
# A key that a version removes no longer works this time after the acknowledgement.
REMOVAL_SECONDS = 5.0
# Bound of the users' specification: in any window, at most (window x rate + burst) x overage +
# slack requests of an account run.
WINDOW_SECONDS, OVERAGE, SLACK = 5.0, 1.1, 20


@dataclass(frozen=True, slots=True)
class Account:
    """An account of one version; a rate of 0 means that it has no limit."""

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0


class AccountDraws:
    """The accounts of the newest version, their changes, and the keys that callers send."""

    def __init__(self, random: Random):
        self.random = random
        self.accounts = {STEADY: Account(STEADY, self._draw_keys(STEADY))}
        for name in LIMITED:
            limits = random.choice(RATES), random.choice(BURSTS)
            self.accounts[name] = Account(name, self._draw_keys(name), *limits)
        self._first = list(self.accounts.values())
        self.steady_key = self.accounts[STEADY].keys[0]
        self.keys = [key for account in self._first for key in account.keys]

    def change(self) -> None:
        """Take a key away, move one to another account, lower a rate, or restore all."""
        kind = self.random.choice(("take", "move", "lower", "restore"))
        account, other = (self.accounts[name] for name in self.random.sample(LIMITED, 2))
        changed = [replace(account, keys=account.keys[1:])]
        if kind == "move":
            changed.append(replace(other, keys=other.keys + account.keys[:1]))
        elif kind == "lower":
            changed = [replace(account, rate=account.rate // 3 or 1.0)]
        elif kind == "restore":
            changed = self._first
        self.accounts = self.accounts | {item.name: item for item in changed}

    def draw_headers(self, key: str = "") -> tuple[str, dict[str, str]]:
        """Return a key and headers with it; one in 18 drawn keys is empty, and one unknown."""
        if not key:
            key = self.random.choice([*2 * self.keys, "", *self._draw_keys("unknown")[:1]])
        headers = {"Authorization": f"Token {key}"} if key else {}
        if self.random.random() < FORGED_SHARE:
            headers["Tenant"] = self.random.choice(LIMITED)
        return key, headers

    def _draw_keys(self, name: str) -> tuple[str, ...]:
        return tuple(f"key-{name}-{self.random.getrandbits(64):016x}" for _ in range(2))


def draw_accounts(seed: int) -> AccountDraws | None:
    """Return the accounts of a seed, or None if its document has none.

    They have a generator of their own, so that the other draws of a seed do not depend on them.
    """
    random = Random(f"accounts in {seed}")
    return AccountDraws(random) if random.random() < ACCOUNTS_SHARE else None


class AccountChecks:
    """Checks the guarantees of accounts on a history, whose disturbances excuse entries."""

    def __init__(self, history: History, draws: AccountDraws):
        self.history = history
        self.draws = draws
        # When each version was first sent, and its accounts.
        self.versions: dict[int, tuple[float, dict[str, Account]]] = {}
        self._runs: dict[str, list[tuple[float, str]]] = {}

    def draw_table(self, now: float, version: int) -> dict:
        """Return the table of accounts of a version that is sent from now on."""
        if version not in self.versions:
            self.draws.change()
            self.versions[version] = (now, self.draws.accounts)
        accounts = self.versions[version][1].values()
        rows = [[item.name, item.keys, item.rate, item.burst] for item in accounts]
        return {"columns": ["name", "api_keys", "rate_per_s", "burst"], "rows": rows}

    def check_execution(self, now: float, request_id: str, headers: Iterable[tuple]) -> None:
        """Check the headers of a request that a target runs, and the allowance of its account."""
        sent, headers = self.history.sent.get(request_id), list(headers)
        if sent is None:
            return
        is_seen = sent.key and any(sent.key in value for _, value in headers)
        if is_seen or any(name.lower() == "authorization" for name, _ in headers):
            self.history.report_violation("key", f"a target received that of {request_id}")
        names = [value for name, value in headers if name.lower() == "tenant"]
        holders = self._find_holders(sent, now)
        if len(names) != 1 or names[0] not in holders:
            text = f"{request_id} by {sent.entry} with {sent.key or 'no key'} ran under {names}"
            self.history.report_violation("key", f"{text}, which {holders} may have held")
        for name in names:
            self._check_allowance(now, name, request_id)

    def check_response(self, now: float, sent: SentRequest, status: int) -> None:
        """Check that a key that was rejected may be unknown."""
        if status == 401 and None not in self._find_holders(sent, now):
            text = f"{sent.request_id} received 401 from {sent.entry} with {sent.key}"
            self.history.report_violation("key", text)

    def _find_holders(self, sent: SentRequest, until: float) -> set[str | None]:
        """Return the accounts, or None, that held a key in the versions possibly in force."""
        holders, newest = {}, 0
        for version, (_, accounts) in self.versions.items():
            names = [item.name for item in accounts.values() if sent.key in item.keys]
            (holders[version],) = names or [None]
        for at, version in self.history.acknowledged_versions:
            seconds = REMOVAL_SECONDS if holders.get(version) is None else APPLY_SECONDS
            if self.history.is_due(sent.entry, at, sent.sent_at, until, seconds):
                newest = max(newest, version)
        sent_versions = [version for version, (at, _) in self.versions.items() if at <= until]
        return {holders[version] for version in sent_versions if version >= newest}

    def _check_allowance(self, now: float, name: str, request_id: str) -> None:
        """Check the requests of an account that ran in the window that ends now.

        A request counts once if it runs again after a failed attempt. The highest rate that may
        have been in force within the window binds.
        """
        since = now - WINDOW_SECONDS
        runs = [item for item in self._runs.get(name, []) if item[0] > since]
        self._runs[name] = [*runs, (now, request_id)]
        acknowledged = self.history.acknowledged_versions
        newest = max((n for at, n in acknowledged if at + APPLY_SECONDS < since), default=0)
        allowed = 0.0
        for version, (at, accounts) in self.versions.items():
            if version >= newest and at <= now and name in accounts:
                rate, burst = accounts[name].rate, accounts[name].burst
                own = (WINDOW_SECONDS * rate + burst) * OVERAGE + SLACK if rate else float("inf")
                allowed = max(allowed, own)
        count = len({item for _, item in self._runs[name]})
        if count > allowed:
            del self._runs[name]
            text = f"{count} requests of {name} ran in {WINDOW_SECONDS:g} s, allowed {allowed:g}"
            self.history.report_violation("allowance", text)
