"""Requests of a replica to become a member: whom to ask, and what to do with the replies."""

from ..base import Effect
from ._messages import CallPeer, EmitEvent, Join, PeerCallEnded, Refused

# Interval between requests to the same replica.
JOIN_INTERVAL_SECONDS = 0.5
# A request without a result for this long is given up; the process reports results much earlier.
ABANDON_SECONDS = 5.0
# Seeds and leaders that are remembered; older ones are forgotten first.
MAXIMUM_SEEDS = 16
MAXIMUM_LEADERS = 4


class JoinRequests:
    """Asks all replicas that may know the leader, and the leaders that they name.

    Only the leader admits a replica. None of the addresses that a process was given has to lead,
    to be a member or to run, so a refusal that names a leader is followed at once, and the leader
    is asked in later rounds as well.

    Parameters
    ----------
    join : Join
        The request, with the address of the own replica.
    seeds : tuple of str
        Addresses of some replicas, from the settings.
    """

    def __init__(self, join: Join, seeds: tuple[str, ...] = ()):
        self.join = join
        self._seeds: list[str] = []
        self._leaders: list[str] = []
        self._asked_at: dict[str, float] = {}
        self._waiting: dict[str, float] = {}
        self.add_seeds(seeds)

    @property
    def latest_leader(self) -> str:
        """Address of the leader that a refusal named last, or an empty string."""
        return self._leaders[0] if self._leaders else ""

    @property
    def contacts(self) -> tuple[str, ...]:
        """Addresses of seeds and of leaders that other replicas named."""
        return tuple(dict.fromkeys([*self._leaders, *self._seeds]))

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add addresses from the settings, which may have changed."""
        self._seeds = self._merge(addresses, self._seeds, MAXIMUM_SEEDS)

    def create_requests(self, now: float, known: list[str]) -> list[Effect]:
        """Return the requests that are due at the contacts and at other known replicas."""
        addresses = dict.fromkeys([*self.contacts, *known])
        return [effect for address in addresses for effect in self._ask(now, address)]

    def handle_result(self, now: float, ended: PeerCallEnded) -> list[Effect]:
        """Record the result of a request; ask the leader that a refusal names."""
        self._waiting.pop(ended.address, None)
        fields = {"hub": ended.address}
        if ended.reply is None:
            return [EmitEvent("join_not_answered", {**fields, "problem": ended.problem})]
        if not isinstance(ended.reply, Refused):
            return [EmitEvent("join_accepted", fields)]
        refused = ended.reply
        fields |= {"reason": refused.reason, "leader": refused.leader, "detail": refused.detail}
        effects: list[Effect] = [EmitEvent("join_refused", fields)]
        if refused.leader and refused.leader != ended.address:
            self._leaders = self._merge((refused.leader,), self._leaders, MAXIMUM_LEADERS)
            effects += self._ask(now, refused.leader)
        return effects

    def _ask(self, now: float, address: str) -> list[Effect]:
        is_own = address == self.join.address
        is_waiting = now - self._waiting.get(address, float("-inf")) < ABANDON_SECONDS
        is_early = now - self._asked_at.get(address, float("-inf")) < JOIN_INTERVAL_SECONDS
        if is_own or is_waiting or is_early:
            return []
        self._asked_at[address] = self._waiting[address] = now
        return [CallPeer(address, self.join)]

    def _merge(self, added: tuple[str, ...], held: list[str], maximum: int) -> list[str]:
        merged = dict.fromkeys([*added, *held])
        merged.pop(self.join.address, None)
        return list(merged)[:maximum]
