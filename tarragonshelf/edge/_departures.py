"""Targets that said in a response that they leave."""

from dataclasses import dataclass

from ..registry import TargetEntry, TargetState

# A target that leaves ends within seconds to minutes. What it said is kept for longer than hubs
# keep the record of a departed target, so that a late announcement does not bring it back.
RETENTION_SECONDS = 3600.0


@dataclass(slots=True)
class _Departure:
    """The incarnation of a target that said that it leaves, and when that was last heard."""

    started: int
    heard_at: float


class Departures:
    """Incarnations of targets that said in a response to this entry that they leave.

    Notes
    -----
    This holds whatever hubs and the target's announcements say later. Only a later incarnation of
    the target is not covered.
    """

    def __init__(self):
        self._by_identity: dict[str, _Departure] = {}

    @property
    def count(self) -> int:
        """The number of targets."""
        return len(self._by_identity)

    def record(self, now: float, target: TargetEntry) -> None:
        """Record that an incarnation of a target leaves."""
        known = self._by_identity.get(target.identity)
        if known is None or known.started < target.started:
            self._by_identity[target.identity] = _Departure(target.started, now)
        elif known.started == target.started:
            known.heard_at = now

    def contradicts(self, entry: TargetEntry) -> bool:
        """Return whether a record says that a target is ready which said that it leaves."""
        known = self._by_identity.get(entry.identity)
        is_covered = known is not None and entry.started <= known.started
        return is_covered and entry.state == TargetState.READY

    def remove_expired(self, now: float) -> None:
        """Remove targets that said nothing for ``RETENTION_SECONDS``."""
        expired = [
            name
            for name, item in self._by_identity.items()
            if now - item.heard_at > RETENTION_SECONDS
        ]
        for name in expired:
            del self._by_identity[name]
