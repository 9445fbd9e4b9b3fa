"""Declared limits, requested pauses, and the permits for requests to targets that declare one."""

from dataclasses import dataclass

from ..base import Message


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What one response says about the limit of its target.

    ``rate`` is the number of requests per second that the target accepts from all entries
    together, or None if it accepts any number.
    """

    rate: float | None


@dataclass(frozen=True, slots=True)
class PauseStatement:
    """A target's request that this process sends it nothing for some seconds.

    ``problem`` says why the request is malformed; ``seconds`` is 0 then.
    """

    seconds: float
    problem: str = ""


@dataclass(frozen=True, slots=True)
class RateLimit(Message):
    """Limit of one target in requests per second, from all entries together."""

    target: str
    rate: float


@dataclass(frozen=True, slots=True)
class PermitRequest(Message):
    """Asks for a permit to send one request to one of several targets with limits.

    ``limits`` are ordered by preference. ``service_rate`` is the sum of the limits of all targets
    of the service that could take the request. With ``has_alternative`` a request without a
    permit is tried at other targets; otherwise it is refused.
    """

    number: int
    service: str
    limits: tuple[RateLimit, ...]
    service_rate: float
    has_alternative: bool = False


@dataclass(frozen=True, slots=True)
class PermitReply(Message):
    """Reply to the ``PermitRequest`` with the same number; times in seconds.

    ``target`` is the target that the permit is for, or empty if it is denied. Then no permit for
    any of the targets is free before ``wait``, and a refused caller should return after
    ``retry_after``.
    """

    number: int
    target: str = ""
    wait: float = 0.0
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class RelayedPermitRequest(Message):
    """A ``PermitRequest`` of an entry, sent to the leader by the control that the entry follows.

    ``address`` is the peer address of that control, ``subscriber`` its number of the entry.
    """

    address: str
    subscriber: int
    request: PermitRequest


@dataclass(frozen=True, slots=True)
class RelayedPermitReply(Message):
    """The leader's reply to the ``RelayedPermitRequest`` of a subscriber."""

    subscriber: int
    reply: PermitReply
