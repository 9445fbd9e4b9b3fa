"""Admission control and load shedding by priority."""

from enum import IntEnum


class Priority(IntEnum):
    """Priority of a request; higher values are shed later."""

    LOOKUP = 0
    ORDER = 1


class AdmissionController:
    """Limits concurrent requests and reserves capacity for orders.

    Parameters
    ----------
    capacity : int
        Maximum number of concurrent requests.
    reserved : float
        Share of the capacity that only orders may use, from 0 to 1.
    """

    def __init__(self, *, capacity: int, reserved: float = 0.2):
        self.capacity = capacity
        self.reserved = reserved
        self.under_way = 0

    def admit(self, priority: Priority) -> bool:
        """Admit a request, or return False if it has to be shed."""
        limit = self.capacity
        if priority == Priority.LOOKUP:
            limit = int(self.capacity * (1 - self.reserved))
        if self.under_way >= limit:
            return False
        self.under_way += 1
        return True

    def release(self) -> None:
        """Count the end of an admitted request."""
        self.under_way -= 1
