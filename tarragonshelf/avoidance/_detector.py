"""Failure probability of each target, estimated from real requests of all entries.

A target either works or is in a failure episode, during which it fails most of its requests. Each
piece of evidence updates the log odds of an episode by a likelihood ratio. Without evidence the
probability decays towards its prior, since episodes end by themselves.
"""

from dataclasses import dataclass, field
from math import exp, log

from ._messages import EvidenceItem, EvidenceKind, Standing

# Probability that a target without any evidence is in a failure episode.
PRIOR_PROBABILITY = 0.05
# Below the first probability a target is trusted, above the second one it is avoided. In between
# it receives one trial request at a time.
MAXIMUM_TRUSTED_PROBABILITY = 0.1
MAXIMUM_TRIAL_PROBABILITY = 0.4
MAXIMUM_PROBABILITY = 0.993
# Estimated duration of failure episodes: initial value, and bounds of the values learned from
# trials.
INITIAL_EPISODE_SECONDS = 8.0
MINIMUM_EPISODE_SECONDS = 4.0
MAXIMUM_EPISODE_SECONDS = 15.0
# A failed trial lengthens the estimated duration and a recovered target shortens it. The factors
# balance if one trial in three fails.
FAILED_TRIAL_FACTOR = 1.06
RECOVERY_FACTOR = 0.97
# Only episodes whose probability reached this value update the estimated duration.
STRONG_EVIDENCE_PROBABILITY = 0.7
# A refused connection often means a restart, which takes some seconds.
UNREACHABLE_HOLD_SECONDS = 1.0
# Connecting times out during a network partition or a power loss, which last some seconds at
# least.
UNHEARD_HOLD_SECONDS = 3.0
# Connection time-outs of other entries count only once this many entries reported one within
# UNHEARD_REPORT_SECONDS: a single entry may be partitioned from the target.
MINIMUM_UNHEARD_REPORTERS = 2
UNHEARD_REPORT_SECONDS = 4.0
# Full targets free a slot within about the duration of one request.
FULL_SECONDS = 0.2
# After a trial has started at one entry, the others start none for this long.
TRIAL_SECONDS = 1.0
# A failure proves for this long that the target is failing; later it may have recovered.
FAILURE_PROOF_SECONDS = 2.0
# A target counts as idle again this long after its last trial.
TRIED_SECONDS = 1.0

# Log likelihood ratio of each kind of evidence, failure episode to normal operation. Working
# targets return an occasional error or slow response; targets in an episode still answer some
# requests.
_LOG_LIKELIHOOD_RATIOS = {
    EvidenceKind.BROKEN: 6.0,
    EvidenceKind.ERROR: 2.0,
    EvidenceKind.SLOW: 2.4,
    EvidenceKind.HUNG: 1.5,
    EvidenceKind.PASSED: -1.0,
    # A response cancels the evidence reported while the request waited for it.
    EvidenceKind.NOT_SLOW: -2.4,
    EvidenceKind.NOT_HUNG: -1.5,
}
POSITIVE_EVIDENCE = frozenset({EvidenceKind.PASSED, EvidenceKind.NOT_SLOW, EvidenceKind.NOT_HUNG})


def _compute_log_odds(probability: float) -> float:
    return log(probability / (1 - probability))


def _compute_probability(log_odds: float) -> float:
    return 1 / (1 + exp(-log_odds))


@dataclass(slots=True)
class _Record:
    """Evidence about one target; times in seconds.

    ``probability`` is that of a failure episode at ``updated_at``; the target is avoided until
    ``hold_until`` in any case.
    """

    probability: float = PRIOR_PROBABILITY
    updated_at: float = 0.0
    failed_at: float = 0.0
    tried_at: float = float("-inf")
    hold_until: float = 0.0
    trial_until: float = 0.0
    full_until: float = 0.0
    had_strong_evidence: bool = False
    unheard_by: dict[str, float] = field(default_factory=dict)


