"""Requests that crash each target that runs them."""

from dataclasses import dataclass

from ..base import Message

QUARANTINE_SECONDS = 120.0
CRASHES_TO_QUARANTINE = 2


@dataclass(frozen=True, slots=True)
class PoisonNote(Message):
    """A request, by digest, was under way at a target as it crashed."""

    digest: str
    target: str
    incarnation: str


class PoisonRegister:
    """Remembers which requests coincided with crashes, and of which targets.

    A request that coincided with the crashes of two targets is quarantined. All times in
    seconds of the caller's clock.
    """

    def __init__(self):
        self._crashes: dict[str, dict[tuple[str, str], float]] = {}

    def is_quarantined(self, now: float, digest: str) -> bool:
        """Tell whether a request must not run."""
        return self.count_crashes(now, digest) >= CRASHES_TO_QUARANTINE

    def count_crashes(self, now: float, digest: str) -> int:
        """Return how many targets crashed under a request of late."""
        crashes = self._crashes.get(digest, {})
        return sum(1 for at in crashes.values() if now - at < QUARANTINE_SECONDS)

    def record(self, now: float, note: PoisonNote) -> bool:
        """Take a note in and return whether it is new."""
        crashes = self._crashes.setdefault(note.digest, {})
        key = (note.target, note.incarnation)
        is_new = key not in crashes
        if is_new:
            crashes[key] = now
        return is_new

    def forget(self, now: float) -> None:
        """Drop what is old."""
        for digest, crashes in list(self._crashes.items()):
            if all(now - at >= QUARANTINE_SECONDS for at in crashes.values()):
                del self._crashes[digest]
