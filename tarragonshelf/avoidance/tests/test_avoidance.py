"""Gray failures: who is avoided, for how long, and how targets come back."""

import pytest

from ...avoidance import (
    EvidenceItem,
    EvidenceKind,
    GrayFailureDetector,
    Standing,
    SuspectRequests,
)
from ...avoidance._book import (
    FIRST_SPELL_SECONDS,
    LEAST_SPELL_SECONDS,
    MOST_SPELL_SECONDS,
    TRIAL_SECONDS,
    UNHEARD_SECONDS,
    UNREACHABLE_SECONDS,
)

HANG = (EvidenceKind.SLOW, EvidenceKind.HUNG)
FAILURES = [(EvidenceKind.BROKEN,), (EvidenceKind.ERROR,), HANG]
SIGNS = [(EvidenceKind.ERROR,), HANG]


def create_book(*kinds: EvidenceKind, now: float = 0.0) -> GrayFailureDetector:
    book = GrayFailureDetector()
    tell(book, now, *kinds)
    return book


def tell(book: GrayFailureDetector, now: float, *kinds: EvidenceKind) -> None:
    for kind in kinds:
        book.record(now, EvidenceItem("t", kind))


def find_trial_time(book: GrayFailureDetector, now: float = 0.0) -> float:
    """Return when a target that is avoided may first be tried."""
    later = now + book.estimate_avoidance_seconds(now, "t")
    assert book.get_standing(later - 0.05, "t") == Standing.AVOIDED
    assert book.get_standing(later + 0.05, "t") == Standing.ON_TRIAL
    return later + 0.05


