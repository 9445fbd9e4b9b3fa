"""Permits for requests to targets with a limit, requested from the hub or taken locally."""

from dataclasses import dataclass
from random import Random

from ..forwarding import PermitDecided, PermitNeeded
from ..throttling import DeclaredLimits, LocalPermits, PermitReply, PermitRequest, RateLimit

# The hub asks the leader, which may be in another region. A reply takes up to 90 ms.
REPLY_TIMEOUT_SECONDS = 0.2
# A permit that its request no longer needs may be used by another request for this long.
UNUSED_PERMIT_SECONDS = 0.2
# Range of the time after which callers that are refused without a leader should return. It takes
# one or two seconds to elect a leader.
MINIMUM_RETURN_SECONDS = 0.5
MAXIMUM_RETURN_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    requested_at: float
    request: PermitRequest


class PendingPermitRequests:
    """Permit requests that wait for the reply of the hub.

    Parameters
    ----------
    limits : DeclaredLimits
        The limits of the targets.
    random : Random
        Spreads permits and returning callers over time.

    Notes
    -----
    Requests that no hub answers in time are decided from this entry's own part of the limits.
    """

    def __init__(self, limits: DeclaredLimits, random: Random):
        self.limits = limits
        self.random = random
        # Number of entries of the site as last told by a hub; 0 if it is unknown.
        self.entries = 0
        self._local_permits = LocalPermits(random)
        self._number = 0
        self._pending: dict[int, _PendingRequest] = {}
        # Targets of permits that were given back, with the time until which they may be used.
        self._unused: list[tuple[str, float]] = []

    def add(self, now: float, needed: PermitNeeded) -> PermitRequest:
        """Create and record the request to the hub for a permit."""
        self._number += 1
        rates = ((item.identity, self.limits.get_rate(item.identity)) for item in needed.targets)
        limits = tuple(RateLimit(target, rate) for target, rate in rates if rate is not None)
        request = PermitRequest(
            self._number,
            needed.service,
            limits,
            needed.service_rate,
            needed.has_alternative,
        )
        self._pending[self._number] = _PendingRequest(now, request)
        return request

    def give_back(self, now: float, target: str) -> None:
        """Keep a permit whose request has ended for the next request to its target."""
        self._unused.append((target, now + UNUSED_PERMIT_SECONDS))

    def decide_with_unused(self, now: float, number: int) -> PermitDecided | None:
        """Decide a request with a permit that was given back, or return None if there is none."""
        self._unused = [item for item in self._unused if now <= item[1]]
        wanted = {limit.target for limit in self._pending[number].request.limits}
        for item in self._unused:
            if item[0] in wanted:
                self._unused.remove(item)
                del self._pending[number]
                return PermitDecided(item[0])
        return None

    def complete(self, now: float, reply: PermitReply) -> PermitDecided | None:
        """Return the decision of the hub, or None if the request is no longer pending.

        A permit that arrives too late is not used: this entry may have been suspended meanwhile,
        and the permit counts towards the time in which it was granted.
        """
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return None
        if now - pending.requested_at > REPLY_TIMEOUT_SECONDS:
            return self._decide_locally(now, pending.request)
        self._local_permits.reset()
        if not reply.target:
            self._close(pending.request, now + reply.wait)
        return PermitDecided(reply.target, reply.retry_after)

    def decide_unanswered(
        self, now: float, *, is_lost: bool = False
    ) -> list[tuple[int, PermitDecided]]:
        """Decide the requests without a reply in time, and return their numbers and decisions.

        Parameters
        ----------
        now : float
            The time in seconds.
        is_lost : bool, optional
            Whether no hub is connected, so that all pending requests are decided.
        """
        unanswered = [
            number
            for number, item in self._pending.items()
            if is_lost or now - item.requested_at > REPLY_TIMEOUT_SECONDS
        ]
        return [
            (number, self._decide_locally(now, self._pending.pop(number).request))
            for number in unanswered
        ]

    def _decide_locally(self, now: float, request: PermitRequest) -> PermitDecided:
        target = self._local_permits.take(now, request.limits, entries=self.entries)
        if target:
            return PermitDecided(target)
        # Without a reply nothing is known about the next permit; asking again would only delay
        # the next requests.
        self._close(request, now + REPLY_TIMEOUT_SECONDS)
        retry_after = self.random.uniform(MINIMUM_RETURN_SECONDS, MAXIMUM_RETURN_SECONDS)
        return PermitDecided("", retry_after)

    def _close(self, request: PermitRequest, until: float) -> None:
        for limit in request.limits:
            self.limits.close(limit.target, until)
