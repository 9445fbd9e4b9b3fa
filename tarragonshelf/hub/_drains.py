"""Acknowledgements of leaving targets, which bind all entries."""

from dataclasses import dataclass, field

# Within so many seconds a majority must hold the news; a target calls elsewhere after one.
CONFIRM_SECONDS = 0.9


@dataclass(slots=True)
class _Drain:
    call: int
    deadline: float
    confirmed: set[str] = field(default_factory=set)


class PendingDrains:
    """Calls of leaving targets that wait until a majority of the hubs holds the news.

    Notes
    -----
    An entry follows a hub that hears a majority, or moves on to one that does. News that a
    majority holds therefore reaches it, also if the hub that a target called is cut off.
    """

    def __init__(self):
        self._number = 0
        self._drains: dict[int, _Drain] = {}

    def add(self, now: float, call: int, vm: str) -> int:
        """Let a call wait and return the number that the news carries."""
        self._number += 1
        self._drains[self._number] = _Drain(call, now + CONFIRM_SECONDS, {vm})
        return self._number

    def confirm(self, number: int, vm: str) -> None:
        """Take in that a hub holds the news."""
        if number in self._drains:
            self._drains[number].confirmed.add(vm)

    def take_confirmed(self, voters: frozenset[str]) -> list[int]:
        """Return the calls whose news a majority of the voters' VMs holds."""
        return self._take(lambda drain: len(voters & drain.confirmed) * 2 > len(voters))

    def take_late(self, now: float) -> list[int]:
        """Return the calls that waited for too long."""
        return self._take(lambda drain: now >= drain.deadline)

    def _take(self, is_due) -> list[int]:
        due = [number for number, drain in self._drains.items() if is_due(drain)]
        return [self._drains.pop(number).call for number in due]
