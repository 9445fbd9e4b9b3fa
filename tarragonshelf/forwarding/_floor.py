"""Minimum share of working targets that receive requests while part of a service fails."""

from random import Random

from ..avoidance import GrayFailureDetector
from ..registry import TargetEntry
from ._messages import ForwardRequest
from ._meter import FailureMeter

# The floor is enforced while more than this share of a service's requests fails.
MINIMUM_FAILURE_SHARE = 0.1
# Share of the lookups (repeatable requests) that are sent as a trial to an idle target. Orders
# (requests that must not be repeated) leave the trial to a lookup at first: their share grows from
# 0 to 1 within ORDER_RAMP_SECONDS of idle time.
LOOKUP_SHARE = 0.5
ORDER_RAMP_SECONDS = 1.5
# Each entry picks at random among this many of the targets least likely to fail, so that few
# entries try the same target at once.
MAXIMUM_TRIAL_CANDIDATES = 2


class TrafficFloor:
    """Sends trial requests so that enough of the working targets receive traffic.

    Parameters
    ----------
    share : float
        Minimum share of the targets without recent proof of failure that must receive requests,
        from 0 to 1.
    avoidance : GrayFailureDetector
        Failure probability of each target.
    random : Random
        Distributes trials over requests and entries.
    """

    def __init__(self, *, share: float, avoidance: GrayFailureDetector, random: Random):
        self.share = share
        self.avoidance = avoidance
        self.random = random
        self.failures = FailureMeter()

    def choose_trial_target(
        self,
        now: float,
        request: ForwardRequest,
        usable: tuple[TargetEntry, ...],
        free: list[TargetEntry],
        *,
        paused: frozenset[str] = frozenset(),
    ) -> TargetEntry | None:
        """Return the target for which this request is to be a trial, or None.

        ``paused`` are targets that asked for a pause.
        """
        if self.failures.estimate_failure_share(now, request.service) <= MINIMUM_FAILURE_SHARE:
            return None
        names = {item.identity for item in free}
        candidates = [
            item
            for item in self._list_trial_candidates(now, usable, paused)
            if item.identity in names
        ]
        if not candidates:
            return None
        chosen = self.random.choice(candidates[:MAXIMUM_TRIAL_CANDIDATES])
        share = LOOKUP_SHARE
        if not request.route.is_repeatable:
            share = self.avoidance.get_idle_seconds(now, chosen.identity) / ORDER_RAMP_SECONDS
        return chosen if self.random.random() < share else None

    def _list_trial_candidates(
        self, now: float, usable: tuple[TargetEntry, ...], paused: frozenset[str]
    ) -> list[TargetEntry]:
        """Return untrusted targets that may have recovered and must not all stay idle.

        Enough of them are returned that the targets in use are at least ``share`` of the working
        ones, even if all idle targets have recovered. Paused targets count as working ones that
        must stay idle.
        """
        in_use, idle = 0, []
        for item in usable:
            if item.identity in paused:
                continue
            if self.avoidance.is_stably_trusted(now, item.identity):
                in_use += 1
            elif self.avoidance.get_idle_seconds(now, item.identity) > 0:
                idle.append(item)
        working = in_use + len(idle) + sum(item.identity in paused for item in usable)
        spare = max(0, int((1 - self.share) * working) - (working - in_use - len(idle)))
        idle.sort(key=lambda item: self.avoidance.get_failure_probability(now, item.identity))
        return idle[: max(0, len(idle) - spare)]
