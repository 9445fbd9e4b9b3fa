"""Quarantine of poison requests, which crash every target that runs them."""

from dataclasses import dataclass

from ..base import Message

QUARANTINE_SECONDS = 120.0
CRASHES_TO_QUARANTINE = 2


@dataclass(frozen=True, slots=True)
class PoisonNote(Message):
    """Records that a target crashed while it ran the request with this digest."""

    digest: str
    target: str
    incarnation: str


class PoisonRegister:
    """Records which targets crashed while they ran which requests.

    A request is quarantined after ``CRASHES_TO_QUARANTINE`` targets crashed while they ran it;
    all incarnations of one target count once, as a target may crash by itself. All times are in
    seconds on the entry's clock.
    """

    def __init__(self):
        self._crashes: dict[str, dict[tuple[str, str], float]] = {}

    def is_quarantined(self, now: float, digest: str) -> bool:
        """Return whether a request is quarantined and must not be run."""
        return self.count_crashes(now, digest) >= CRASHES_TO_QUARANTINE

    def count_crashes(self, now: float, digest: str) -> int:
        """Return how many targets recently crashed while they ran a request."""
        crashes = self._crashes.get(digest, {})
        return len({key[0] for key, at in crashes.items() if now - at < QUARANTINE_SECONDS})

    def record(self, now: float, note: PoisonNote) -> bool:
        """Record a crash and return whether it was not known yet."""
        crashes = self._crashes.setdefault(note.digest, {})
        key = (note.target, note.incarnation)
        is_new = key not in crashes
        if is_new:
            crashes[key] = now
        return is_new

    def remove_expired(self, now: float) -> None:
        """Remove requests whose crashes are all older than ``QUARANTINE_SECONDS``."""
        for digest, crashes in list(self._crashes.items()):
            if all(now - at >= QUARANTINE_SECONDS for at in crashes.values()):
                del self._crashes[digest]
