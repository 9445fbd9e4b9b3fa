"""What is believed of each target, from the outcomes of real requests at all entries.

A target is sound or in a bad spell, in which it fails most of what it gets. Evidence moves the
odds of a spell; between pieces of evidence they relax, as spells end by themselves.
"""

from dataclasses import dataclass, field
from math import exp, log

from ._messages import EvidenceItem, EvidenceKind, Standing

# Chance that a target of which nothing is known is in a spell.
PRIOR_CHANCE = 0.05
# Below this chance a target is trusted; above the other one it is avoided; between them it is
# tried by one request at a time.
TRUSTED_CHANCE = 0.1
TRIAL_CHANCE = 0.4
MOST_CHANCE = 0.993
# How long spells last, in seconds: before trials taught it, and the bounds of what they teach.
FIRST_SPELL_SECONDS = 8.0
LEAST_SPELL_SECONDS = 4.0
MOST_SPELL_SECONDS = 15.0
# A trial that fails lengthens the time and a target that recovers shortens it; they balance where
# one trial in three fails.
FAILED_TRIAL_FACTOR = 1.06
RECOVERED_FACTOR = 0.97
# Only spells that were this certain teach how long spells last.
CERTAIN_CHANCE = 0.7
# A refused connection often means a restart, which takes some seconds.
UNREACHABLE_SECONDS = 1.0
# Silence lasts as long as a cut or a loss of power, some seconds at least.
UNHEARD_SECONDS = 3.0
# Entries that must hear nothing from a target before the others believe it: one alone may be cut
# off from it. Their words count for so long.
UNHEARD_ENTRIES = 2
MEMORY_SECONDS = 4.0
# Full targets empty a slot within about one request's work.
FULL_SECONDS = 0.2
# So long the others leave a trial to the entry that began it.
TRIAL_SECONDS = 1.0
# So long one failure proves that a target fails; then it may have recovered.
PROOF_SECONDS = 2.0
# So long a target that was tried is not idle.
IDLE_SECONDS = 1.0

# Logarithms of how much likelier each outcome is in a spell than without one. Sound targets give
# an error or a late answer now and then; a target in a spell still answers some requests.
_RATIOS = {
    EvidenceKind.BROKEN: 6.0,
    EvidenceKind.ERROR: 2.0,
    EvidenceKind.SLOW: 2.4,
    EvidenceKind.HUNG: 1.5,
    EvidenceKind.PASSED: -1.0,
    # An answer takes back what waiting for it told.
    EvidenceKind.NOT_SLOW: -2.4,
    EvidenceKind.NOT_HUNG: -1.5,
}
POSITIVE_EVIDENCE = frozenset({EvidenceKind.PASSED, EvidenceKind.NOT_SLOW, EvidenceKind.NOT_HUNG})


def _compute_odds(chance: float) -> float:
    return log(chance / (1 - chance))


def _compute_chance(odds: float) -> float:
    return 1 / (1 + exp(-odds))


@dataclass(slots=True)
class _Record:
    """What is known of one target; times in seconds.

    ``chance`` of a spell held at ``updated_at``; the target is not used before ``held_until``.
    """

    chance: float = PRIOR_CHANCE
    updated_at: float = 0.0
    failed_at: float = 0.0
    tried_at: float = float("-inf")
    held_until: float = 0.0
    trial_until: float = 0.0
    full_until: float = 0.0
    was_certain: bool = False
    unheard_by: dict[str, float] = field(default_factory=dict)


