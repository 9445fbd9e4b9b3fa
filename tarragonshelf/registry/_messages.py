"""Records of targets, and the messages that replicate them."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


class TargetState(StrEnum):
    """State that a target announces; the last two are final for its incarnation."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"

    @property
    def rank(self) -> int:
        """The position in a target's life cycle; a record of higher rank overrides a lower one."""
        return _RANKS[self]


_RANKS = {TargetState.READY: 0, TargetState.DRAINING: 1, TargetState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class TargetEntry(Message):
    """One incarnation of a target.

    ``started`` is the Unix time of its start in milliseconds and orders the incarnations of one
    identity and of one address. ``warm_seconds`` is the rest of its warm-up, during which it is
    slow. ``registrar`` is the control VM that receives its heartbeats. ``is_expired`` marks a
    target that is taken for gone as its heartbeats stopped: a later heartbeat refutes it.
    """

    identity: str
    started: int
    sequence: int
    state: TargetState
    address: str = ""
    service: str = ""
    data_centre: str = ""
    slots: int = 1
    warm_seconds: float = 0.0
    registrar: str = ""
    is_expired: bool = False

    @property
    def precedence(self) -> tuple[int, int, bool, str]:
        """Of two records of one incarnation, the one with the higher value wins.

        What a target said of itself is final. That it expired holds until it is heard again. The
        registrar decides if two of them received the same heartbeat.
        """
        if self.state == TargetState.LEFT and not self.is_expired:
            return (self.state.rank, self.sequence, False, "")
        state = TargetState.READY if self.is_expired else self.state
        return (state.rank, self.sequence, self.is_expired, self.registrar)

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.state == TargetState.READY and bool(self.address)

    @property
    def is_unresolved(self) -> bool:
        """Whether it is a departure without a start, which tells no incarnation."""
        return self.state == TargetState.LEFT and not self.started and not self.address


@dataclass(frozen=True, slots=True)
class TargetNews(Message):
    """Targets that changed, or all of the sender's targets if ``is_whole``.

    If ``number`` is not 0, the receiver sends ``TargetNewsReceived`` to the hub ``sender``.
    """

    targets: tuple[TargetEntry, ...]
    number: int = 0
    sender: str = ""
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class TargetNewsReceived(Message):
    """Confirms that a control stored the ``TargetNews`` with this number."""

    number: int
    vm: str


@dataclass(frozen=True, slots=True)
class TargetDigest(Message):
    """Checksum of a control's registry; ``wants_all`` requests the receiver's whole registry."""

    vm: str
    digest: int
    wants_all: bool = False
