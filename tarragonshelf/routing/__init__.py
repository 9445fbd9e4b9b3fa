"""Which route, which target, and which entry addresses for callers."""

from ._addresses import AddressBook
from ._balancer import Balancer, Choice
from ._routes import RouteTable

__all__ = ["AddressBook", "Balancer", "Choice", "RouteTable"]