class GrayFailureDetector:
    """Turns evidence into a standing for each target."""

    def __init__(self):
        self.spell_seconds = FIRST_SPELL_SECONDS
        self._records: dict[str, _Record] = {}
        self._recovered_at: dict[str, float] = {}

    def get_standing(self, now: float, target: str) -> Standing:
        """Return how a target may be used."""
        record = self._records.get(target)
        if record is None:
            return Standing.TRUSTED
        chance = self._relax(now, record)
        if now >= record.held_until and chance < TRUSTED_CHANCE:
            return Standing.TRUSTED
        if now < record.held_until or now < record.trial_until or chance > TRIAL_CHANCE:
            return Standing.AVOIDED
        return Standing.ON_TRIAL

    def is_on_trial(self, now: float, target: str) -> bool:
        """Tell whether some entry began a trial whose outcome may still come."""
        record = self._records.get(target)
        return record is not None and now < record.trial_until

    def is_settled(self, now: float, target: str) -> bool:
        """Tell whether a target is trusted, and has been for a while."""
        if self.get_standing(now, target) != Standing.TRUSTED:
            return False
        return now - self._recovered_at.get(target, float("-inf")) >= PROOF_SECONDS

    def get_idle_seconds(self, now: float, target: str) -> float:
        """Return for how long a target that may have recovered got no work.

        0 if it is trusted, or a failure proved of late that it still fails.
        """
        if self.get_standing(now, target) == Standing.TRUSTED:
            return 0.0
        record = self._records[target]
        since = max(record.failed_at + PROOF_SECONDS, record.tried_at + IDLE_SECONDS)
        return max(0.0, now - since)

    def is_full(self, now: float, target: str) -> bool:
        """Tell whether a target refused work for lack of room a moment ago."""
        record = self._records.get(target)
        return record is not None and now < record.full_until

    def estimate_avoidance_seconds(self, now: float, target: str) -> float:
        """Return how long a target is avoided from now on, if no more is heard of it."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        excess = (self._relax(now, record) - PRIOR_CHANCE) / (TRIAL_CHANCE - PRIOR_CHANCE)
        seconds = self.spell_seconds * log(excess) if excess > 1 else 0.0
        return max(0.0, seconds, record.held_until - now)

    def get_chance(self, now: float, target: str) -> float:
        """Return how likely it is that a target is in a spell, from 0 to 1."""
        record = self._records.get(target)
        return self._relax(now, record) if record else PRIOR_CHANCE

    def is_certain(self, now: float, target: str) -> bool:
        """Tell whether there is more against a target than one sign that sound ones give, too."""
        record = self._records.get(target)
        return record is not None and record.was_certain

    def count_avoided(self, now: float) -> int:
        """Return how many targets are avoided."""
        return sum(self.get_standing(now, name) == Standing.AVOIDED for name in self._records)

    def record(self, now: float, item: EvidenceItem, source: str = "") -> None:
        """Take one piece of evidence in, of another entry or with no source of this one."""
        record = self._records.setdefault(item.target, _Record(updated_at=now))
        if item.kind == EvidenceKind.TRIAL:
            record.tried_at = now
            record.trial_until = now + TRIAL_SECONDS
        elif item.kind == EvidenceKind.FULL:
            record.full_until = now + FULL_SECONDS
        elif item.kind == EvidenceKind.UNREACHABLE:
            self._hold(now, record, UNREACHABLE_SECONDS)
        elif item.kind == EvidenceKind.UNHEARD:
            self._note_unheard(now, record, source)
        elif item.kind in POSITIVE_EVIDENCE:
            self._note_passed(now, item, record)
        elif item.kind == EvidenceKind.SLOW:
            self._weigh(now, record, _RATIOS[item.kind])
        else:
            self._note_failed(now, record, _RATIOS[item.kind])

    def forget(self, target: str) -> None:
        """Drop all evidence about a target that is gone."""
        self._records.pop(target, None)
        self._recovered_at.pop(target, None)

    def _relax(self, now: float, record: _Record) -> float:
        """Return the chance of a spell now, as spells end by themselves."""
        share = exp(-max(0.0, now - record.updated_at) / self.spell_seconds)
        return PRIOR_CHANCE + (record.chance - PRIOR_CHANCE) * share

    def _weigh(self, now: float, record: _Record, ratio: float) -> None:
        odds = _compute_odds(self._relax(now, record)) + ratio
        record.chance = min(MOST_CHANCE, _compute_chance(odds))
        record.updated_at = now
        record.trial_until = 0.0

    def _note_failed(self, now: float, record: _Record, ratio: float) -> None:
        is_trial = self._relax(now, record) <= TRIAL_CHANCE
        if record.was_certain and is_trial:
            self._learn(FAILED_TRIAL_FACTOR)
        self._weigh(now, record, ratio)
        record.failed_at = now
        record.was_certain = record.was_certain or record.chance >= CERTAIN_CHANCE

    def _note_passed(self, now: float, item: EvidenceItem, record: _Record) -> None:
        self._weigh(now, record, _RATIOS[item.kind])
        if now < record.held_until or record.chance >= TRUSTED_CHANCE:
            return
        if record.was_certain:
            self._learn(RECOVERED_FACTOR)
            self._recovered_at[item.target] = now
        del self._records[item.target]

    def _note_unheard(self, now: float, record: _Record, source: str) -> None:
        record.unheard_by[source] = now
        heard_of = [at for at in record.unheard_by.values() if now - at <= MEMORY_SECONDS]
        if not source or len(heard_of) >= UNHEARD_ENTRIES:
            self._hold(now, record, UNHEARD_SECONDS)

    def _hold(self, now: float, record: _Record, seconds: float) -> None:
        """Leave a target alone for a while; then it has to pass trials."""
        record.chance = max(self._relax(now, record), TRIAL_CHANCE)
        record.updated_at = now
        record.failed_at = now
        record.trial_until = 0.0
        record.held_until = max(record.held_until, now + seconds)

    def _learn(self, factor: float) -> None:
        seconds = self.spell_seconds * factor
        self.spell_seconds = min(MOST_SPELL_SECONDS, max(LEAST_SPELL_SECONDS, seconds))
