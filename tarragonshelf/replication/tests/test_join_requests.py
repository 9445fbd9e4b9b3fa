"""Requests to join: who is asked, and what follows from the replies."""

from ...replication import (
    CallPeer,
    Done,
    EmitEvent,
    Join,
    JoinRequests,
    PeerCallEnded,
    Refused,
    RefusedReason,
)

JOIN = Join("d/1", "d", "d:1")


def list_called(effects: list) -> list[str]:
    return [effect.address for effect in effects if isinstance(effect, CallPeer)]


def refuse(joins: JoinRequests, now: float, address: str, leader: str) -> list:
    refused = Refused(RefusedReason.NOT_LEADER, leader)
    return joins.handle_result(now, PeerCallEnded(address, JOIN, refused))


class TestJoinRequests:
    # Incident CONFIG: the leader that a refusal names was never asked.
    def test_leader_that_a_refusal_names_is_asked_at_once_and_in_later_rounds(self):
        joins = JoinRequests(JOIN, ("b:1",))
        assert list_called(joins.create_requests(0.0, [])) == ["b:1"]
        assert list_called(refuse(joins, 0.1, "b:1", "a:1")) == ["a:1"]
        joins.handle_result(0.2, PeerCallEnded("a:1", JOIN, Refused(RefusedReason.BUSY)))
        assert list_called(joins.create_requests(1.0, [])) == ["a:1", "b:1"]

    def test_all_contacts_are_asked_together_and_none_twice_at_a_time(self):
        joins = JoinRequests(JOIN, ("b:1", "d:1"))
        assert list_called(joins.create_requests(0.0, ["c:1", "b:1"])) == ["b:1", "c:1"]
        assert not list_called(joins.create_requests(1.0, ["c:1"]))
        joins.handle_result(1.0, PeerCallEnded("c:1", JOIN, None, "no connection"))
        assert list_called(joins.create_requests(1.0, ["c:1"])) == ["c:1"]

    def test_refusals_that_name_each_other_end_with_the_interval(self):
        joins = JoinRequests(JOIN, ("b:1",))
        joins.create_requests(0.0, [])
        assert list_called(refuse(joins, 0.0, "b:1", "c:1")) == ["c:1"]
        assert not list_called(refuse(joins, 0.1, "c:1", "b:1"))

    def test_own_address_is_never_asked_and_seeds_are_bounded(self):
        joins = JoinRequests(JOIN)
        for number in range(100):
            joins.add_seeds((f"s{number}:1", "d:1"))
            refuse(joins, 0.0, "x:1", f"l{number}:1")
        assert len(joins.contacts) == 20
        assert "d:1" not in joins.contacts
        assert "s99:1" in joins.contacts

    def test_every_reply_is_logged(self):
        joins = JoinRequests(JOIN, ("b:1",))
        events = refuse(joins, 0.0, "b:1", "")
        events += joins.handle_result(0.0, PeerCallEnded("b:1", JOIN, Done(1)))
        events += joins.handle_result(0.0, PeerCallEnded("b:1", JOIN, None, "gone"))
        names = [effect.event for effect in events if isinstance(effect, EmitEvent)]
        assert names == ["join_refused", "join_accepted", "join_not_answered"]
