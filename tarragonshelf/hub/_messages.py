"""Messages between hubs and entries, and the effects of a hub."""

from dataclasses import dataclass

from ..base import Effect, Message
from ..registry import TargetEntry

# Builds of revision 0 store no catalogue of version 0, and spare any voter beyond three.
REPLICATION_REVISION = 1


@dataclass(frozen=True, slots=True)
class HubRecord(Message):
    """Addresses of a hub: ``address`` for peers, ``announcements`` for targets."""

    vm: str
    address: str
    announcements: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class HubNews(Message):
    """Hubs that the sender knows."""

    hubs: tuple[HubRecord, ...]


@dataclass(frozen=True, slots=True)
class EdgeRecord(Message):
    """Address of an entry for callers."""

    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class EdgeNews(Message):
    """Serving entries of the receiver's data centre that follow the sender.

    ``total`` is the number of serving entries in the whole site.
    """

    edges: tuple[EdgeRecord, ...]
    total: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe(Message):
    """Subscribes an entry to updates, or reports that it no longer serves.

    ``version`` is the version of the catalogue that the entry has in force, or ``NO_VERSION``; an
    entry of an older build without one sends 0, and puts no version 0 in force. With ``is_lookup``
    the entry receives heartbeats and the list of hubs only, to find the nearest hub. Other
    entries send requests to relay to ``relay_address``. With ``is_isolated`` the entry has no path
    to the targets and receives the list of the entries that relay requests.
    """

    vm: str
    address: str
    data_centre: str
    version: int
    is_serving: bool
    is_lookup: bool = False
    relay_address: str = ""
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class HubBeat(Message):
    """Periodic heartbeat of a hub.

    ``is_current`` is true if the hub leads with a quorum or has recent contact with a leader.
    ``edges`` is the number of serving entries that follow the sender. ``revision`` tells which
    rules of replication its build follows, as in ``REPLICATION_REVISION``.
    """

    vm: str
    is_current: bool
    edges: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LoadItem(Message):
    """Number of outstanding requests at a target."""

    target: str
    count: int


@dataclass(frozen=True, slots=True)
class RequestCount(Message):
    """Number of requests that callers sent for a service."""

    service: str
    count: int


@dataclass(frozen=True, slots=True)
class LoadReport(Message):
    """Outstanding requests of an entry at targets, and requests received since the last report."""

    items: tuple[LoadItem, ...]
    requests: tuple[RequestCount, ...] = ()


@dataclass(frozen=True, slots=True)
class RepeatAsk(Message):
    """Asks the hub to grant one retry of a request for a service."""

    number: int
    service: str


@dataclass(frozen=True, slots=True)
class RepeatReply(Message):
    """Reply to the ``RepeatAsk`` with the same number."""

    number: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class LoadNews(Message):
    """Changed counts of outstanding requests at targets, without those of the receiver.

    With ``is_whole`` the counts are complete: targets not listed have none.
    """

    items: tuple[LoadItem, ...]
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class HubLoad(Message):
    """All outstanding requests of one hub's entries at targets whose home is the receiver."""

    vm: str
    items: tuple[LoadItem, ...]


@dataclass(frozen=True, slots=True)
class HubBusy(Message):
    """Targets that are busy, sent by their home hub; a count of 0 means no longer busy."""

    vm: str
    items: tuple[LoadItem, ...]


@dataclass(frozen=True, slots=True)
class AnnounceTarget(Message):
    """Announcement of a target, as received by a hub."""

    target: TargetEntry


@dataclass(frozen=True, slots=True)
class AnnounceReply(Message):
    """Confirms an announcement; the target should send the next ones to ``address``."""

    address: str


@dataclass(frozen=True, slots=True)
class SubscriberReceived(Message):
    """A message received on the connection of an entry."""

    subscriber: int
    message: Message


@dataclass(frozen=True, slots=True)
class SubscriberLost(Message):
    """The connection of an entry was closed."""

    subscriber: int


@dataclass(frozen=True, slots=True)
class PushToSubscriber(Effect):
    """Send a message to an entry on its connection."""

    subscriber: int
    message: Message


@dataclass(frozen=True, slots=True)
class SaveMessage(Effect):
    """Save a message on disk under a name, before any message of the same batch is sent.

    A restarted hub begins with the saved messages, before it has contact with any other process.
    """

    name: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendToPeer(Effect):
    """Send a message to another hub."""

    address: str
    message: Message
