"""Evidence that hubs send to other regions: at once, once a second, or not at all."""

import pytest

from ...avoidance import EvidenceItem, EvidenceKind
from .._batches import DistantEvidenceBatch
from .._loads import LoadAggregator


def add_all(batch: DistantEvidenceBatch, now: float, *kinds: EvidenceKind) -> None:
    for kind in kinds:
        batch.add_evidence(now, EvidenceItem("t", kind, source="e"))


class TestDistantEvidence:
    """Load: single good, slow and trial requests of 100 entries, most of the evidence."""

    def create(self) -> DistantEvidenceBatch:
        batch = DistantEvidenceBatch()
        add_all(batch, 0.0, EvidenceKind.BROKEN)
        assert len(batch.pop_due(0.0)) == 1
        return batch

    # Guards against a failure that other regions learn of late.
    @pytest.mark.parametrize(
        "kind", sorted({*EvidenceKind} - {*"pstaf"}, key=str), ids=lambda kind: kind.name
    )
    def test_statements_and_failures_leave_with_the_next_batch(self, kind):
        batch = self.create()
        add_all(batch, 0.01, EvidenceKind.PASSED, kind)
        assert [item.kind for item in batch.pop_due(0.05)] == [EvidenceKind.PASSED, kind]

    # Guards against a message between regions for each request of a recovering target.
    def test_weak_evidence_waits_for_a_second(self):
        batch = self.create()
        add_all(batch, 0.1, EvidenceKind.PASSED, EvidenceKind.SLOW)
        assert batch.pop_due(0.9) == ()
        add_all(batch, 0.95, EvidenceKind.PASSED)
        assert len(batch.pop_due(1.0)) == 3

    def test_slow_report_that_is_retracted_is_not_sent(self):
        batch = self.create()
        add_all(batch, 0.1, EvidenceKind.SLOW, EvidenceKind.NOT_SLOW, EvidenceKind.NOT_SLOW)
        assert [item.kind for item in batch.pop_due(1.0)] == [EvidenceKind.NOT_SLOW]

    def test_trials_and_full_targets_are_not_sent(self):
        batch = self.create()
        add_all(batch, 0.1, EvidenceKind.TRIAL, EvidenceKind.FULL)
        assert batch.pop_due(5.0) == ()


class TestBusyTargets:
    # Guards against lists of busy targets to other regions at each change.
    def test_other_regions_hear_of_busy_targets_once_a_second(self):
        loads = LoadAggregator("h")
        sent = {"near": 0, "distant": 0}
        for step in range(50):
            loads.set_local({"t": 4 if step % 2 else 0})
            news = loads.exchange(1.0 + step * 0.12, {"t": "h"}, {"t": 2})
            sent["near"] += news.busy is not None
            sent["distant"] += news.distant_busy is not None
        assert sent["near"] > 40
        assert sent["distant"] <= 6
