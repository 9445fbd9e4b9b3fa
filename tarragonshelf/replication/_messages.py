"""Calls, events and effects shared by all processes with a replica."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..base import Effect, Message


@dataclass(frozen=True, slots=True)
class Done(Message):
    """A call was carried out, as of log index ``index``."""

    index: int = 0


class RefusedReason(StrEnum):
    """Why a call was not carried out.

    After ``LEADERSHIP_LOST`` a command may still take effect; after the others it does not.
    """

    NOT_LEADER = "not-leader"
    LEADERSHIP_LOST = "leadership-lost"
    STALE = "stale"
    NOT_INITIALIZED = "not-initialized"
    ALREADY_INITIALIZED = "already-initialized"
    UNKNOWN_NAME = "unknown-name"
    INVALID = "invalid"
    BUSY = "busy"


@dataclass(frozen=True, slots=True)
class Refused(Message):
    """A call was not carried out; ``leader`` is the leader's address, if known."""

    reason: RefusedReason
    leader: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Join(Message):
    """Requests that a replica with an empty data folder joins as a learner."""

    identity: str
    vm: str
    address: str


@dataclass(frozen=True, slots=True)
class Retire(Message):
    """Requests that the replicas of a VM are no longer members."""

    vm: str


@dataclass(frozen=True, slots=True)
class PeerMessageReceived(Message):
    """Event: a replication message from another replica arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class CallReceived(Message):
    """Event: a call arrived; ``call`` identifies it in the ``Reply``."""

    call: int
    message: Message


@dataclass(frozen=True, slots=True)
class PeerCallEnded(Message):
    """Event: a call of another replica ended with a reply, or without one for a reason."""

    address: str
    request: Message
    reply: Message | None = None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested(Message):
    """Event: this process was asked to stop."""


@dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Answer a call once all preceding saves are synced to disk."""

    call: int
    message: Message


@dataclass(frozen=True, slots=True)
class CallPeer(Effect):
    """Call another replica; the event ``PeerCallEnded`` reports the result."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class EmitEvent(Effect):
    """Write an event to the process log."""

    event: str
    fields: dict = field(default_factory=dict)
