"""Memory for the unfinished responses of targets."""

from dataclasses import dataclass

from ._budget import BufferBudget, Holding, Reservation

# Limit for all unfinished responses of a process, so that faulty targets that send without end
# cannot exhaust the memory.
MAXIMUM_BUFFERED_BYTES = 64 << 20


@dataclass(slots=True, eq=False)
class ResponseHolding:
    """Bytes that are held for one unfinished response.

    Attributes
    ----------
    source : str
        Target that sends it.
    size : int
        Bytes that are reserved.
    """

    source: str
    size: int = 0


@dataclass(frozen=True, slots=True)
class ResponseReservation:
    """Whether bytes were reserved, and who has lost their place for them.

    Attributes
    ----------
    is_granted : bool
        Whether the bytes were reserved.
    evicted : tuple of Holding
        Connections of callers that must be closed.
    """

    is_granted: bool
    evicted: tuple[Holding, ...] = ()


class ResponseBudget:
    """Grants memory to unfinished responses.

    Parameters
    ----------
    budget : BufferBudget, optional
        Bounds them together with all other bytes that are held for callers.
    maximum_bytes : int
        Limit for all responses together.
    """

    def __init__(
        self, budget: BufferBudget | None = None, maximum_bytes: int = MAXIMUM_BUFFERED_BYTES
    ):
        self.budget = budget
        self.maximum_bytes = maximum_bytes
        self.held_bytes = 0
        self._holdings: set[ResponseHolding] = set()

    def open(self, source: str) -> ResponseHolding:
        """Return the holding of a response, which has no bytes yet."""
        holding = ResponseHolding(source)
        self._holdings.add(holding)
        return holding

    def close(self, holding: ResponseHolding) -> None:
        """Release all bytes of a response."""
        self.shrink(holding, 0)
        self._holdings.discard(holding)

    def reserve(self, now: float, holding: ResponseHolding, size: int) -> ResponseReservation:
        """Reserve bytes for a response."""
        reservation = self.take(now, size)
        if reservation.is_granted:
            holding.size += size
        return ResponseReservation(reservation.is_granted, reservation.evicted)

    def shrink(self, holding: ResponseHolding, size: int) -> None:
        """Release the bytes of a response beyond ``size``."""
        released = max(0, holding.size - size)
        holding.size -= released
        self.release(released)

    def release(self, size: int) -> None:
        """Release bytes that were taken."""
        self.held_bytes -= size
        if self.budget is not None:
            self.budget.release_response(size)

    def take(self, now: float, size: int) -> Reservation:
        """Reserve bytes that are no part of a response, and that nobody else can claim."""
        if self.held_bytes + size > self.maximum_bytes:
            return Reservation(False)
        reservation = Reservation(True)
        if self.budget is not None:
            reservation = self.budget.reserve_response(now, size)
        if reservation.is_granted:
            self.held_bytes += size
        return reservation
