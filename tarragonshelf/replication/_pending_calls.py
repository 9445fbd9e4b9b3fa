"""Calls that are answered later: after a commit, a read or a change."""

from dataclasses import dataclass

from ..base import Message


@dataclass(frozen=True, slots=True)
class PendingFollow:
    """An entry's ``Follow`` call, answered on the next change or at ``deadline``.

    ``deadline`` is in seconds of the monotonic clock, and ``version`` is the configuration
    version that the entry has in force.
    """

    call: int
    deadline: float
    version: int


class PendingCalls:
    """Unanswered calls, by the event that they wait for."""

    def __init__(self):
        self._proposals: dict[int, tuple[int, int]] = {}
        self._reads: dict[int, tuple[int, Message]] = {}
        self._follows: list[PendingFollow] = []
        self._last_read_number = 0

    def add_proposal(self, index: int, term: int, call: int) -> None:
        """Record a call that waits until a log entry is committed."""
        self._proposals[index] = (term, call)

    def pop_proposal(self, index: int, term: int) -> int | None:
        """Remove and return the call that proposed this entry, or None.

        An entry with the same index but another term is not the one that was proposed.
        """
        proposal = self._proposals.pop(index, None)
        return proposal[1] if proposal is not None and proposal[0] == term else None

    def add_read(self, call: int, message: Message) -> int:
        """Record a call that waits for a linearizable read, and return the read's number."""
        self._last_read_number += 1
        self._reads[self._last_read_number] = (call, message)
        return self._last_read_number

    def pop_read(self, number: int) -> tuple[int | None, Message | None]:
        """Remove and return the call of a read and its message, or None for both."""
        return self._reads.pop(number, (None, None))

    def pop_leader_calls(self) -> list[int]:
        """Remove and return all calls that only a leader can answer."""
        calls = [call for _, call in self._proposals.values()]
        calls += [call for call, _ in self._reads.values()]
        self._proposals = {}
        self._reads = {}
        return calls

    def add_follow(self, pending: PendingFollow) -> None:
        """Record a ``Follow`` call that waits for a change."""
        self._follows.append(pending)

    def pop_due_follows(self, now: float, *, include_all: bool) -> list[PendingFollow]:
        """Remove and return the ``Follow`` calls past their deadline, or all of them."""
        due = [item for item in self._follows if include_all or item.deadline <= now]
        if due:
            kept = () if include_all else self._follows
            self._follows = [item for item in kept if item.deadline > now]
        return due
