"""Settings, messages and effects of an entry."""

from dataclasses import dataclass

from ..base import Effect, Message
from ..forwarding import RetryBudgetSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeSettings:
    """What an entry is told at its start.

    ``hubs`` are peer addresses of some hubs; ``places`` names the region of each data centre.
    The budget of repeats is for all entries together. Callers use the addresses that they are
    told for ``address_seconds``; a stop takes ``grace_seconds`` at most. Of the targets of a
    service that work, at least ``floor_share`` get requests.
    """

    vm: str
    address: str
    data_centre: str
    topology: dict[str, str]
    hubs: tuple[str, ...]
    budget: RetryBudgetSettings
    address_lifetime_seconds: float
    grace_seconds: float = 6.0
    floor_share: float = 0.0


@dataclass(frozen=True, slots=True)
class HubReceived(Message):
    """A message of the hub at an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class HubLost(Message):
    """The connection to a hub broke or could not be made."""

    address: str


@dataclass(frozen=True, slots=True)
class FollowHub(Effect):
    """Connect to a hub and close the connection to the one before."""

    address: str


@dataclass(frozen=True, slots=True)
class RetryDecided(Effect):
    """The ask of that number has its answer."""

    number: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class SendToHub(Effect):
    """Send a message to the hub that is followed."""

    message: Message
