"""Allowances of client accounts, requested from the hub or taken locally."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..allowances import AllowanceReply, AllowanceRequests, LocalAllowances, Share
from ..base import Effect
from ..catalogue import ClientAccount
from ._messages import AllowanceAnswered, AllowanceDecided, AllowanceDecider, SendToHub

# The hub asks the leader, which may be in another region, and may first wait for the end of an
# earlier request. A reply takes up to 170 ms.
REPLY_TIMEOUT_SECONDS = 0.3
# Interval at which requests are sent to the hub while no leader answers.
PROBE_INTERVAL_SECONDS = 0.1
# A request waits for the leader for this long, and at most for this share of the time until its
# deadline. Entries leave a silent hub after 1.2 s and a leader is elected in about as much; the
# entry's own part would refuse most requests meanwhile.
MAXIMUM_WAIT_SECONDS = 1.0
MAXIMUM_WAIT_SHARE = 0.25
# Range of the time after which callers that are refused without a leader should return. It takes
# one or two seconds to elect a leader.
MINIMUM_RETURN_SECONDS = 0.5
MAXIMUM_RETURN_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Question:
    """A request that waits for a decision, and when this entry decides it if nobody else does."""

    account: ClientAccount
    decide_at: float


class EntryAllowances:
    """Decides whether requests of client accounts are within their allowances.

    Parameters
    ----------
    random : Random
        Spreads local tokens and returning callers over time.
    has_hub : callable
        Returns whether this entry follows a current hub at a time.
    emit : callable
        Takes the effects.

    Notes
    -----
    After a request without a decision of the leader the following ones wait, except that some
    are sent from time to time, to find out whether a leader answers again. A request that has
    waited for too long is decided from this entry's own part.
    """

    def __init__(
        self,
        random: Random,
        has_hub: Callable[[float], bool],
        emit: Callable[[Effect], None],
    ):
        self.random = random
        self.has_hub = has_hub
        self.emit = emit
        self._local = LocalAllowances(random)
        self._requests = AllowanceRequests(random, REPLY_TIMEOUT_SECONDS)
        self._number = 0
        self._pending: dict[int, _Question] = {}
        # Numbers of those that are not asked for at present.
        self._held: list[int] = []
        self._is_unanswered = False
        self._probed_at = float("-inf")

    def set_entries(self, count: int) -> None:
        """Set the number of entries of the site, as told by a hub."""
        self._local.entries = count

    def request(
        self, now: float, account: ClientAccount, *, deadline: float = float("inf")
    ) -> int:
        """Ask for leave to run a request of an account, and return the number of the question.

        An ``AllowanceAnswered`` effect with this number follows, long before ``deadline``.
        """
        self._number += 1
        wait = min(MAXIMUM_WAIT_SECONDS, MAXIMUM_WAIT_SHARE * (deadline - now))
        self._pending[self._number] = _Question(account, now + wait)
        self._held.append(self._number)
        self._ask_held(now)
        return self._number

    def handle(self, now: float, reply: AllowanceReply) -> None:
        """Handle a reply of the hub."""
        shares, request = self._requests.complete(now, reply)
        if request is not None:
            self.emit(SendToHub(request))
        for share in shares:
            if share.is_decided:
                self._is_unanswered = False
                self._local.record_reply(share.sent_at)
            self._decide(now, share)
        self._ask_held(now)

    def decide_unanswered(self, now: float, *, is_lost: bool = False) -> None:
        """Take back the requests without a reply in time, or all of them if the hub is lost.

        Those that have waited for too long are decided.
        """
        for share in self._requests.pop_timed_out(now, is_lost=is_lost):
            self._decide(now, share)
        overdue = [item for item in self._held if self._pending[item].decide_at <= now]
        if overdue:
            self._held = [item for item in self._held if self._pending[item].decide_at > now]
            for number in overdue:
                self._decide_locally(now, number)
        self._ask_held(now)

    def _ask_held(self, now: float) -> None:
        """Send the requests that wait, unless no leader answered shortly before."""
        if not self._held or not self.has_hub(now):
            return
        if self._is_unanswered:
            if now - self._probed_at < PROBE_INTERVAL_SECONDS:
                return
            self._probed_at = now
        held, self._held = self._held, []
        for number in held:
            name = self._pending[number].account.name
            request = self._requests.add(now, name, 1, number)
            if request is not None:
                self.emit(SendToHub(request))

    def _decide(self, now: float, share: Share) -> None:
        if not share.is_decided:
            self._is_unanswered = True
            if now < self._pending[share.waiter].decide_at:
                self._held.append(share.waiter)
            else:
                self._decide_locally(now, share.waiter)
            return
        if not share.granted:
            self._local.record_refusal(now, self._pending[share.waiter].account.name)
        decider = AllowanceDecider.LEADER
        self._answer(now, share.waiter, decider, bool(share.granted), share.retry_after)

    def _decide_locally(self, now: float, number: int) -> None:
        account = self._pending[number].account
        is_granted = self._local.take(now, account.name, account.rate, account.burst)
        retry_after = self.random.uniform(MINIMUM_RETURN_SECONDS, MAXIMUM_RETURN_SECONDS)
        self._answer(now, number, AllowanceDecider.LOCAL, is_granted, retry_after)

    def _answer(
        self,
        now: float,
        number: int,
        decider: AllowanceDecider,
        is_granted: bool,
        retry_after: float,
    ) -> None:
        del self._pending[number]
        age = now - self._local.answered_at
        decided = AllowanceDecided(is_granted, 0.0 if is_granted else retry_after, decider, age)
        self.emit(AllowanceAnswered(number, decided))
