"""Which targets are avoided, and how they come back."""

from dataclasses import dataclass, field
from random import Random

from ._messages import EvidenceItem, EvidenceKind, Standing

# Seconds for which a target is avoided after evidence that counts fully, before trials taught how
# long bad spells last here, and the bounds of what they can teach.
FIRST_AVOID_SECONDS = 8.0
LEAST_AVOID_SECONDS = 3.0
MOST_AVOID_SECONDS = 15.0
# A trial that fails lengthens the time and one that succeeds shortens it; they balance where one
# trial in three fails.
FAILED_TRIAL_FACTOR = 1.06
GOOD_TRIAL_FACTOR = 0.97
# Each failed trial of one target lengthens its own time besides, up to this many seconds.
REPEATED_FACTOR = 1.25
MAXIMUM_AVOID_SECONDS = 24.0
# After one weak sign alone, such as an error that sound targets give now and then.
DOUBT_SECONDS = 1.5
# A refused connection often means a restart, which takes some seconds.
UNREACHABLE_SECONDS = 1.0
# Silence lasts as long as a cut or a loss of power, some seconds at least.
UNHEARD_SECONDS = 3.0
# Entries that must hear nothing from a target before the others believe it: one alone may be cut
# off from it.
UNHEARD_ENTRIES = 2
# Full targets empty a slot within about one request's work.
FULL_SECONDS = 0.2
# Entries begin trials at different moments, so that the first one's outcome spares the others.
TRIAL_SPREAD_SECONDS = 1.5
# So long the others leave a trial to the entry that began it.
TRIAL_SECONDS = 1.0
# Weak signs within this time add up.
MEMORY_SECONDS = 4.0

# What no weak sign told of, such as a refused connection, counts so much.
MINIMUM_DOUBT = 0.5

_WEIGHTS = {
    EvidenceKind.BROKEN: 1.0,
    EvidenceKind.ERROR: 0.6,
    EvidenceKind.HUNG: 0.6,
}


@dataclass(slots=True)
class _Record:
    """Evidence about one target; times in seconds."""

    weight: float = 0.0
    noted_at: float = 0.0
    spell: float = 0.0
    avoided_until: float = 0.0
    trial_at: float = 0.0
    trial_until: float = 0.0
    full_until: float = 0.0
    is_on_trial: bool = False
    unheard_by: dict[str, float] = field(default_factory=dict)


class AvoidanceBook:
    """Turns evidence into a standing for each target.

    Parameters
    ----------
    random : Random
        Spreads the moments at which entries begin trials.
    """

    def __init__(self, random: Random):
        self.random = random
        self.avoid_seconds = FIRST_AVOID_SECONDS
        self._records: dict[str, _Record] = {}

    def get_standing(self, now: float, target: str) -> Standing:
        """Return how a target may be used."""
        record = self._records.get(target)
        if record is None or not record.is_on_trial:
            return Standing.TRUSTED
        if now < record.trial_at or now < record.trial_until:
            return Standing.AVOIDED
        return Standing.ON_TRIAL

    def is_returning(self, now: float, target: str) -> bool:
        """Tell whether a success now ends a spell: the time to be avoided is over."""
        record = self._records.get(target)
        return record is not None and record.is_on_trial and now >= record.avoided_until

    def is_full(self, now: float, target: str) -> bool:
        """Tell whether a target refused work for lack of room a moment ago."""
        record = self._records.get(target)
        return record is not None and now < record.full_until

    def get_avoided_seconds(self, now: float, target: str) -> float:
        """Return how long a target is avoided from now on."""
        record = self._records.get(target)
        return max(0.0, record.trial_at - now) if record else 0.0

    def measure_case(self, target: str) -> tuple[float, float]:
        """Return how much there is against a target, to compare it with others."""
        record = self._records.get(target)
        return (self.get_doubt(target), record.avoided_until if record else 0.0)

    def get_doubt(self, target: str) -> float:
        """Return how strong the evidence against a target is, from 0 to 1."""
        record = self._records.get(target)
        return min(1.0, max(record.weight, MINIMUM_DOUBT)) if record else 0.0

    def count_avoided(self, now: float) -> int:
        """Return how many targets are avoided."""
        return sum(self.get_standing(now, name) == Standing.AVOIDED for name in self._records)

    def record(self, now: float, item: EvidenceItem, source: str = "") -> None:
        """Take one piece of evidence in, of another entry or with no source of this one."""
        record = self._records.setdefault(item.target, _Record())
        if item.kind == EvidenceKind.RECOVERED:
            self._learn(GOOD_TRIAL_FACTOR)
            del self._records[item.target]
        elif item.kind == EvidenceKind.TRIAL:
            record.trial_until = now + TRIAL_SECONDS
        elif item.kind == EvidenceKind.FULL:
            record.full_until = now + FULL_SECONDS
        elif item.kind == EvidenceKind.UNREACHABLE:
            self._avoid(now, record, UNREACHABLE_SECONDS)
        elif item.kind == EvidenceKind.UNHEARD:
            self._note_unheard(now, record, source)
        else:
            self._weigh(now, record, _WEIGHTS[item.kind])

    def forget(self, target: str) -> None:
        """Drop all evidence about a target that is gone."""
        self._records.pop(target, None)

    def _note_unheard(self, now: float, record: _Record, source: str) -> None:
        record.unheard_by[source] = now
        heard_of = [at for at in record.unheard_by.values() if now - at <= MEMORY_SECONDS]
        if not source or len(heard_of) >= UNHEARD_ENTRIES:
            self._avoid(now, record, UNHEARD_SECONDS)

    def _weigh(self, now: float, record: _Record, weight: float) -> None:
        if now - record.noted_at > MEMORY_SECONDS and not record.is_on_trial:
            record.weight = 0.0
        record.weight += weight
        record.noted_at = now
        is_returning = record.is_on_trial and now >= record.avoided_until
        if is_returning and record.spell >= LEAST_AVOID_SECONDS:
            self._learn(FAILED_TRIAL_FACTOR)
        self._avoid(now, record, self.avoid_seconds if record.weight >= 1.0 else DOUBT_SECONDS)

    def _learn(self, factor: float) -> None:
        seconds = self.avoid_seconds * factor
        self.avoid_seconds = min(MOST_AVOID_SECONDS, max(LEAST_AVOID_SECONDS, seconds))

    def _avoid(self, now: float, record: _Record, seconds: float) -> None:
        is_known = record.is_on_trial and now < record.avoided_until
        if record.is_on_trial and not is_known:
            # It failed on its return.
            seconds = min(MAXIMUM_AVOID_SECONDS, max(seconds, REPEATED_FACTOR * record.spell))
        if is_known and now + seconds <= record.avoided_until:
            return
        record.spell = seconds
        record.is_on_trial = True
        record.avoided_until = now + seconds
        record.trial_until = 0.0
        spread = min(TRIAL_SPREAD_SECONDS, seconds)
        record.trial_at = record.avoided_until + self.random.uniform(0.0, spread)
