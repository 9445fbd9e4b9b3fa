"""Memory for the unfinished responses of targets: who gets it, and whose response is given up."""

from collections import defaultdict
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
        Target that sends it; the bytes of one source are compared with those of others.
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
    given_up : tuple of ResponseHolding
        Responses that must be given up.
    """

    is_granted: bool
    evicted: tuple[Holding, ...] = ()
    given_up: tuple[ResponseHolding, ...] = ()


class ResponseBudget:
    """Grants memory to unfinished responses.

    Parameters
    ----------
    budget : BufferBudget, optional
        Bounds them together with all other bytes that are held for callers.
    maximum_bytes : int
        Limit for all responses together.

    Notes
    -----
    If memory is short, a response of the source that holds most is given up, so that a faulty
    target cannot displace responses of others. The largest of that source stays: it is the first
    to exceed the limit for one response, which is evidence against the target, while to be given
    up is none.
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
        evicted = reservation.evicted
        given_up: list[ResponseHolding] = []
        victims = [] if reservation.is_granted else self._list_victims(holding, size)
        for victim in victims:
            given_up.append(victim)
            self.close(victim)
            reservation = self.take(now, size)
            evicted += reservation.evicted
            if reservation.is_granted:
                break
        if reservation.is_granted:
            holding.size += size
        return ResponseReservation(reservation.is_granted, evicted, tuple(given_up))

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

    def _list_victims(self, holding: ResponseHolding, size: int) -> list[ResponseHolding]:
        """Return the responses to give up in turn until ``size`` bytes are free.

        There are none if the response that asks is itself the one to give up.
        """
        totals: dict[str, int] = defaultdict(int)
        for item in self._holdings:
            totals[item.source] += item.size
        totals[holding.source] += size
        heaviest = max(totals, key=totals.get)
        items = [item for item in self._holdings if item.source == heaviest]
        items.sort(key=lambda item: -item.size)
        if holding.source == heaviest and holding is not items[0]:
            return []
        victims = items[1:] if holding.source == heaviest else [*items[1:], items[0]]
        return victims if sum(item.size for item in victims) >= size else []
