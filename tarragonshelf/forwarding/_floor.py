"""Work for targets that may have recovered, while a part of their service fails."""

from random import Random

from ..avoidance import GrayFailureDetector
from ..registry import TargetEntry
from ._messages import ForwardRequest
from ._meter import FailureMeter

# The floor is kept while more than this share of a service's requests fails.
FAILURE_SHARE = 0.1
# A target that is due for a trial gets this share of the lookups. Orders wait for a lookup: their
# share grows from nothing to all in so long.
LOOKUP_SHARE = 0.5
ORDER_SECONDS = 1.5
# Entries draw from so many, those least likely to fail, so that few try the same one at once.
CHOICES = 2


class Floor:
    """Sees to it that enough of the working targets get requests.

    Parameters
    ----------
    share : float
        Share of the targets not proved to fail that must get work, from 0 to 1.
    avoidance : AvoidanceBook
        What is believed of targets.
    random : Random
        Spreads trials over requests and entries.
    """

    def __init__(self, *, share: float, avoidance: GrayFailureDetector, random: Random):
        self.share = share
        self.avoidance = avoidance
        self.random = random
        self.failures = FailureMeter()

    def pick_due(
        self,
        now: float,
        request: ForwardRequest,
        usable: tuple[TargetEntry, ...],
        free: list[TargetEntry],
    ) -> TargetEntry | None:
        """Return a target that this request should try, or None."""
        if self.failures.estimate_share(now, request.service) <= FAILURE_SHARE:
            return None
        names = {item.identity for item in free}
        due = [item for item in self._list_due(now, usable) if item.identity in names]
        if not due:
            return None
        chosen = self.random.choice(due[:CHOICES])
        share = LOOKUP_SHARE
        if not request.route.is_repeatable:
            share = self.avoidance.get_idle_seconds(now, chosen.identity) / ORDER_SECONDS
        return chosen if self.random.random() < share else None

    def _list_due(self, now: float, usable: tuple[TargetEntry, ...]) -> list[TargetEntry]:
        """Return targets that are not trusted, may have recovered and must not all stay idle.

        Whichever of them work, those in use stay at least ``share`` of all that work.
        """
        in_use, idle = 0, []
        for item in usable:
            if self.avoidance.is_settled(now, item.identity):
                in_use += 1
            elif self.avoidance.get_idle_seconds(now, item.identity) > 0:
                idle.append(item)
        spare = int((1 - self.share) * (in_use + len(idle)))
        idle.sort(key=lambda item: self.avoidance.get_chance(now, item.identity))
        return idle[: max(0, len(idle) - spare)]
