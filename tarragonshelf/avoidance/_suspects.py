"""Requests that are suspected of crashing the targets that run them."""

from dataclasses import dataclass, field

# A request is quarantined once the connections of this many targets broke while they ran it.
MINIMUM_CRASHED_TARGETS = 3
# How long it is quarantined, and how long broken connections are counted.
QUARANTINE_SECONDS = 30.0


@dataclass(slots=True)
class _Suspect:
    last_crash_at: float
    targets: set[str] = field(default_factory=set)


class SuspectRequests:
    """Counts, for each request, the targets whose connection broke while they ran it.

    Notes
    -----
    The counts cover all entries. One successful response clears a request, since connections of
    failing targets break under any request.
    """

    def __init__(self):
        self._suspects: dict[int, _Suspect] = {}

    def is_quarantined(self, now: float, digest: int) -> bool:
        """Return whether a request must not be sent to any further target."""
        suspect = self._suspects.get(digest)
        if suspect is None or now - suspect.last_crash_at > QUARANTINE_SECONDS:
            return False
        return len(suspect.targets) >= MINIMUM_CRASHED_TARGETS

    def record_broken_connection(self, now: float, digest: int, target: str) -> None:
        """Record that a target's connection broke while it ran a request."""
        if not digest:
            return
        suspect = self._suspects.setdefault(digest, _Suspect(now))
        suspect.last_crash_at = now
        suspect.targets.add(target)

    def record_success(self, digest: int) -> None:
        """Record that a target responded to a request, which clears the request."""
        self._suspects.pop(digest, None)

    def remove_expired(self, now: float) -> None:
        """Remove requests whose last broken connection is older than the quarantine."""
        expired = [
            key
            for key, item in self._suspects.items()
            if now - item.last_crash_at > QUARANTINE_SECONDS
        ]
        for key in expired:
            del self._suspects[key]
