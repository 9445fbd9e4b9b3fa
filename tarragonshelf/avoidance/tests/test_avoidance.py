"""Gray failures: which targets are avoided, for how long, and how they regain trust."""

import pytest

from ...avoidance import (
    EvidenceItem,
    EvidenceKind,
    GrayFailureDetector,
    Standing,
    SuspectRequests,
)
from ...avoidance._detector import (
    INITIAL_EPISODE_SECONDS,
    MAXIMUM_EPISODE_SECONDS,
    MINIMUM_EPISODE_SECONDS,
    TRIAL_SECONDS,
    UNHEARD_HOLD_SECONDS,
    UNREACHABLE_HOLD_SECONDS,
)

HANG = (EvidenceKind.SLOW, EvidenceKind.HUNG)
FAILURES = [(EvidenceKind.BROKEN,), (EvidenceKind.ERROR,), HANG]
WEAK_SIGNS = [(EvidenceKind.ERROR,), HANG]


def create_detector(*kinds: EvidenceKind, now: float = 0.0) -> GrayFailureDetector:
    detector = GrayFailureDetector()
    record_evidence(detector, now, *kinds)
    return detector


def record_evidence(detector: GrayFailureDetector, now: float, *kinds: EvidenceKind) -> None:
    for kind in kinds:
        detector.record(now, EvidenceItem("t", kind))


def find_trial_time(detector: GrayFailureDetector, now: float = 0.0) -> float:
    """Return when an avoided target may first be tried, 0.05 s after the predicted time."""
    expected = now + detector.estimate_avoidance_seconds(now, "t")
    assert detector.get_standing(expected - 0.05, "t") == Standing.AVOIDED
    assert detector.get_standing(expected + 0.05, "t") == Standing.ON_TRIAL
    return expected + 0.05


