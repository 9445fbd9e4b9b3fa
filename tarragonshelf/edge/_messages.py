"""Settings, messages and effects of an entry."""

from dataclasses import dataclass
from enum import StrEnum

from ..base import Effect, Message
from ..forwarding import HedgingSettings, PermitDecided, RetryBudgetSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeSettings:
    """Settings of an entry.

    Attributes
    ----------
    vm : str
        The VM of the entry.
    address : str
        Address of the entry for callers.
    data_centre : str
        Data centre of the entry.
    regions : dict of str to str
        Region of each data centre.
    hubs : tuple of str
        Peer addresses of some hubs.
    budget : RetryBudgetSettings
        Retry budget of all entries together.
    address_lifetime_seconds : float
        Time for which callers may use the entry addresses that they receive.
    grace_seconds : float
        Maximum duration of a graceful shutdown.
    floor_share : float
        Minimum share of a service's working targets that receive requests, from 0 to 1.
    relay_address : str
        Peer address at which this entry relays requests of other entries; empty if it does not.
    hedging : HedgingSettings or None
        Limit of early hedged requests; without one there are none.
    """

    vm: str
    address: str
    data_centre: str
    regions: dict[str, str]
    hubs: tuple[str, ...]
    budget: RetryBudgetSettings
    address_lifetime_seconds: float
    grace_seconds: float = 6.0
    floor_share: float = 0.0
    relay_address: str = ""
    hedging: HedgingSettings | None = None


@dataclass(frozen=True, slots=True)
class HubReceived(Message):
    """A message received from the hub at an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class HubLost(Message):
    """The connection to a hub broke or could not be established."""

    address: str


@dataclass(frozen=True, slots=True)
class HubProbed(Message):
    """A probe of a hub ended: whether the hub is current, or None if it did not answer."""

    address: str
    is_current: bool | None


@dataclass(frozen=True, slots=True)
class ProbeHub(Effect):
    """Ask a hub for a heartbeat on a connection of its own; ``HubProbed`` reports the result."""

    address: str


@dataclass(frozen=True, slots=True)
class FollowHub(Effect):
    """Connect to a hub and close the connection to the previous one."""

    address: str


@dataclass(frozen=True, slots=True)
class RetryDecided(Effect):
    """Report whether the retry request with a number is granted."""

    number: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class PermitAnswered(Effect):
    """Report the decision on the permit request with a number."""

    number: int
    decided: PermitDecided


class AllowanceDecider(StrEnum):
    """Who decided whether a request is within the allowance of its account."""

    LEADER = "leader"
    LOCAL = "local"


@dataclass(frozen=True, slots=True)
class AllowanceDecided:
    """Whether a request is within the allowance of its account; times in seconds.

    If not, its caller should return after ``retry_after``. ``age`` is the time since the last
    request that the leader answered was sent.
    """

    is_granted: bool
    retry_after: float
    decider: AllowanceDecider
    age: float


@dataclass(frozen=True, slots=True)
class AllowanceAnswered(Effect):
    """Report the decision on the request for an allowance with a number."""

    number: int
    decided: AllowanceDecided


@dataclass(frozen=True, slots=True)
class SendToHub(Effect):
    """Send a message to the followed hub."""

    message: Message
