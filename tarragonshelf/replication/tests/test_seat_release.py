"""Replicas that give their seat back before their process ends."""

from ...consensus import Member, Membership
from ...replication import (
    CallPeer,
    Done,
    PeerCallEnded,
    Refused,
    RefusedReason,
    Retire,
    SeatRelease,
    plan_release,
    plan_removal,
)

LEADER = "a:1"


def create_membership(voters: str, learners: str = "") -> Membership:
    """Return a membership with one replica per letter."""
    members = [Member(name, name, f"{name}:1", True) for name in voters]
    members += [Member(name, name, f"{name}:1", False) for name in learners]
    return Membership(tuple(members))


def answer(release: SeatRelease, reply: object) -> None:
    release.handle_result(PeerCallEnded(LEADER, Retire("b"), reply))


class TestSeatRelease:
    def test_asks_the_leader_until_the_seat_is_released(self):
        release = SeatRelease("b", 0.0)
        assert release.create_requests(0.0, leader=LEADER, has_seat=True) == [
            CallPeer(LEADER, Retire("b"))
        ]
        answer(release, Refused(RefusedReason.BUSY))
        assert not release.is_finished
        assert release.create_requests(0.5, leader=LEADER, has_seat=True)
        answer(release, Done(7))
        assert release.is_finished
        assert not release.create_requests(1.0, leader=LEADER, has_seat=True)

    def test_ends_at_once_if_the_seat_stays_or_there_is_none(self):
        release = SeatRelease("b", 0.0)
        release.create_requests(0.0, leader=LEADER, has_seat=True)
        answer(release, Refused(RefusedReason.INVALID))
        assert release.is_finished
        release = SeatRelease("b", 0.0)
        release.create_requests(0.0, leader=LEADER, has_seat=False)
        assert release.is_finished

    # A control that was asked to stop between two leaders ended at once, with the seat that the
    # next leader would have needed (soak 201).
    def test_goes_on_for_a_while_without_a_leader_or_a_decision(self):
        for leader in ("", LEADER):
            release = SeatRelease("b", 0.0)
            release.create_requests(3.9, leader=leader, has_seat=True)
            assert not release.is_finished
            release.create_requests(4.0, leader=leader, has_seat=True)
            assert release.is_finished

    def test_ends_if_the_leader_does_not_answer(self):
        release = SeatRelease("b", 0.0)
        for now in (0.0, 0.5, 1.0):
            assert not release.is_finished
            release.create_requests(now, leader=LEADER, has_seat=True)
            release.handle_result(PeerCallEnded(LEADER, Retire("b"), None, "closed"))
        assert release.is_finished


class TestPlanRelease:
    def test_seat_is_released_while_three_voters_remain(self):
        planned = plan_release(create_membership("abcd"), "d", frozenset("abcd"))
        assert planned.ok.voters == frozenset("abc")

    def test_one_of_three_keeps_its_seat(self):
        planned = plan_release(create_membership("abc"), "c", frozenset("abc"))
        assert planned.error.reason == RefusedReason.INVALID

    def test_seat_is_needed_while_others_join_or_do_not_reply(self):
        planned = plan_release(create_membership("abc", "d"), "c", frozenset("abcd"))
        assert planned.error.reason == RefusedReason.BUSY
        planned = plan_release(create_membership("abcde"), "e", frozenset("ae"))
        assert planned.error.reason == RefusedReason.BUSY


class TestPlanRemoval:
    def test_lost_voter_is_removed_from_an_even_number(self):
        assert plan_removal(create_membership("abcd"), frozenset("d")).voters == frozenset("abc")

    def test_lost_voter_stays_in_an_odd_number_or_a_small_set(self):
        assert plan_removal(create_membership("abcde"), frozenset("e")) is None
        assert plan_removal(create_membership("ab"), frozenset("b")) is None
