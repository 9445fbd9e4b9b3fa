"""Messages about entries that relay requests, and the requests that they relay."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Effect, Message
from ..registry import TargetEntry


class DeclineReason(StrEnum):
    """Why an entry does not take a request of another entry; it has not sent it to any target.

    It has no path to the targets itself, relays as many requests as it can already, is about to
    stop, has an older catalogue than the other entry, or its newer catalogue has no such route.
    """

    ISOLATED = "isolated"
    BUSY = "busy"
    STOPPING = "stopping"
    OUTDATED = "outdated"
    NO_ROUTE = "no-route"


@dataclass(frozen=True, slots=True)
class RelayRecord(Message):
    """Peer address of an entry that relays requests."""

    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class RelayQuery(Message):
    """A hub's question to another hub: which of its entries relay requests."""

    address: str


@dataclass(frozen=True, slots=True)
class RelayList(Message):
    """Reply to ``RelayQuery``; ``vm`` is the VM of the sender."""

    vm: str
    relays: tuple[RelayRecord, ...]


@dataclass(frozen=True, slots=True)
class RelayNews(Message):
    """Entries that relay requests, sent by a hub to an entry without a path to the targets."""

    relays: tuple[RelayRecord, ...]


@dataclass(frozen=True, slots=True)
class RelayHeader(Message):
    """One header field of a request or response."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class RelayRequest(Message):
    """A caller's request for the receiver to forward.

    ``body`` is the first part of a body of ``size`` bytes; ``RelayChunk`` messages with the same
    number carry the rest. The receiver may send it to ``maximum_attempts`` targets within
    ``remaining_seconds``, and only if its catalogue has at least the version ``minimum_version``.
    """

    number: int
    method: bytes
    path: bytes
    host: str
    headers: tuple[RelayHeader, ...]
    request_id: bytes
    has_body: bool
    size: int
    body: bytes
    remaining_seconds: float
    maximum_attempts: int
    minimum_version: int


@dataclass(frozen=True, slots=True)
class RelayChunk(Message):
    """The next part of the body of a relayed request or response."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RelayCancel(Message):
    """The caller of a relayed request has left, or its deadline has passed."""

    number: int


@dataclass(frozen=True, slots=True)
class RelayResponse(Message):
    """A target's response to a relayed request; ``RelayChunk`` messages carry the rest of it.

    ``executions`` is the number of targets that may have run the request, ``deliveries`` how
    often it reached a target.
    """

    number: int
    status: int
    headers: tuple[RelayHeader, ...]
    size: int
    body: bytes
    target: str
    executions: int
    deliveries: int
    version: int


@dataclass(frozen=True, slots=True)
class RelayRefusal(Message):
    """The relaying entry refuses the request, for a reason that holds at other entries, too.

    ``reason`` is the value of a refusal reason of the request's state machine.
    """

    number: int
    reason: str
    has_run: bool
    retry_after: float
    executions: int
    deliveries: int
    version: int


@dataclass(frozen=True, slots=True)
class RelayDecline(Message):
    """The receiver does not take a request; no target got it."""

    number: int
    reason: DeclineReason


@dataclass(frozen=True, slots=True)
class PathDoubted(Message):
    """A failure that a lost path of this entry would explain as well as a failed target."""

    target: str


@dataclass(frozen=True, slots=True)
class TargetConnected(Message):
    """A connection to a target was established."""

    target: str


@dataclass(frozen=True, slots=True)
class TargetChecked(Message):
    """Result of the check of one target."""

    target: str
    is_connected: bool


@dataclass(frozen=True, slots=True)
class CheckTargets(Effect):
    """Open a connection to each of some targets and report ``TargetChecked``."""

    targets: tuple[TargetEntry, ...]


@dataclass(frozen=True, slots=True)
class CloseIdleConnections(Effect):
    """Close all idle connections to targets, or only those to ``target``.

    They may have gone silent, or the target takes no more requests.
    """

    target: TargetEntry | None = None
