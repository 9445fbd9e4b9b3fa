"""What a leader knows about its followers and its open reads."""

from dataclasses import dataclass, field

from ._messages import Snapshot


@dataclass(slots=True)
class Progress:
    """One follower as its leader sees it; times in seconds."""

    next_index: int
    match_index: int = 0
    heard_at: float = 0.0
    acknowledged_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """A read that waits for a quorum to answer a heartbeat round."""

    number: int
    index: int
    round: int


@dataclass(slots=True)
class IncomingSnapshot:
    """The parts of a snapshot that one leader has sent so far."""

    term: int
    snapshot: Snapshot
    data: bytearray = field(default_factory=bytearray)