class GrayFailureDetector:
    """Estimates the failure probability of each target and derives how it may be used."""

    def __init__(self):
        self.episode_seconds = INITIAL_EPISODE_SECONDS
        self._records: dict[str, _Record] = {}
        self._recovered_at: dict[str, float] = {}

    def get_standing(self, now: float, target: str) -> Standing:
        """Return how a target may be used."""
        record = self._records.get(target)
        if record is None:
            return Standing.TRUSTED
        probability = self._estimate_probability(now, record)
        if now >= record.hold_until and probability < MAXIMUM_TRUSTED_PROBABILITY:
            return Standing.TRUSTED
        if (
            now < record.hold_until
            or now < record.trial_until
            or probability > MAXIMUM_TRIAL_PROBABILITY
        ):
            return Standing.AVOIDED
        return Standing.ON_TRIAL

    def is_on_trial(self, now: float, target: str) -> bool:
        """Return whether an entry started a trial whose result is still awaited."""
        record = self._records.get(target)
        return record is not None and now < record.trial_until

    def is_stably_trusted(self, now: float, target: str) -> bool:
        """Return whether a target is trusted and did not recover within the last seconds.

        A recovery counts for ``FAILURE_PROOF_SECONDS``.
        """
        if self.get_standing(now, target) != Standing.TRUSTED:
            return False
        return now - self._recovered_at.get(target, float("-inf")) >= FAILURE_PROOF_SECONDS

    def get_idle_seconds(self, now: float, target: str) -> float:
        """Return how many seconds a target that may have recovered has been without requests.

        The result is 0 if the target is trusted or if a recent failure proves that it still fails.
        """
        if self.get_standing(now, target) == Standing.TRUSTED:
            return 0.0
        record = self._records[target]
        since = max(record.failed_at + FAILURE_PROOF_SECONDS, record.tried_at + TRIED_SECONDS)
        return max(0.0, now - since)

    def is_full(self, now: float, target: str) -> bool:
        """Return whether a target just refused a request because all its slots were taken."""
        record = self._records.get(target)
        return record is not None and now < record.full_until

    def was_full(self, now: float, target: str, *, seconds: float) -> bool:
        """Return whether a target refused a request within the last ``seconds``."""
        record = self._records.get(target)
        return record is not None and now < record.full_until - FULL_SECONDS + seconds

    def estimate_avoidance_seconds(self, now: float, target: str) -> float:
        """Return how many more seconds a target is avoided if there is no further evidence."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        excess = (self._estimate_probability(now, record) - PRIOR_PROBABILITY) / (
            MAXIMUM_TRIAL_PROBABILITY - PRIOR_PROBABILITY
        )
        seconds = self.episode_seconds * log(excess) if excess > 1 else 0.0
        return max(0.0, seconds, record.hold_until - now)

    def get_failure_probability(self, now: float, target: str) -> float:
        """Return the probability that a target is in a failure episode, from 0 to 1."""
        record = self._records.get(target)
        return self._estimate_probability(now, record) if record else PRIOR_PROBABILITY

    def has_strong_evidence(self, now: float, target: str) -> bool:
        """Return whether the evidence exceeds a single error, which working targets show, too."""
        record = self._records.get(target)
        return record is not None and record.had_strong_evidence

    def count_avoided(self, now: float) -> int:
        """Return how many targets are avoided."""
        return sum(self.get_standing(now, name) == Standing.AVOIDED for name in self._records)

    def record(self, now: float, item: EvidenceItem, source: str = "") -> None:
        """Record one piece of evidence; an empty ``source`` stands for this entry."""
        record = self._records.setdefault(item.target, _Record(updated_at=now))
        if item.kind == EvidenceKind.TRIAL:
            record.tried_at = now
            record.trial_until = now + TRIAL_SECONDS
        elif item.kind == EvidenceKind.FULL:
            record.full_until = now + FULL_SECONDS
        elif item.kind == EvidenceKind.UNREACHABLE:
            self._hold(now, record, UNREACHABLE_HOLD_SECONDS)
        elif item.kind == EvidenceKind.UNHEARD:
            self._record_unheard(now, record, source)
        elif item.kind in POSITIVE_EVIDENCE:
            self._record_positive_evidence(now, item, record)
        elif item.kind == EvidenceKind.SLOW:
            self._update_probability(now, record, _LOG_LIKELIHOOD_RATIOS[item.kind])
        else:
            self._record_failure_evidence(now, record, _LOG_LIKELIHOOD_RATIOS[item.kind])

    def forget(self, target: str) -> None:
        """Remove all evidence about a target that no longer exists."""
        self._records.pop(target, None)
        self._recovered_at.pop(target, None)

    def _estimate_probability(self, now: float, record: _Record) -> float:
        """Return the probability of a failure episode, decayed since the last update."""
        share = exp(-max(0.0, now - record.updated_at) / self.episode_seconds)
        return PRIOR_PROBABILITY + (record.probability - PRIOR_PROBABILITY) * share

    def _update_probability(self, now: float, record: _Record, ratio: float) -> None:
        log_odds = _compute_log_odds(self._estimate_probability(now, record)) + ratio
        record.probability = min(MAXIMUM_PROBABILITY, _compute_probability(log_odds))
        record.updated_at = now
        record.trial_until = 0.0

    def _record_failure_evidence(self, now: float, record: _Record, ratio: float) -> None:
        is_trial = self._estimate_probability(now, record) <= MAXIMUM_TRIAL_PROBABILITY
        if record.had_strong_evidence and is_trial:
            self._scale_episode_seconds(FAILED_TRIAL_FACTOR)
        self._update_probability(now, record, ratio)
        record.failed_at = now
        record.had_strong_evidence = (
            record.had_strong_evidence or record.probability >= STRONG_EVIDENCE_PROBABILITY
        )

    def _record_positive_evidence(self, now: float, item: EvidenceItem, record: _Record) -> None:
        self._update_probability(now, record, _LOG_LIKELIHOOD_RATIOS[item.kind])
        if now < record.hold_until or record.probability >= MAXIMUM_TRUSTED_PROBABILITY:
            return
        if record.had_strong_evidence:
            self._scale_episode_seconds(RECOVERY_FACTOR)
            self._recovered_at[item.target] = now
        del self._records[item.target]

    def _record_unheard(self, now: float, record: _Record, source: str) -> None:
        record.unheard_by[source] = now
        recent_reports = [
            at for at in record.unheard_by.values() if now - at <= UNHEARD_REPORT_SECONDS
        ]
        if not source or len(recent_reports) >= MINIMUM_UNHEARD_REPORTERS:
            self._hold(now, record, UNHEARD_HOLD_SECONDS)

    def _hold(self, now: float, record: _Record, seconds: float) -> None:
        """Avoid a target for some seconds; afterwards it has to pass trials."""
        record.probability = max(
            self._estimate_probability(now, record), MAXIMUM_TRIAL_PROBABILITY
        )
        record.updated_at = now
        record.failed_at = now
        record.trial_until = 0.0
        record.hold_until = max(record.hold_until, now + seconds)

    def _scale_episode_seconds(self, factor: float) -> None:
        seconds = self.episode_seconds * factor
        self.episode_seconds = min(MAXIMUM_EPISODE_SECONDS, max(MINIMUM_EPISODE_SECONDS, seconds))
