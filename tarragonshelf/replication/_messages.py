"""Calls, events and effects that all processes with a replica share."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..base import Effect, Message


@dataclass(frozen=True, slots=True)
class Done(Message):
    """A call was carried out."""

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
    """A call was not carried out; ``leader`` is the address to try where it is known."""

    reason: RefusedReason
    leader: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Join(Message):
    """A replica with an empty data folder asks to be let in."""

    identity: str
    vm: str
    address: str


@dataclass(frozen=True, slots=True)
class PeerMessageReceived(Message):
    """Event: a replication message arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class CallReceived(Message):
    """Event: a call arrived; ``call`` names it in the reply."""

    call: int
    message: Message


@dataclass(frozen=True, slots=True)
class StopRequested(Message):
    """Event: this control is to stop."""


@dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Answer a call, after everything saved before is synced."""

    call: int
    message: Message


@dataclass(frozen=True, slots=True)
class EmitEvent(Effect):
    """Write an event to the log."""

    event: str
    fields: dict = field(default_factory=dict)
