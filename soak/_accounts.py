"""Client accounts of a run: the operator's changes, the callers' keys, and their guarantees."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

from ._history import APPLY_SECONDS, History, SentRequest

# Share of the seeds whose document has accounts.
ACCOUNTS_SHARE = 0.5
# Rates are about 0.7 to 2.5 times what the callers usually send for an account.
RATES = (5, 8, 12, 18)
BURSTS = (0, 2, 10)
KEYS_PER_ACCOUNT = 2
# Its rate is unlimited and its keys never change, so that recovery can be checked with it.
STEADY = "a0"
LIMITED = ("a1", "a2", "a3")
# Shares of the requests without a key, with an unknown one, and with a forged Tenant header.
NO_KEY_SHARE = 0.06
UNKNOWN_KEY_SHARE = 0.06
FORGED_SHARE = 0.1
# A key that a version removes no longer works this time after the acknowledgement.
REMOVAL_SECONDS = 5.0
# Bound of the users' specification: in any window, at most (window x rate + burst) x overage +
# slack requests of an account run.
WINDOW_SECONDS = 5.0
OVERAGE = 1.1
SLACK = 20


@dataclass(frozen=True, slots=True)
class Account:
    """An account of one version; a rate of 0 means that it has no limit."""

    name: str
    keys: tuple[str, ...]
    rate: float
    burst: float

    @property
    def allowed(self) -> float:
        """Maximum number of requests that may run in a window."""
        if not self.rate:
            return float("inf")
        return (WINDOW_SECONDS * self.rate + self.burst) * OVERAGE + SLACK


class AccountDraws:
    """The accounts of the newest version, their changes, and the keys that callers send.

    Draws from a random generator of its own, so that seeds without accounts keep their draws.
    """

    def __init__(self, random: Random):
        self.random = random
        self.accounts = {
            name: Account(
                name,
                tuple(
                    f"key-{name}-{random.getrandbits(64):016x}" for _ in range(KEYS_PER_ACCOUNT)
                ),
                0.0 if name == STEADY else float(random.choice(RATES)),
                0.0 if name == STEADY else float(random.choice(BURSTS)),
            )
            for name in (STEADY, *LIMITED)
        }
        self._first = self.accounts
        self.keys = [key for account in self.accounts.values() for key in account.keys]

    def change(self) -> None:
        """Take a key away, move one, lower a rate, restore the first accounts, or do nothing."""
        kind = self.random.choice(("none", "take", "move", "lower", "restore"))
        name, other = self.random.sample(LIMITED, 2)
        account, accounts = self.accounts[name], dict(self.accounts)
        if kind in ("take", "move") and account.keys:
            accounts[name] = replace(account, keys=account.keys[1:])
            if kind == "move":
                keys = (*accounts[other].keys, account.keys[0])
                accounts[other] = replace(accounts[other], keys=keys)
        elif kind == "lower":
            accounts[name] = replace(account, rate=max(1.0, account.rate // 3))
        elif kind == "restore":
            accounts = self._first
        self.accounts = accounts

    def draw_headers(self, key: str = "") -> tuple[str, dict[str, str]]:
        """Return a key, possibly none or one that no version has, and the headers that hold it."""
        if not key:
            share = self.random.random()
            key = self.random.choice(self.keys)
            if share < NO_KEY_SHARE:
                key = ""
            elif share < NO_KEY_SHARE + UNKNOWN_KEY_SHARE:
                key = f"key-unknown-{self.random.getrandbits(64):016x}"
        headers = {"Authorization": f"Token {key}"} if key else {}
        if self.random.random() < FORGED_SHARE:
            headers["Tenant"] = self.random.choice(LIMITED)
        return key, headers

    @property
    def steady_key(self) -> str:
        """A key that all versions have, of an account without a limit."""
        return self._first[STEADY].keys[0]


def draw_accounts(seed: int) -> AccountDraws | None:
    """Return the accounts of a seed, or None if its document has none."""
    random = Random(f"accounts in {seed}")
    return AccountDraws(random) if random.random() < ACCOUNTS_SHARE else None


class AccountChecks:
    """Checks the guarantees of accounts on the requests and executions of a run.

    Parameters
    ----------
    history : History
        The requests and versions, and the disturbances that excuse an entry.
    """

    def __init__(self, history: History):
        self.history = history
        # When each version was first sent, and its accounts.
        self._versions: dict[int, tuple[float, dict[str, Account]]] = {}
        self._runs: dict[str, deque[tuple[float, str]]] = {}
        self._exceeding: set[str] = set()

    def record_version(self, now: float, version: int, accounts: dict[str, Account]) -> None:
        """Record the accounts of a version that is about to be sent."""
        self._versions.setdefault(version, (now, accounts))

    def check_execution(self, now: float, request_id: str, headers: Iterable[tuple]) -> None:
        """Check the headers of a request that a target runs, and the allowance of its account."""
        sent, headers = self.history.sent.get(request_id), list(headers)
        if sent is None:
            return
        names = [value for name, value in headers if name.lower() == "tenant"]
        has_key = any(
            name.lower() == "authorization" or (sent.key and sent.key in value)
            for name, value in headers
        )
        if has_key:
            self._report("key", f"a target received the key of {request_id}")
        holders = self._find_holders(sent, now)
        if len(names) != 1 or names[0] not in holders:
            self._report(
                "key",
                f"{request_id} by {sent.entry} with {sent.key or 'no key'} ran under {names}; "
                f"accounts that may have held the key: {sorted(map(str, holders))}",
            )
        for name in names:
            self._check_allowance(now, name, request_id)

    def check_response(self, now: float, sent: SentRequest, status: int) -> None:
        """Check a response that says that the key or the allowance does not suffice."""
        if status in (401, 429) and self.history.executions.get(sent.request_id):
            self._report("refused", f"{sent.request_id} ran and received {status}")
        if status == 401 and None not in self._find_holders(sent, now):
            self._report(
                "key", f"{sent.request_id} by {sent.entry} received 401 with the key {sent.key}"
            )

    def check_logs(self, folder: Path) -> None:
        """Check that no log of a process contains a key."""
        keys = {sent.key for sent in self.history.sent.values() if sent.key}
        for path in sorted(folder.glob("*.log")):
            text = path.read_text(errors="replace")
            if any(key in text for key in keys):
                self._report("key", f"{path.name} contains a key")

    def _report(self, guarantee: str, description: str) -> None:
        self.history.report_violation(guarantee, description)

    def _find_holders(self, sent: SentRequest, until: float) -> set[str | None]:
        """Return the accounts that held a request's key in the versions possibly in force.

        None stands for a version in which no account held it.
        """
        holders = {
            version: next((item.name for item in accounts.values() if sent.key in item.keys), None)
            for version, (_, accounts) in self._versions.items()
        }
        due = [
            version
            for at, version in self.history.acknowledged_versions
            if self.history.is_due(
                sent.entry,
                at,
                sent.sent_at,
                until,
                REMOVAL_SECONDS if holders.get(version) is None else APPLY_SECONDS,
            )
        ]
        return {
            holders[version]
            for version, (at, _) in self._versions.items()
            if version >= max(due, default=0) and at <= until
        }

    def _check_allowance(self, now: float, name: str, request_id: str) -> None:
        """Check the requests of an account that ran in the window that ends now.

        A lower rate binds for windows that begin when it is in force.
        """
        since = now - WINDOW_SECONDS
        runs = self._runs.setdefault(name, deque())
        runs.append((now, request_id))
        while runs[0][0] <= since:
            runs.popleft()
        acknowledged = self.history.acknowledged_versions
        newest = max((n for at, n in acknowledged if at + APPLY_SECONDS < since), default=0)
        allowed = max(
            (
                accounts[name].allowed
                for version, (at, accounts) in self._versions.items()
                if version >= newest and at <= now and name in accounts
            ),
            default=0.0,
        )
        # A request that runs again after an attempt failed counts once.
        count = len({item for _, item in runs})
        if count <= allowed:
            self._exceeding.discard(name)
        elif name not in self._exceeding:
            self._exceeding.add(name)
            self._report(
                "allowance",
                f"{count} requests of {name} ran in {WINDOW_SECONDS:g} s up to {now:.2f}, "
                f"allowed {allowed:g}",
            )
