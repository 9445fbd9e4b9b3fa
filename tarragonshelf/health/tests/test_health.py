"""Tests of the detector, evidence, hang time-out and poison register."""

from random import Random

import pytest

from ...health import (
    Detector,
    Evidence,
    EvidenceCollector,
    HangTimeout,
    Outcome,
    PoisonNote,
    PoisonRegister,
)

TARGETS = [f"t{n}" for n in range(12)]


def record_outcomes(
    detector: Detector, rates: dict[str, float], seconds: float, seed: int = 1
) -> set[str]:
    """Record outcomes of two entries at failure rates by target; return the failing targets."""
    random = Random(seed)
    failing: set[str] = set()
    now = 0.0
    for _ in range(round(seconds / 0.25)):
        now += 0.25
        detector.fade(0.25, now)
        for source in ("e1", "e2"):
            items = []
            for target in TARGETS:
                bad = random.random() < rates.get(target, rates.get("all", 0.0))
                items.append(Evidence("s", target, "1", int(not bad), int(bad)))
            detector.record(now, source, items)
        failing |= {item.target for item in detector.list_failing()}
    return failing


def create_detector(rate: float = 1e-3) -> Detector:
    return Detector(false_ejection_rate=rate, miss_rate=1e-2)


class TestDetector:
    def test_only_the_failing_target_is_reported(self):
        assert record_outcomes(create_detector(), {"t3": 1.0}, 3) == {"t3"}

    def test_errors_on_a_fifth_of_all_requests_report_no_target(self):
        assert record_outcomes(create_detector(1e-6), {"all": 0.2}, 60) == set()

    @pytest.mark.parametrize("seed", range(5))
    def test_failure_of_all_targets_at_once_reports_no_target(self, seed):
        detector = create_detector()
        assert record_outcomes(detector, {}, 5, seed) == set()
        assert record_outcomes(detector, {"all": 1.0}, 10, seed) == set()

    def test_several_failing_targets_do_not_raise_the_baseline(self):
        rates = dict.fromkeys(TARGETS[:4], 1.0)
        assert record_outcomes(create_detector(), rates, 5) == set(TARGETS[:4])

    def test_lower_false_ejection_rate_raises_the_threshold(self):
        assert create_detector(1e-6).threshold > create_detector(1e-3).threshold

    def test_new_incarnation_starts_with_score_zero(self):
        detector = create_detector()
        record_outcomes(detector, {"t3": 1.0}, 3)
        detector.record(4.0, "e1", [Evidence("s", "t3", "2", answered=1)])
        assert detector.get_score("t3").score == 0.0


class TestEvidenceCollector:
    def test_healthy_targets_are_reported_in_turn_without_loss(self):
        collector = EvidenceCollector()
        for target in TARGETS:
            collector.record("s", target, "1", Outcome.ANSWERED)
        digests = [collector.take() for _ in range(4)]
        assert [len(items) for items in digests] == [4, 4, 4, 0]
        assert {item.target for items in digests for item in items} == set(TARGETS)

    def test_target_with_recent_failure_is_in_every_digest(self):
        collector = EvidenceCollector()
        collector.record("s", "t11", "1", Outcome.HUNG)
        collector.take()
        for target in TARGETS:
            collector.record("s", target, "1", Outcome.ANSWERED)
        assert collector.take()[0].target == "t11"


class TestHangTimeout:
    def test_timeout_adapts_to_response_times(self):
        timeout = HangTimeout()
        assert timeout.compute(1.0) == 1.0
        for _ in range(200):
            timeout.record(0.1)
        assert timeout.compute(1.0) == pytest.approx(0.4)

    def test_timeout_is_at_most_four_times_the_configured_one(self):
        timeout = HangTimeout()
        for _ in range(200):
            timeout.record(30.0)
        assert timeout.compute(1.0) == 4.0


class TestPoison:
    def test_request_is_quarantined_after_two_targets_crashed(self):
        register = PoisonRegister()
        assert register.record(0.0, PoisonNote("d", "t1", "1"))
        assert not register.record(0.0, PoisonNote("d", "t1", "1"))
        assert not register.is_quarantined(1.0, "d")
        register.record(1.0, PoisonNote("d", "t2", "1"))
        assert register.is_quarantined(2.0, "d")
        assert not register.is_quarantined(2.0, "other")

    # Guards against a request that is held back because one target crashed twice by itself.
    def test_two_incarnations_of_one_target_count_as_one_crash(self):
        register = PoisonRegister()
        assert register.record(0.0, PoisonNote("d", "t1", "1"))
        assert register.record(1.0, PoisonNote("d", "t1", "2"))
        assert register.count_crashes(2.0, "d") == 1
        assert not register.is_quarantined(2.0, "d")
        register.record(3.0, PoisonNote("d", "t2", "1"))
        assert register.is_quarantined(4.0, "d")

    def test_quarantine_ends(self):
        register = PoisonRegister()
        register.record(0.0, PoisonNote("d", "t1", "1"))
        register.record(0.0, PoisonNote("d", "t2", "1"))
        assert not register.is_quarantined(1000.0, "d")
        register.remove_expired(1000.0)
        assert register.count_crashes(0.0, "d") == 0
