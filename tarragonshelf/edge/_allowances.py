"""Allowances of client accounts, requested from the hub or taken locally."""

from collections.abc import Callable
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
# Range of the time after which callers that are refused without a leader should return. It takes
# one or two seconds to elect a leader.
MINIMUM_RETURN_SECONDS = 0.5
MAXIMUM_RETURN_SECONDS = 2.0


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
    After a request without a decision of the leader, this entry decides itself without waiting,
    except that it still asks for a request from time to time, to find out whether a leader answers
    again.
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
        # Accounts of the requests that wait for a decision.
        self._pending: dict[int, ClientAccount] = {}
        self._is_unanswered = False
        self._probed_at = float("-inf")

    def set_entries(self, count: int) -> None:
        """Set the number of entries of the site, as told by a hub."""
        self._local.entries = count

    def request(self, now: float, account: ClientAccount) -> int:
        """Ask for leave to run a request of an account, and return the number of the question.

        An ``AllowanceAnswered`` effect with this number follows.
        """
        self._number += 1
        self._pending[self._number] = account
        is_probe_due = now - self._probed_at >= PROBE_INTERVAL_SECONDS
        if not self.has_hub(now) or (self._is_unanswered and not is_probe_due):
            self._decide_locally(now, self._number)
            return self._number
        if self._is_unanswered:
            self._probed_at = now
        request = self._requests.add(now, account.name, 1, self._number)
        if request is not None:
            self.emit(SendToHub(request))
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

    def decide_unanswered(self, now: float, *, is_lost: bool = False) -> None:
        """Decide the requests without a reply in time, or all of them if the hub is lost."""
        for share in self._requests.pop_timed_out(now, is_lost=is_lost):
            self._decide(now, share)

    def _decide(self, now: float, share: Share) -> None:
        if not share.is_decided:
            self._is_unanswered = True
            self._decide_locally(now, share.waiter)
            return
        if not share.granted:
            self._local.record_refusal(now, self._pending[share.waiter].name)
        decider = AllowanceDecider.LEADER
        self._answer(now, share.waiter, decider, bool(share.granted), share.retry_after)

    def _decide_locally(self, now: float, number: int) -> None:
        account = self._pending[number]
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
