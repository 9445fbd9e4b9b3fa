"""Acknowledgements of leaving targets, which bind all entries."""

from dataclasses import dataclass, field

from ..registry import TargetNews

# Within so many seconds a majority must hold the news; a target calls elsewhere after one.
CONFIRM_SECONDS = 0.9
# So long all hubs that are heard are waited for, before a majority is enough.
ALL_SECONDS = 0.5
# Hubs that did not confirm get the news again so often, for so long.
RESEND_SECONDS = 0.2
KEEP_SECONDS = 3.0


@dataclass(slots=True)
class _Drain:
    news: TargetNews
    call: int | None
    began_at: float
    sent_at: float
    confirmed: set[str] = field(default_factory=set)


class PendingDrains:
    """Calls of leaving targets that wait until other hubs hold the news.

    Parameters
    ----------
    vm : str
        The VM of this hub.

    Notes
    -----
    An entry follows a hub that hears a majority, or moves on to one that does. News that a
    majority holds therefore reaches it, also if the hub that a target called is cut off. All
    hubs that are heard are waited for a while, as each has entries that follow it.
    """

    def __init__(self, vm: str):
        self.vm = vm
        self._number = 0
        self._drains: dict[int, _Drain] = {}

    def add(self, now: float, call: int, news: TargetNews) -> TargetNews:
        """Let a call wait and return the news with its number."""
        self._number += 1
        numbered = TargetNews(news.targets, self._number, self.vm)
        self._drains[self._number] = _Drain(numbered, call, now, now, {self.vm})
        return numbered

    def confirm(self, number: int, vm: str) -> None:
        """Take in that a hub holds the news."""
        if number in self._drains:
            self._drains[number].confirmed.add(vm)

    def take_confirmed(
        self, now: float, *, voters: frozenset[str], heard: frozenset[str]
    ) -> list[int]:
        """Return the calls that may be answered.

        Parameters
        ----------
        now : float
            The time in seconds.
        voters : frozenset of str
            VMs of the hubs that vote.
        heard : frozenset of str
            VMs of the hubs that are heard.
        """
        calls = []
        for drain in self._drains.values():
            has_majority = len(voters & drain.confirmed) * 2 > len(voters)
            has_all = heard <= drain.confirmed or now - drain.began_at >= ALL_SECONDS
            if drain.call is not None and has_majority and has_all:
                calls.append(drain.call)
                drain.call = None
        return calls

    def take_late(self, now: float) -> list[int]:
        """Return the calls that waited for too long, and drop news that is old."""
        calls = []
        for number, drain in list(self._drains.items()):
            if drain.call is not None and now - drain.began_at >= CONFIRM_SECONDS:
                calls.append(drain.call)
                drain.call = None
            if now - drain.began_at >= KEEP_SECONDS:
                del self._drains[number]
        return calls

    def list_resends(self, now: float, heard: frozenset[str]) -> list[tuple[str, TargetNews]]:
        """Return the news to send again, with the VM that has not confirmed it."""
        resends = []
        for drain in self._drains.values():
            if now - drain.sent_at >= RESEND_SECONDS:
                drain.sent_at = now
                resends += [(vm, drain.news) for vm in heard - drain.confirmed]
        return resends
