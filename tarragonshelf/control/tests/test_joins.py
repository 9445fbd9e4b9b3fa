"""Requests of a control to join the others."""

from random import Random

from ...consensus import Member, Membership, Snapshot, SnapshotRequest
from ...control import ControlNode, ControlSnapshot
from ...replication import CallPeer, Join, PeerMessageReceived
from ...transport import create_codec

CODEC = create_codec()
SEED = "a:1"


def create_node_with_log(*members: Member) -> ControlNode:
    """Return a control that has just got a snapshot from the leader, with these members."""
    node = ControlNode(
        vm="d", incarnation="2", address="d:1", codec=CODEC, random=Random(0), seeds=(SEED,)
    )
    voters = tuple(Member(f"{vm}/1", vm, f"{vm}:1", True) for vm in "abc")
    state = CODEC.encode(ControlSnapshot(cluster="c", index=9, revision=0))
    snapshot = Snapshot(9, 1, Membership((*voters, *members)), state)
    request = SnapshotRequest(1, "a/1", snapshot, 0, len(state), 1)
    node.handle(0.0, PeerMessageReceived(request))
    assert node.is_initialized
    return node


def list_joins(node: ControlNode) -> list[str]:
    """Return the addresses that a control asks for membership."""
    return [
        effect.address
        for effect in node.tick(1.0)
        if isinstance(effect, CallPeer) and isinstance(effect.message, Join)
    ]


class TestControlWithLog:
    # A control whose disk was lost took the snapshot that was meant for its earlier incarnation,
    # and never asked to join again.
    def test_control_joins_although_it_got_the_log_of_an_earlier_incarnation(self):
        assert SEED in list_joins(create_node_with_log(Member("d/1", "d", "d:1", False)))

    def test_member_does_not_join(self):
        assert not list_joins(create_node_with_log(Member("d/2", "d", "d:1", False)))

    def test_control_that_was_removed_does_not_join(self):
        assert not list_joins(create_node_with_log())
