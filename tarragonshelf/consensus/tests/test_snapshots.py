"""Transfer of snapshots that are sent in several parts."""

from random import Random

from ...base import Message
from .._log import Log
from .._messages import (
    HardState,
    LogEntry,
    Member,
    Membership,
    Send,
    Snapshot,
)
from .._replica import Replica
from .._state import Timing

TICK_SECONDS = 0.05
PART_BYTES = 100
MEMBERSHIP = Membership(
    tuple(Member(f"{name}/1", name, f"{name}:1", True) for name in ("a", "b", "c"))
)
DATA = bytes(range(250)) * 2


class Group:
    """Three replicas; ``b`` lacks all that the others have compacted."""

    def __init__(self):
        self.now = 100.0
        self.replicas: dict[str, Replica] = {}
        self._in_flight: list[tuple[str, Message]] = []
        for name in ("a", "c"):
            snapshot = Snapshot(20, 1, MEMBERSHIP, DATA)
            self.start(name, Log(snapshot=snapshot, entries=(LogEntry(21, 1),)))
        self.start("b", Log(snapshot=Snapshot(1, 0, MEMBERSHIP, b"")))

    def start(self, name: str, log: Log) -> None:
        """Start a replica, or start it again with the log that its disk holds."""
        self.replicas[f"{name}/1"] = Replica(
            identity=f"{name}/1",
            log=log,
            hard_state=HardState(1, ""),
            random=Random(ord(name)),
            timing=Timing(snapshot_part_bytes=PART_BYTES),
        )

    def advance(self, seconds: float, *, is_stopped=lambda: False) -> None:
        """Run ticks, and deliver messages one tick later, until the time or the condition."""
        end = self.now + seconds
        while self.now < end and not is_stopped():
            self.now += TICK_SECONDS
            messages, self._in_flight = self._in_flight, []
            for identity, message in messages:
                replica = self.replicas[identity]
                self._send([*replica.handle(self.now, message), *replica.flush(self.now)])
            for replica in self.replicas.values():
                self._send([*replica.tick(self.now), *replica.flush(self.now)])

    def _send(self, effects: list) -> None:
        sent = (effect for effect in effects if isinstance(effect, Send))
        self._in_flight += ((effect.identity, effect.message) for effect in sent)


class TestParts:
    def test_all_parts_arrive(self):
        group = Group()
        group.advance(5.0)
        assert group.replicas["b/1"].log.snapshot.data == DATA

    # Guards against a follower that restarts, or whose disk refuses a write, between two parts:
    # the leader sent the later parts for ever, and the follower had nothing to add them to.
    def test_follower_that_lost_the_first_parts_receives_all_again(self):
        group = Group()

        def has_first_parts() -> bool:
            incoming = group.replicas["b/1"]._incoming
            return incoming is not None and len(incoming.data) >= 2 * PART_BYTES

        group.advance(5.0, is_stopped=has_first_parts)
        assert has_first_parts()
        group.start("b", Log(snapshot=Snapshot(1, 0, MEMBERSHIP, b"")))
        group.advance(5.0)
        assert group.replicas["b/1"].log.snapshot.data == DATA
        assert group.replicas["b/1"].commit >= 21
