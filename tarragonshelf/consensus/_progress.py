"""Progress of followers, pending reads and incoming snapshots."""

from dataclasses import dataclass, field

from ._messages import Snapshot


@dataclass(slots=True)
class Progress:
    """Replication state of one follower on the leader.

    ``last_contact`` is in seconds of the leader's monotonic clock.
    """

    next_index: int
    match_index: int = 0
    last_contact: float = 0.0
    acknowledged_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """A linearizable read that waits until a quorum acknowledges a heartbeat round."""

    number: int
    index: int
    round: int


@dataclass(slots=True)
class IncomingSnapshot:
    """The parts of a snapshot received so far from the leader of a term."""

    term: int
    snapshot: Snapshot
    data: bytearray = field(default_factory=bytearray)
