"""Calls that wait for something before they are answered."""

from dataclasses import dataclass

from ..base import Message


@dataclass(frozen=True, slots=True)
class PendingFollow:
    """An entry's call that is answered on a change, or at ``deadline`` in seconds.

    ``version`` is what the entry has in force.
    """

    call: int
    deadline: float
    version: int


class PendingCalls:
    """Open calls, by what they wait for."""

    def __init__(self):
        self._proposals: dict[int, tuple[int, int]] = {}
        self._reads: dict[int, tuple[int, Message]] = {}
        self._followers: list[PendingFollow] = []
        self._number = 0

    def add_proposal(self, index: int, term: int, call: int) -> None:
        """Let a call wait for a log entry."""
        self._proposals[index] = (term, call)

    def pop_proposal(self, index: int, term: int) -> int | None:
        """Return the call that waits for just this entry, if there is one."""
        waiting = self._proposals.pop(index, None)
        return waiting[1] if waiting is not None and waiting[0] == term else None

    def add_read(self, call: int, message: Message) -> int:
        """Let a call wait for a read index and return the read's number."""
        self._number += 1
        self._reads[self._number] = (call, message)
        return self._number

    def pop_read(self, number: int) -> tuple[int | None, Message | None]:
        """Return the call of a read, if it still waits."""
        return self._reads.pop(number, (None, None))

    def take_all_of_leader(self) -> list[int]:
        """Return all calls that only a leader can answer."""
        calls = [call for _, call in self._proposals.values()]
        calls += [call for call, _ in self._reads.values()]
        self._proposals = {}
        self._reads = {}
        return calls

    def add_follower(self, waiter: PendingFollow) -> None:
        """Let an entry's call wait for a change."""
        self._followers.append(waiter)

    def take_followers(self, now: float, *, all_of_them: bool) -> list[PendingFollow]:
        """Return the calls of entries that are due."""
        due = [item for item in self._followers if all_of_them or item.deadline <= now]
        if due:
            kept = () if all_of_them else self._followers
            self._followers = [item for item in kept if item.deadline > now]
        return due
