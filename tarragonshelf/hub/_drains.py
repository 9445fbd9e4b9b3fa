"""Acknowledgement of drains, after which no entry sends requests to the target.

A hub replicates the state of a leaving target to the other hubs before it answers the target.
"""

from dataclasses import dataclass, field

from ..consensus import Membership
from ..registry import TargetNews

# A majority of hubs has to confirm within this time; a target calls another hub after 1 s.
CONFIRMATION_TIMEOUT_SECONDS = 0.9
# After this time the confirmations of a majority suffice; before, all hubs that are alive have to
# confirm.
ALL_HUBS_TIMEOUT_SECONDS = 0.5
# Updates are resent to hubs that have not confirmed them, until the retention time has passed.
RESEND_INTERVAL_SECONDS = 0.2
RETENTION_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class ConfirmedDrain:
    """A call whose update is stored by enough hubs, and after which time it was."""

    call: int
    target: str
    hubs: tuple[str, ...]
    seconds: float


@dataclass(slots=True)
class _Drain:
    news: TargetNews
    call: int | None
    started_at: float
    sent_at: float
    confirmed: set[str] = field(default_factory=set)


class PendingDrains:
    """Calls of leaving targets that wait until other hubs have confirmed the update.

    Parameters
    ----------
    vm : str
        The VM of this hub.

    Notes
    -----
    An entry follows a hub that is connected to a majority, or moves to one that is. An update
    stored by a majority therefore reaches every entry, even if the hub that the target called
    is partitioned from the others. For a while all hubs that are alive are waited for, as each
    of them has entries that follow it.
    """

    def __init__(self, vm: str):
        self.vm = vm
        self._number = 0
        self._drains: dict[int, _Drain] = {}

    def add(self, now: float, call: int, news: TargetNews) -> TargetNews:
        """Add a call and return the update with the number that hubs confirm."""
        self._number += 1
        numbered = TargetNews(news.targets, self._number, self.vm)
        self._drains[self._number] = _Drain(numbered, call, now, now, {self.vm})
        return numbered

    def confirm(self, number: int, vm: str) -> None:
        """Record that a hub has stored an update."""
        if number in self._drains:
            self._drains[number].confirmed.add(vm)

    def pop_confirmed(
        self, now: float, *, membership: Membership, alive: frozenset[str]
    ) -> list[ConfirmedDrain]:
        """Return and remove the calls whose update is confirmed by enough hubs.

        Parameters
        ----------
        now : float
            The time in seconds.
        membership : Membership
            The voting hubs.
        alive : frozenset of str
            VMs of the hubs that are alive.
        """
        confirmed = []
        for drain in self._drains.values():
            has_majority = membership.is_quorum_of_vms(drain.confirmed)
            has_all = (
                alive <= drain.confirmed or now - drain.started_at >= ALL_HUBS_TIMEOUT_SECONDS
            )
            if drain.call is not None and has_majority and has_all:
                target, hubs = drain.news.targets[0].identity, tuple(sorted(drain.confirmed))
                seconds = now - drain.started_at
                confirmed.append(ConfirmedDrain(drain.call, target, hubs, seconds))
                drain.call = None
        return confirmed

    def pop_timed_out(self, now: float) -> list[int]:
        """Return and remove the calls that timed out, and drop expired updates."""
        calls = []
        for number, drain in list(self._drains.items()):
            if drain.call is not None and now - drain.started_at >= CONFIRMATION_TIMEOUT_SECONDS:
                calls.append(drain.call)
                drain.call = None
            if now - drain.started_at >= RETENTION_SECONDS:
                del self._drains[number]
        return calls

    def list_resends(self, now: float, alive: frozenset[str]) -> list[tuple[str, TargetNews]]:
        """Return the updates to resend, each with the VM that has not confirmed it."""
        resends = []
        for drain in self._drains.values():
            if now - drain.sent_at >= RESEND_INTERVAL_SECONDS:
                drain.sent_at = now
                resends += [(vm, drain.news) for vm in alive - drain.confirmed]
        return resends
