"""Messages between hubs and entries, and effects of a hub."""

from dataclasses import dataclass

from ..base import Effect, Message
from ..registry import TargetEntry


@dataclass(frozen=True, slots=True)
class HubRecord(Message):
    """Where a hub is reached: by peers at ``address``, by targets at ``announcements``."""

    vm: str
    address: str
    announcements: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class HubNews(Message):
    """Hubs that the sender hears."""

    hubs: tuple[HubRecord, ...]


@dataclass(frozen=True, slots=True)
class EdgeRecord(Message):
    """Where callers reach an entry."""

    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class EdgeNews(Message):
    """Serving entries of the receiver's data centre that follow the sender.

    ``total`` is how many there are in the whole site.
    """

    edges: tuple[EdgeRecord, ...]
    total: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe(Message):
    """An entry asks for all news, or tells that it no longer serves.

    ``version`` is the catalogue that it has in force. With ``is_lookup`` it only wants to hear
    of hubs, to find the nearest.
    """

    vm: str
    address: str
    data_centre: str
    version: int
    is_serving: bool
    is_lookup: bool = False


@dataclass(frozen=True, slots=True)
class HubBeat(Message):
    """Sent at short intervals; ``is_current`` if the hub hears a leader or leads a quorum.

    ``edges`` is how many serving entries follow the sender.
    """

    vm: str
    is_current: bool
    edges: int = 0


@dataclass(frozen=True, slots=True)
class LoadItem(Message):
    """How many requests a target holds."""

    target: str
    count: int


@dataclass(frozen=True, slots=True)
class RequestCount(Message):
    """How many requests of callers came for a service."""

    service: str
    count: int


@dataclass(frozen=True, slots=True)
class LoadReport(Message):
    """All requests that an entry has at targets, and what came since its last report."""

    items: tuple[LoadItem, ...]
    requests: tuple[RequestCount, ...] = ()


@dataclass(frozen=True, slots=True)
class RepeatAsk(Message):
    """An entry asks its hub whether it may repeat a request of a service."""

    number: int
    service: str


@dataclass(frozen=True, slots=True)
class RepeatReply(Message):
    """The answer to the ask of that number."""

    number: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class LoadNews(Message):
    """What targets hold besides the receiver's own requests, where that changed.

    With ``is_whole`` no other target holds anything.
    """

    items: tuple[LoadItem, ...]
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class HubLoad(Message):
    """All that the entries of one hub hold at targets whose home is the receiver."""

    vm: str
    items: tuple[LoadItem, ...]


@dataclass(frozen=True, slots=True)
class HubBusy(Message):
    """Targets of the sender that became busy, or with a count of 0 that no longer are."""

    vm: str
    items: tuple[LoadItem, ...]


@dataclass(frozen=True, slots=True)
class AnnounceTarget(Message):
    """A target's own word, as a hub received it."""

    target: TargetEntry


@dataclass(frozen=True, slots=True)
class AnnounceReply(Message):
    """The word was taken in; the target's next ones do best to go to ``address``."""

    address: str


@dataclass(frozen=True, slots=True)
class SubscriberReceived(Message):
    """A message on the connection of an entry."""

    subscriber: int
    message: Message


@dataclass(frozen=True, slots=True)
class SubscriberLost(Message):
    """The connection of an entry is gone."""

    subscriber: int


@dataclass(frozen=True, slots=True)
class PushToSubscriber(Effect):
    """Send a message to an entry on its connection."""

    subscriber: int
    message: Message


@dataclass(frozen=True, slots=True)
class SaveMessage(Effect):
    """Keep a message under a name on disk, before anything of the same batch is sent.

    A hub that starts again begins with what it remembers, before it hears anyone.
    """

    name: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendToPeer(Effect):
    """Send a message to another hub."""

    address: str
    message: Message
