"""Requests that seem to crash the targets that run them."""

from dataclasses import dataclass, field

# After so many targets broke under the same request, it is held back.
CRASHED_TARGETS = 3
# How long it is held back, and how long crashes are remembered; in seconds.
HOLD_SECONDS = 30.0


@dataclass(slots=True)
class _Suspect:
    noted_at: float
    targets: set[str] = field(default_factory=set)


class SuspectRequests:
    """Counts the targets whose connection broke under one request, over all entries.

    Notes
    -----
    One success clears a request: targets that fail break under any request.
    """

    def __init__(self):
        self._suspects: dict[int, _Suspect] = {}

    def is_quarantined(self, now: float, digest: int) -> bool:
        """Tell whether a request must not reach another target."""
        suspect = self._suspects.get(digest)
        if suspect is None or now - suspect.noted_at > HOLD_SECONDS:
            return False
        return len(suspect.targets) >= CRASHED_TARGETS

    def record_broken_connection(self, now: float, digest: int, target: str) -> None:
        """Take in that a target's connection broke under a request."""
        if not digest:
            return
        suspect = self._suspects.setdefault(digest, _Suspect(now))
        suspect.noted_at = now
        suspect.targets.add(target)

    def record_success(self, digest: int) -> None:
        """Take in that a target answered a request."""
        self._suspects.pop(digest, None)

    def remove_expired(self, now: float) -> None:
        """Drop what is older than the time for which requests are held back."""
        old = [key for key, item in self._suspects.items() if now - item.noted_at > HOLD_SECONDS]
        for key in old:
            del self._suspects[key]