class TestAvoidance:
    def test_one_broken_connection_is_enough(self):
        book = create_book(EvidenceKind.BROKEN)
        assert book.is_certain(0.0, "t")
        assert find_trial_time(book) > 0.7 * FIRST_SPELL_SECONDS

    @pytest.mark.parametrize("kind", [EvidenceKind.ERROR, EvidenceKind.SLOW])
    def test_one_sign_that_sound_targets_give_is_only_doubt(self, kind):
        book = create_book(kind)
        assert not book.is_certain(0.0, "t")
        assert book.get_standing(0.0, "t") == Standing.ON_TRIAL

    @pytest.mark.parametrize("kinds", SIGNS)
    def test_signs_in_a_row_add_up(self, kinds):
        book = create_book(*kinds, *kinds)
        assert book.is_certain(0.0, "t")
        assert find_trial_time(book) > 0.5 * FIRST_SPELL_SECONDS

    @pytest.mark.parametrize("kinds", FAILURES)
    def test_a_failed_trial_is_as_certain_as_the_first_failures(self, kinds):
        book = create_book(EvidenceKind.BROKEN)
        now = find_trial_time(book)
        tell(book, now, *kinds)
        assert book.get_chance(now, "t") > 0.7
        assert book.estimate_avoidance_seconds(now, "t") > 0.5 * FIRST_SPELL_SECONDS

    def test_trials_teach_how_long_spells_last(self):
        for kinds, seconds in (
            ((EvidenceKind.BROKEN,), MOST_SPELL_SECONDS),
            ((EvidenceKind.PASSED,) * 3, LEAST_SPELL_SECONDS),
        ):
            book = create_book()
            for spell in range(60):
                tell(book, 100.0 * spell, EvidenceKind.BROKEN)
                tell(book, 100.0 * spell + 30, *kinds)
            assert book.spell_seconds == seconds

    def test_false_alarms_do_not_teach_that_spells_are_short(self):
        """Errors that sound targets give now and then are many, and end at once."""
        book = create_book()
        for alarm in range(60):
            tell(book, 10.0 * alarm, EvidenceKind.ERROR)
            tell(book, 10.0 * alarm + 3, EvidenceKind.PASSED, EvidenceKind.PASSED)
        assert book.spell_seconds == FIRST_SPELL_SECONDS

    def test_a_trial_elsewhere_is_left_to_its_entry(self):
        book = create_book(EvidenceKind.BROKEN)
        now = find_trial_time(book)
        tell(book, now, EvidenceKind.TRIAL)
        assert book.get_standing(now + TRIAL_SECONDS / 2, "t") == Standing.AVOIDED
        assert book.get_standing(now + TRIAL_SECONDS, "t") == Standing.ON_TRIAL

    def test_one_success_after_a_spell_is_not_yet_trust(self):
        """Gray targets answer a part of what they get."""
        book = create_book(EvidenceKind.BROKEN)
        now = find_trial_time(book)
        tell(book, now, EvidenceKind.PASSED)
        assert book.get_standing(now, "t") == Standing.ON_TRIAL
        tell(book, now, EvidenceKind.PASSED)
        assert book.get_standing(now, "t") == Standing.TRUSTED

    def test_a_success_during_a_spell_does_not_end_it(self):
        book = create_book(*HANG, *HANG)
        tell(book, 0.5, EvidenceKind.PASSED)
        assert book.get_standing(0.5, "t") == Standing.AVOIDED

    def test_a_gray_target_that_answers_one_in_four_stays_avoided(self):
        book = create_book(*HANG * 2)
        now = 0.0
        for kinds in [(EvidenceKind.PASSED,), HANG, HANG, HANG] * 5:
            now += 0.5
            tell(book, now, *kinds)
            assert book.get_standing(now, "t") == Standing.AVOIDED

    @pytest.mark.parametrize(
        ("waiting", "answer"),
        [
            ((EvidenceKind.SLOW,), (EvidenceKind.PASSED, EvidenceKind.NOT_SLOW)),
            (HANG, (EvidenceKind.PASSED, EvidenceKind.NOT_SLOW, EvidenceKind.NOT_HUNG)),
        ],
    )
    def test_an_answer_takes_back_what_waiting_for_it_told(self, waiting, answer):
        book = create_book(*waiting)
        assert book.get_standing(0.1, "t") != Standing.TRUSTED
        tell(book, 0.2, *answer)
        assert book.get_standing(0.2, "t") == Standing.TRUSTED

    def test_two_requests_that_wait_are_enough_to_turn_away(self):
        """Targets that hang: evidence must come before the first deadline passes."""
        book = create_book(EvidenceKind.SLOW, EvidenceKind.SLOW)
        assert book.get_standing(0.0, "t") == Standing.AVOIDED
        assert not book.is_certain(0.0, "t")

    def test_what_is_never_tried_is_trusted_in_the_end(self):
        book = create_book(EvidenceKind.BROKEN)
        assert book.get_standing(5 * FIRST_SPELL_SECONDS, "t") == Standing.TRUSTED

    def test_a_port_that_refuses_is_left_alone_for_a_moment(self):
        book = create_book(EvidenceKind.UNREACHABLE)
        assert book.get_standing(UNREACHABLE_SECONDS - 0.1, "t") == Standing.AVOIDED
        assert book.get_standing(UNREACHABLE_SECONDS + 0.1, "t") == Standing.ON_TRIAL

    def test_silence_towards_one_entry_alone_may_be_its_own_link(self):
        book = GrayFailureDetector()
        item = EvidenceItem("t", EvidenceKind.UNHEARD)
        book.record(0.0, item, "e1")
        book.record(0.5, item, "e1")
        assert book.get_standing(0.5, "t") == Standing.TRUSTED
        book.record(1.0, item, "e2")
        assert book.get_standing(1.0, "t") == Standing.AVOIDED
        assert book.get_standing(1.0 + UNHEARD_SECONDS + 0.1, "t") == Standing.ON_TRIAL

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
            suspects.record_broken_connection(0.0, 7, target)
        assert not suspects.is_quarantined(0.0, 7)
        suspects.record_broken_connection(0.0, 7, "c")
        assert suspects.is_quarantined(1.0, 7)
        assert not suspects.is_quarantined(60.0, 7)

    def test_one_success_clears_it(self):
        suspects = SuspectRequests()
        for target in ("a", "b", "c"):
            suspects.record_broken_connection(0.0, 7, target)
        suspects.record_success(7)
        assert not suspects.is_quarantined(0.0, 7)

    def test_one_target_that_fails_often_is_no_suspicion(self):
        suspects = SuspectRequests()
        for _ in range(10):
            suspects.record_broken_connection(0.0, 7, "a")
        assert not suspects.is_quarantined(0.0, 7)
