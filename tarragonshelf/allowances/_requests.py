"""Combination of requests for allowances, at entries and at hubs."""

from collections.abc import Hashable
from dataclasses import dataclass, field
from random import Random

from ._messages import AllowanceReply, AllowanceRequest

# Numbers begin at random below this limit, so that a reply to an earlier process of the same
# machine does not count for a request of the present one.
MAXIMUM_FIRST_NUMBER = 1 << 48


@dataclass(frozen=True, slots=True)
class Share:
    """The part of a reply for one waiter; without ``is_decided`` there was no decision in time.

    ``sent_at`` is when the request was sent.
    """

    waiter: Hashable
    granted: int = 0
    retry_after: float = 0.0
    interval: float = 0.0
    is_decided: bool = False
    sent_at: float = 0.0


@dataclass(slots=True)
class _Account:
    """The request of an account that is in flight, and the demand that waits for its end."""

    number: int
    sent_at: float
    in_flight: list[tuple[Hashable, int]]
    waiting: list[tuple[Hashable, int]] = field(default_factory=list)


class AllowanceRequests:
    """Requests to the next level, of which at most one an account is in flight.

    Demand that arrives meanwhile is sent as one request after the reply. So the number of messages
    depends on the accounts in use and the round-trip time, and not on the number of requests, and
    a suspended process can use at most one late reply an account.

    Parameters
    ----------
    random : Random
        Chooses the first number.
    timeout : float
        Seconds after which a reply is no longer used.
    """

    def __init__(self, random: Random, timeout: float):
        self.random = random
        self.timeout = timeout
        # Chosen with the first request: without accounts no random number is drawn.
        self._number: int | None = None
        self._accounts: dict[str, _Account] = {}
        self._names: dict[int, str] = {}

    def add(
        self, now: float, account: str, count: int, waiter: Hashable
    ) -> AllowanceRequest | None:
        """Add demand, and return the request to send unless one of the account is in flight."""
        pending = self._accounts.get(account)
        if pending is not None:
            pending.waiting.append((waiter, count))
            return None
        return self._start(now, account, [(waiter, count)])

    def complete(
        self, now: float, reply: AllowanceReply
    ) -> tuple[list[Share], AllowanceRequest | None]:
        """Return the shares of the waiters in their order, and the next request to send, if any.

        A late reply counts as none. Without a decision those that still wait get none either.
        """
        name = self._names.pop(reply.number, None)
        if name is None:
            return [], None
        pending = self._accounts.pop(name)
        if not reply.is_decided or now - pending.sent_at > self.timeout:
            return _create_undecided(pending), None
        shares = []
        granted, refused = reply.granted, 0
        for waiter, count in pending.in_flight:
            used = min(count, granted)
            granted -= used
            retry_after = reply.retry_after + refused * reply.interval
            refused += count - used
            shares.append(Share(waiter, used, retry_after, reply.interval, True, pending.sent_at))
        request = self._start(now, name, pending.waiting) if pending.waiting else None
        return shares, request

    def pop_timed_out(self, now: float, *, is_lost: bool = False) -> list[Share]:
        """Remove the accounts without a reply in time, and return undecided shares.

        Parameters
        ----------
        now : float
            The time in seconds.
        is_lost : bool, optional
            Whether the next level is lost, so that all accounts are removed.
        """
        timed_out = [
            name
            for name, item in self._accounts.items()
            if is_lost or now - item.sent_at > self.timeout
        ]
        shares = []
        for name in timed_out:
            pending = self._accounts.pop(name)
            del self._names[pending.number]
            shares += _create_undecided(pending)
        return shares

    def _start(
        self, now: float, account: str, demand: list[tuple[Hashable, int]]
    ) -> AllowanceRequest:
        if self._number is None:
            self._number = self.random.randrange(MAXIMUM_FIRST_NUMBER)
        self._number += 1
        self._accounts[account] = _Account(self._number, now, demand)
        self._names[self._number] = account
        return AllowanceRequest(self._number, account, sum(count for _, count in demand))


def _create_undecided(pending: _Account) -> list[Share]:
    demand = (*pending.in_flight, *pending.waiting)
    return [Share(waiter, sent_at=pending.sent_at) for waiter, _ in demand]
