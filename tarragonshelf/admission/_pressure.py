"""How short of room a service is, learnt from its targets."""

from ._demand import FadingSum
from ._messages import ServiceLoad

# Time constant of refusals and response times: bursts last 3 to 6 s.
EVIDENCE_SECONDS = 3.0
# Refusals by full targets below this sum are chance: entries choose targets without knowing each
# other's choices.
MINIMUM_REFUSALS = 1.5
MAXIMUM_REFUSED_SHARE = 0.5
# Response times are used from this many answers on. Up to this multiple of the objective they
# raise the level.
MINIMUM_ANSWERS = 3.0
MAXIMUM_OVERRUN = 2.0
# A service has room while more than this share of its slots is free. The last few are probably
# taken by requests of other entries that are not known yet.
MINIMUM_FREE_SHARE = 0.05
# Without counts of other entries for this long, only refusals by targets count.
MAXIMUM_LOAD_AGE_SECONDS = 1.0


class ServicePressure:
    """Refusals and response times of one service at this entry in the last seconds."""

    def __init__(self):
        self._starts = FadingSum(EVIDENCE_SECONDS)
        self._refusals = FadingSum(EVIDENCE_SECONDS)
        self._answers = FadingSum(EVIDENCE_SECONDS)
        self._objective_shares = FadingSum(EVIDENCE_SECONDS)

    def record_start(self, now: float) -> None:
        """Count an attempt."""
        self._starts.add(now)

    def record_refusal(self, now: float) -> None:
        """Count a refusal by a full target."""
        self._refusals.add(now)

    def record_answer(self, now: float, seconds: float, objective: float) -> None:
        """Record the response time of a successful request."""
        self._answers.add(now)
        self._objective_shares.add(now, seconds / max(0.05, objective))

    def get_refused_share(self, now: float) -> float:
        """Return the share of recent attempts that full targets refused."""
        refusals = self._refusals.read(now)
        if refusals < MINIMUM_REFUSALS:
            return 0.0
        return min(MAXIMUM_REFUSED_SHARE, refusals / max(refusals, self._starts.read(now)))

    def get_answer_rate(self, now: float) -> float:
        """Return the recent successful requests of this entry per second."""
        return self._answers.read(now) / EVIDENCE_SECONDS

    def estimate_level(self, now: float, load: ServiceLoad) -> float:
        """Return the occupied share of the service's queue; 0 while the service has room.

        Refusals by targets mean that the usable slots are fewer than the known ones. Response
        times above the objective mean that the queue takes longer than it should.
        """
        refused_share = self.get_refused_share(now)
        if load.age > MAXIMUM_LOAD_AGE_SECONDS:
            return refused_share * self._get_overrun(now)
        if not load.slots or load.free > max(MINIMUM_FREE_SHARE, refused_share) * load.slots:
            return 0.0
        usable_share = 1 - refused_share
        waiting = max(0.0, load.outstanding - usable_share * load.slots)
        return waiting / (usable_share * load.queue) * self._get_overrun(now)

    def _get_overrun(self, now: float) -> float:
        """Return the mean response time as a multiple of the objective, 1 at least."""
        answers = self._answers.read(now)
        if answers < MINIMUM_ANSWERS:
            return 1.0
        return max(1.0, min(MAXIMUM_OVERRUN, self._objective_shares.read(now) / answers))
