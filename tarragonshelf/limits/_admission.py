"""Which requests are let in while many are under way."""

from enum import IntEnum


class Priority(IntEnum):
    """What is shed last has the highest value."""

    LOOKUP = 0
    ORDER = 1


class AdmissionController:
    """Bounds the requests that are under way, keeping room for orders.

    Parameters
    ----------
    capacity : int
        Requests under way at most.
    reserved : float
        Share of the capacity that only orders may use.
    """

    def __init__(self, *, capacity: int, reserved: float = 0.2):
        self.capacity = capacity
        self.reserved = reserved
        self.under_way = 0

    def admit(self, priority: Priority) -> bool:
        """Let a request in, or return False if it is to be shed."""
        limit = self.capacity
        if priority == Priority.LOOKUP:
            limit = int(self.capacity * (1 - self.reserved))
        if self.under_way >= limit:
            return False
        self.under_way += 1
        return True

    def release(self) -> None:
        """Count a request that ended."""
        self.under_way -= 1
