"""Request rate limits that targets declare, shared by all entries."""

from ._limits import DeclaredLimits, LimitChange
from ._messages import LimitStatement

__all__ = ["DeclaredLimits", "LimitChange", "LimitStatement"]
