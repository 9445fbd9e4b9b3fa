"""Gray failures: who is avoided, for how long, and how targets come back."""

from random import Random

from ...avoidance import (
    AvoidanceBook,
    EvidenceItem,
    EvidenceKind,
    Standing,
    SuspectRequests,
)
from ...avoidance._book import (
    DOUBT_SECONDS,
    FIRST_AVOID_SECONDS,
    LEAST_AVOID_SECONDS,
    MOST_AVOID_SECONDS,
    REPEATED_FACTOR,
    TRIAL_SECONDS,
    TRIAL_SPREAD_SECONDS,
)


def create_book(*kinds: EvidenceKind, now: float = 0.0) -> AvoidanceBook:
    book = AvoidanceBook(Random(1))
    for kind in kinds:
        book.record(now, EvidenceItem("t", kind))
    return book


class TestAvoidance:
    def test_one_broken_connection_is_enough(self):
        book = create_book(EvidenceKind.BROKEN)
        assert book.get_standing(FIRST_AVOID_SECONDS - 0.1, "t") == Standing.AVOIDED
        later = FIRST_AVOID_SECONDS + TRIAL_SPREAD_SECONDS
        assert book.get_standing(later, "t") == Standing.ON_TRIAL

    def test_one_error_alone_is_only_doubt(self):
        book = create_book(EvidenceKind.ERROR)
        later = DOUBT_SECONDS + TRIAL_SPREAD_SECONDS
        assert book.get_standing(later, "t") == Standing.ON_TRIAL
        assert book.get_doubt("t") < 1.0

    def test_errors_in_a_row_add_up(self):
        book = create_book(EvidenceKind.ERROR, EvidenceKind.ERROR)
        assert book.get_standing(FIRST_AVOID_SECONDS - 0.1, "t") == Standing.AVOIDED
        assert book.get_doubt("t") == 1.0

    def test_a_failed_trial_lengthens_the_time(self):
        book = create_book(EvidenceKind.BROKEN)
        now = FIRST_AVOID_SECONDS + TRIAL_SPREAD_SECONDS
        book.record(now, EvidenceItem("t", EvidenceKind.BROKEN))
        later = now + REPEATED_FACTOR * FIRST_AVOID_SECONDS - 0.1
        assert book.get_standing(later, "t") == Standing.AVOIDED

    def test_trials_teach_how_long_spells_last(self):
        for kind, seconds in (
            (EvidenceKind.BROKEN, MOST_AVOID_SECONDS),
            (EvidenceKind.RECOVERED, LEAST_AVOID_SECONDS),
        ):
            book = create_book()
            for spell in range(60):
                book.record(100.0 * spell, EvidenceItem("t", EvidenceKind.BROKEN))
                book.record(100.0 * spell + 50, EvidenceItem("t", kind))
            assert book.avoid_seconds == seconds

    def test_a_trial_elsewhere_is_left_to_its_entry(self):
        book = create_book(EvidenceKind.BROKEN)
        now = FIRST_AVOID_SECONDS + TRIAL_SPREAD_SECONDS
        book.record(now, EvidenceItem("t", EvidenceKind.TRIAL))
        assert book.get_standing(now + TRIAL_SECONDS / 2, "t") == Standing.AVOIDED
        assert book.get_standing(now + TRIAL_SECONDS, "t") == Standing.ON_TRIAL

    def test_recovery_restores_trust_at_once(self):
        book = create_book(EvidenceKind.BROKEN, EvidenceKind.RECOVERED)
        assert book.get_standing(0.1, "t") == Standing.TRUSTED

    def test_silence_towards_one_entry_alone_may_be_its_own_link(self):
        book = AvoidanceBook(Random(1))
        item = EvidenceItem("t", EvidenceKind.UNHEARD)
        book.record(0.0, item, "e1")
        book.record(0.5, item, "e1")
        assert book.get_standing(0.5, "t") == Standing.TRUSTED
        book.record(1.0, item, "e2")
        assert book.get_standing(1.0, "t") == Standing.AVOIDED

    def test_silence_towards_this_entry_counts_at_once(self):
        book = create_book(EvidenceKind.UNHEARD)
        assert book.get_standing(0.1, "t") == Standing.AVOIDED

    def test_full_targets_are_not_avoided(self):
        book = create_book(EvidenceKind.FULL)
        assert book.is_full(0.1, "t")
        assert book.get_standing(0.1, "t") == Standing.TRUSTED


class TestSuspectRequests:
    def test_a_request_that_breaks_three_targets_is_held_back(self):
        suspects = SuspectRequests()
        for target in ("a", "b"):
            suspects.record_break(0.0, 7, target)
        assert not suspects.is_held_back(0.0, 7)
        suspects.record_break(0.0, 7, "c")
        assert suspects.is_held_back(1.0, 7)
        assert not suspects.is_held_back(60.0, 7)

    def test_one_success_clears_it(self):
        suspects = SuspectRequests()
        for target in ("a", "b", "c"):
            suspects.record_break(0.0, 7, target)
        suspects.record_success(7)
        assert not suspects.is_held_back(0.0, 7)

    def test_one_target_that_fails_often_is_no_suspicion(self):
        suspects = SuspectRequests()
        for _ in range(10):
            suspects.record_break(0.0, 7, "a")
        assert not suspects.is_held_back(0.0, 7)
