"""Route matching, target selection and entry addresses for callers."""

from ._addresses import EntryAddressSelector
from ._balancer import Balancer, TargetChoice
from ._routes import RouteTable

__all__ = ["EntryAddressSelector", "Balancer", "TargetChoice", "RouteTable"]
