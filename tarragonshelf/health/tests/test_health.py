"""Detector, hang bound, poison register."""

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


def feed(detector: Detector, rates: dict[str, float], seconds: float, seed: int = 1) -> set[str]:
    """Feed two entries' outcomes at failure rates by target; return who was condemned."""
    random = Random(seed)
    condemned: set[str] = set()
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
        condemned |= {item.target for item in detector.list_failing()}
    return condemned


def create_detector(rate: float = 1e-3) -> Detector:
    return Detector(false_ejection_rate=rate, miss_rate=1e-2)


class TestDetector:
    def test_failing_target_is_condemned_and_no_other(self):
        assert feed(create_detector(), {"t3": 1.0}, 3) == {"t3"}

    def test_errors_on_a_fifth_of_all_requests_condemn_nobody(self):
        assert feed(create_detector(1e-6), {"all": 0.2}, 60) == set()

    @pytest.mark.parametrize("seed", range(5))
    def test_service_that_starts_to_fail_as_a_whole_condemns_nobody(self, seed):
        detector = create_detector()
        assert feed(detector, {}, 5, seed) == set()
        assert feed(detector, {"all": 1.0}, 10, seed) == set()

    def test_several_failing_targets_do_not_excuse_each_other(self):
        rates = dict.fromkeys(TARGETS[:4], 1.0)
        assert feed(create_detector(), rates, 5) == set(TARGETS[:4])

    def test_lower_rate_of_false_ejections_asks_for_more_evidence(self):
        assert create_detector(1e-6).threshold > create_detector(1e-3).threshold

    def test_new_incarnation_starts_without_a_past(self):
        detector = create_detector()
        feed(detector, {"t3": 1.0}, 3)
        detector.record(4.0, "e1", [Evidence("s", "t3", "2", answered=1)])
        assert detector.get_score("t3").score == 0.0


class TestEvidenceBook:
    def test_healthy_targets_take_turns_and_lose_no_count(self):
        book = EvidenceCollector()
        for target in TARGETS:
            book.record("s", target, "1", Outcome.ANSWERED)
        digests = [book.take() for _ in range(4)]
        assert [len(items) for items in digests] == [4, 4, 4, 0]
        assert {item.target for items in digests for item in items} == set(TARGETS)

    def test_target_that_failed_of_late_is_in_every_digest(self):
        book = EvidenceCollector()
        book.record("s", "t11", "1", Outcome.HUNG)
        book.take()
        for target in TARGETS:
            book.record("s", target, "1", Outcome.ANSWERED)
        assert book.take()[0].target == "t11"


class TestHangBound:
    def test_bound_follows_the_answers(self):
        bound = HangTimeout()
        assert bound.compute(1.0) == 1.0
        for _ in range(200):
            bound.record(0.1)
        assert bound.compute(1.0) == pytest.approx(0.4)

    def test_bound_never_exceeds_four_times_the_configured(self):
        bound = HangTimeout()
        for _ in range(200):
            bound.record(30.0)
        assert bound.compute(1.0) == 4.0


class TestPoison:
    def test_two_crashed_targets_quarantine_a_request(self):
        register = PoisonRegister()
        assert register.record(0.0, PoisonNote("d", "t1", "1"))
        assert not register.record(0.0, PoisonNote("d", "t1", "1"))
        assert not register.is_quarantined(1.0, "d")
        register.record(1.0, PoisonNote("d", "t2", "1"))
        assert register.is_quarantined(2.0, "d")
        assert not register.is_quarantined(2.0, "other")

    def test_quarantine_ends(self):
        register = PoisonRegister()
        register.record(0.0, PoisonNote("d", "t1", "1"))
        register.record(0.0, PoisonNote("d", "t2", "1"))
        assert not register.is_quarantined(1000.0, "d")
        register.forget(1000.0)
        assert register.count_crashes(0.0, "d") == 0
