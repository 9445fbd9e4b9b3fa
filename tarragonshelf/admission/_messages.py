"""What admission decides on, and its refusals."""

from dataclasses import dataclass
from enum import StrEnum


class OverloadCause(StrEnum):
    """What decided on a refusal.

    ``RANK``: more urgent requests need the room that is left. ``ACCOUNT``: the account is above
    its fair share. ``FULL``: no target could start the request in time.
    """

    RANK = "rank"
    ACCOUNT = "account"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service as one entry knows it.

    Attributes
    ----------
    slots : float
        Slots of the usable trusted targets.
    free : float
        Those without an outstanding request.
    outstanding : int
        Outstanding requests of all entries at these targets.
    queue : float
        Requests that may wait at these targets, so that the last one still starts in time.
    work_seconds : float
        Time that a request occupies a slot.
    age : float
        Seconds since the outstanding requests of other entries were last received.
    """

    slots: float
    free: float
    outstanding: int
    queue: float
    work_seconds: float
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class Overload:
    """Refusal of a request whose service is short of room.

    Attributes
    ----------
    rank : int
        Rank of the request; 0 is the most urgent.
    cause : OverloadCause
        What decided.
    level : float
        Occupied share of the queue of the service's targets.
    age : float
        Age of the known load in seconds.
    retry_after : float
        Seconds until room is expected for this caller.
    """

    rank: int
    cause: OverloadCause
    level: float
    age: float
    retry_after: float