class TestAvoidance:
    def test_one_broken_connection_is_strong_evidence(self):
        detector = create_detector(EvidenceKind.BROKEN)
        assert detector.has_strong_evidence(0.0, "t")
        assert find_trial_time(detector) > 0.7 * INITIAL_EPISODE_SECONDS

    @pytest.mark.parametrize("kind", [EvidenceKind.ERROR, EvidenceKind.SLOW])
    def test_one_weak_sign_only_leads_to_a_trial(self, kind):
        detector = create_detector(kind)
        assert not detector.has_strong_evidence(0.0, "t")
        assert detector.get_standing(0.0, "t") == Standing.ON_TRIAL

    @pytest.mark.parametrize("kinds", WEAK_SIGNS)
    def test_consecutive_weak_signs_accumulate(self, kinds):
        detector = create_detector(*kinds, *kinds)
        assert detector.has_strong_evidence(0.0, "t")
        assert find_trial_time(detector) > 0.5 * INITIAL_EPISODE_SECONDS

    @pytest.mark.parametrize("kinds", FAILURES)
    def test_failed_trial_renews_the_avoidance(self, kinds):
        detector = create_detector(EvidenceKind.BROKEN)
        now = find_trial_time(detector)
        record_evidence(detector, now, *kinds)
        assert detector.get_failure_probability(now, "t") > 0.7
        assert detector.estimate_avoidance_seconds(now, "t") > 0.5 * INITIAL_EPISODE_SECONDS

    def test_trials_adapt_the_episode_duration(self):
        for kinds, seconds in (
            ((EvidenceKind.BROKEN,), MAXIMUM_EPISODE_SECONDS),
            ((EvidenceKind.PASSED,) * 3, MINIMUM_EPISODE_SECONDS),
        ):
            detector = create_detector()
            for episode in range(60):
                record_evidence(detector, 100.0 * episode, EvidenceKind.BROKEN)
                record_evidence(detector, 100.0 * episode + 30, *kinds)
            assert detector.episode_seconds == seconds

    def test_false_alarms_do_not_shorten_the_episode_duration(self):
        """Working targets return many isolated errors, which are no failure episodes."""
        detector = create_detector()
        for alarm in range(60):
            record_evidence(detector, 10.0 * alarm, EvidenceKind.ERROR)
            record_evidence(detector, 10.0 * alarm + 3, EvidenceKind.PASSED, EvidenceKind.PASSED)
        assert detector.episode_seconds == INITIAL_EPISODE_SECONDS

    def test_trial_of_one_entry_defers_trials_of_others(self):
        detector = create_detector(EvidenceKind.BROKEN)
        now = find_trial_time(detector)
        record_evidence(detector, now, EvidenceKind.TRIAL)
        assert detector.get_standing(now + TRIAL_SECONDS / 2, "t") == Standing.AVOIDED
        assert detector.get_standing(now + TRIAL_SECONDS, "t") == Standing.ON_TRIAL

    def test_one_success_after_an_episode_does_not_restore_trust(self):
        """Targets in a failure episode still answer a part of their requests."""
        detector = create_detector(EvidenceKind.BROKEN)
        now = find_trial_time(detector)
        record_evidence(detector, now, EvidenceKind.PASSED)
        assert detector.get_standing(now, "t") == Standing.ON_TRIAL
        record_evidence(detector, now, EvidenceKind.PASSED)
        assert detector.get_standing(now, "t") == Standing.TRUSTED

    def test_success_during_an_episode_does_not_end_it(self):
        detector = create_detector(*HANG, *HANG)
        record_evidence(detector, 0.5, EvidenceKind.PASSED)
        assert detector.get_standing(0.5, "t") == Standing.AVOIDED

    def test_target_that_answers_one_request_in_four_stays_avoided(self):
        detector = create_detector(*HANG * 2)
        now = 0.0
        for kinds in [(EvidenceKind.PASSED,), HANG, HANG, HANG] * 5:
            now += 0.5
            record_evidence(detector, now, *kinds)
            assert detector.get_standing(now, "t") == Standing.AVOIDED

    @pytest.mark.parametrize(
        ("waiting", "answer"),
        [
            ((EvidenceKind.SLOW,), (EvidenceKind.PASSED, EvidenceKind.NOT_SLOW)),
            (HANG, (EvidenceKind.PASSED, EvidenceKind.NOT_SLOW, EvidenceKind.NOT_HUNG)),
        ],
    )
    def test_response_retracts_evidence_of_slowness(self, waiting, answer):
        detector = create_detector(*waiting)
        assert detector.get_standing(0.1, "t") != Standing.TRUSTED
        record_evidence(detector, 0.2, *answer)
        assert detector.get_standing(0.2, "t") == Standing.TRUSTED

    def test_two_slow_requests_lead_to_avoidance(self):
        """For targets that hang, evidence is needed before the first deadline passes."""
        detector = create_detector(EvidenceKind.SLOW, EvidenceKind.SLOW)
        assert detector.get_standing(0.0, "t") == Standing.AVOIDED
        assert not detector.has_strong_evidence(0.0, "t")

    def test_target_without_trials_is_trusted_eventually(self):
        detector = create_detector(EvidenceKind.BROKEN)
        assert detector.get_standing(5 * INITIAL_EPISODE_SECONDS, "t") == Standing.TRUSTED

    def test_unreachable_target_is_held_briefly(self):
        detector = create_detector(EvidenceKind.UNREACHABLE)
        assert detector.get_standing(UNREACHABLE_HOLD_SECONDS - 0.1, "t") == Standing.AVOIDED
        assert detector.get_standing(UNREACHABLE_HOLD_SECONDS + 0.1, "t") == Standing.ON_TRIAL

    def test_connection_time_out_needs_reports_of_two_entries(self):
        detector = GrayFailureDetector()
        item = EvidenceItem("t", EvidenceKind.UNHEARD)
        detector.record(0.0, item, "e1")
        detector.record(0.5, item, "e1")
        assert detector.get_standing(0.5, "t") == Standing.TRUSTED
        detector.record(1.0, item, "e2")
        assert detector.get_standing(1.0, "t") == Standing.AVOIDED
        assert detector.get_standing(1.0 + UNHEARD_HOLD_SECONDS + 0.1, "t") == Standing.ON_TRIAL

    def test_connection_time_out_at_this_entry_counts_at_once(self):
        detector = create_detector(EvidenceKind.UNHEARD)
        assert detector.get_standing(0.1, "t") == Standing.AVOIDED

    def test_full_target_is_not_avoided(self):
        detector = create_detector(EvidenceKind.FULL)
        assert detector.is_full(0.1, "t")
        assert detector.get_standing(0.1, "t") == Standing.TRUSTED


class TestSuspectRequests:
    def test_request_that_breaks_three_targets_is_quarantined(self):
        suspects = SuspectRequests()
        for target in ("a", "b"):
            suspects.record_broken_connection(0.0, 7, target)
        assert not suspects.is_quarantined(0.0, 7)
        suspects.record_broken_connection(0.0, 7, "c")
        assert suspects.is_quarantined(1.0, 7)
        assert not suspects.is_quarantined(60.0, 7)

    def test_one_success_clears_a_request(self):
        suspects = SuspectRequests()
        for target in ("a", "b", "c"):
            suspects.record_broken_connection(0.0, 7, target)
        suspects.record_success(7)
        assert not suspects.is_quarantined(0.0, 7)

    def test_repeated_failures_of_one_target_do_not_count(self):
        suspects = SuspectRequests()
        for _ in range(10):
            suspects.record_broken_connection(0.0, 7, "a")
        assert not suspects.is_quarantined(0.0, 7)
