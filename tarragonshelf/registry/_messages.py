"""What is known of a target, and the messages that spread it."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Message


class TargetState(StrEnum):
    """What a target says of itself; the last two are final for its incarnation."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"

    @property
    def rank(self) -> int:
        """How far the target's life has gone."""
        return _RANKS[self]


_RANKS = {TargetState.READY: 0, TargetState.DRAINING: 1, TargetState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class TargetEntry(Message):
    """One incarnation of a target.

    ``started`` is the Unix time of its start in milliseconds and orders the incarnations of one
    identity and of one address. ``warm_seconds`` is how much longer it stays slow. ``registrar``
    is the control VM that hears its heartbeats.
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

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.state == TargetState.READY and bool(self.address)


@dataclass(frozen=True, slots=True)
class TargetNews(Message):
    """Targets that changed, or with ``is_whole`` all that the sender knows.

    With a ``number`` the receiver answers ``TargetNewsReceived`` to the hub ``sender``.
    """

    targets: tuple[TargetEntry, ...]
    number: int = 0
    sender: str = ""
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class TargetNewsReceived(Message):
    """Confirms that a control holds some news."""

    number: int
    vm: str


@dataclass(frozen=True, slots=True)
class TargetDigest(Message):
    """A checksum over all that a control knows; ``wants_all`` asks for the other's whole book."""

    vm: str
    digest: int
    wants_all: bool = False
