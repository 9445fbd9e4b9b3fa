"""In-memory log of one replica."""

from ._messages import EntryKind, LogEntry, Membership, Snapshot


class Log:
    """Log entries after a base index; a snapshot replaces the entries up to it.

    Parameters
    ----------
    snapshot : Snapshot or None
        State machine as of the base index, or None if no entry was compacted.
    entries : tuple of LogEntry
        Consecutive entries that follow the base index.
    """

    def __init__(self, *, snapshot: Snapshot | None = None, entries: tuple[LogEntry, ...] = ()):
        self.snapshot = snapshot
        self.entries = list(entries)
        self.unsaved_from = self.last_index + 1

    @property
    def base_index(self) -> int:
        """Index of the last entry that the snapshot covers, or 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.get_term(self.last_index)

    @property
    def last_time(self) -> float:
        """Log time of the last entry, in seconds."""
        if self.entries:
            return self.entries[-1].time
        return self.snapshot.time if self.snapshot else 0.0

    def get_term(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if it is compacted or missing."""
        if index == self.base_index:
            return self.snapshot.term if self.snapshot else 0
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get_entries(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        base = self.base_index
        return tuple(self.entries[first - base - 1 : last - base])

    def append(self, entry: LogEntry) -> None:
        """Append one entry."""
        self.entries.append(entry)

    def merge(self, entries: tuple[LogEntry, ...]) -> None:
        """Append a leader's entries; truncate the log first where an entry conflicts."""
        for entry in entries:
            if entry.index <= self.base_index:
                continue
            term = self.get_term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                del self.entries[entry.index - self.base_index - 1 :]
                self.unsaved_from = min(self.unsaved_from, entry.index)
            self.entries.append(entry)

    def take_unsaved(self) -> tuple[LogEntry, ...]:
        """Return the entries that are not saved yet, and mark them as saved."""
        entries = self.get_entries(self.unsaved_from, self.last_index)
        self.unsaved_from = self.last_index + 1
        return entries

    def compact(self, snapshot: Snapshot) -> tuple[LogEntry, ...]:
        """Discard the entries that a snapshot covers, and return those that remain."""
        is_tail_valid = self.get_term(snapshot.index) == snapshot.term
        tail = self.get_entries(snapshot.index + 1, self.last_index) if is_tail_valid else ()
        self.snapshot = snapshot
        self.entries = list(tail)
        self.unsaved_from = self.last_index + 1
        return tail

    def find_membership(self) -> tuple[int, Membership]:
        """Return the latest membership and the index of its entry, committed or not."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.MEMBERSHIP:
                return entry.index, entry.membership
        if self.snapshot:
            return self.snapshot.index, self.snapshot.membership
        return 0, Membership()
