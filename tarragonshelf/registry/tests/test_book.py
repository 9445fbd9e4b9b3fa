"""Targets that come, drain, leave and come again, heard in any order."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ...registry import TargetEntry, TargetRegistry, TargetState

READY = TargetEntry("i-1", 1000, 4, TargetState.READY, "10.0.0.1:80", "s", "z", 3)


def create_book(*entries: TargetEntry) -> TargetRegistry:
    book = TargetRegistry()
    for entry in entries:
        book.merge(0.0, entry)
    return book


class TestTargetBook:
    def test_a_late_heartbeat_does_not_end_a_drain(self):
        draining = replace(READY, state=TargetState.DRAINING, sequence=5)
        book = create_book(draining, replace(READY, sequence=9))
        assert book.list_usable("s") == ()

    def test_a_new_start_under_the_same_name_is_usable_again(self):
        left = replace(READY, state=TargetState.LEFT)
        book = create_book(READY, left, replace(READY, started=2000, sequence=0))
        assert [item.started for item in book.list_usable("s")] == [2000]

    def test_an_earlier_start_never_wins(self):
        book = create_book(replace(READY, started=2000), replace(READY, sequence=99))
        assert book.get("i-1").started == 2000

    def test_the_later_start_owns_an_address(self):
        other = TargetEntry("i-2", 2000, 1, TargetState.READY, "10.0.0.1:80", "t", "z", 3)
        for order in ((READY, other), (other, READY)):
            book = create_book(*order)
            assert book.list_usable("s") == ()
            assert [item.identity for item in book.list_usable("t")] == ["i-2"]

    def test_another_writers_word_does_not_move_a_target(self):
        book = create_book(READY, replace(READY, sequence=50, service="t"))
        assert [item.identity for item in book.list_usable("s")] == ["i-1"]
        assert book.list_usable("t") == ()

    def test_a_target_is_slow_only_for_the_time_that_it_said(self):
        book = create_book(replace(READY, warm_seconds=3.0))
        assert book.is_warming(2.9, "i-1")
        assert not book.is_warming(3.1, "i-1")
        assert not book.is_warming(1.0, "i-unknown")

    def test_only_what_matters_counts_as_a_change(self):
        book = create_book(READY)
        assert not book.merge(1.0, replace(READY, sequence=5))
        assert book.merge(1.0, replace(READY, sequence=6, state=TargetState.DRAINING))

    def test_targets_that_left_are_forgotten_in_the_end(self):
        book = create_book(READY, replace(READY, state=TargetState.LEFT))
        book.remove_departed(10.0)
        assert book.get("i-1") is not None
        book.remove_departed(500.0)
        assert book.get("i-1") is None

    @given(st.permutations(range(6)))
    def test_books_agree_whatever_the_order(self, order):
        words = [
            READY,
            replace(READY, sequence=7),
            replace(READY, sequence=6, state=TargetState.DRAINING),
            replace(READY, started=2000, sequence=1),
            TargetEntry("i-2", 1500, 1, TargetState.READY, "10.0.0.2:80", "s", "z", 3),
            TargetEntry("i-2", 1500, 2, TargetState.LEFT, "10.0.0.2:80", "s", "z", 3),
        ]
        book = create_book(*(words[index] for index in order))
        assert [(item.identity, item.started) for item in book.list_usable("s")] == [("i-1", 2000)]
        assert book.digest == create_book(*words).digest
