"""Memory and processor time that the unfinished responses of a process share."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from time import perf_counter

from ..buffering import (
    LARGE_READ_BYTES,
    MAXIMUM_BUFFERED_BYTES,
    SMALL_READ_BYTES,
    BufferBudget,
    FairQueue,
    FramingPlaces,
    Reservation,
    ResponseBudget,
    ResponseHolding,
)

# Time for parsing in one turn of the event loop. A request passes about ten turns on its way
# through an entry, which may add 6.6 ms to 99 of 100 requests.
SLICE_SECONDS = 0.0005
# Bytes that all connections with large responses may read in one turn; each is copied five times.
TURN_READ_BYTES = 512 << 10


class ResponseReader(ABC):
    """A connection that reads responses, whose received bytes may wait to be parsed.

    Attributes
    ----------
    source : str
        The target, whose connections take turns with those of other targets.
    """

    source: str

    @abstractmethod
    def parse_slice(self, is_over: Callable[[], bool]) -> bool:
        """Parse until the slice is over; return whether received bytes are left."""


class ResponseResources:
    """Limits what unfinished responses take from a process.

    Parameters
    ----------
    budget : BufferBudget, optional
        Bounds their memory together with all other bytes that are held for callers.
    close_evicted : callable, optional
        Closes the connections that lose their place for a response.
    maximum_bytes : int
        Limit for all of them together.
    read_clock : callable
        Returns the time in seconds by which slices are measured.

    Notes
    -----
    A response of few parts is parsed as it arrives. What takes longer waits in a queue, from which
    one slice is parsed in each turn of the event loop, whatever the number of responses. All other
    work of the process comes in between.
    """

    def __init__(
        self,
        budget: BufferBudget | None = None,
        close_evicted: Callable[[Reservation], None] = lambda reservation: None,
        *,
        maximum_bytes: int = MAXIMUM_BUFFERED_BYTES,
        read_clock: Callable[[], float] = perf_counter,
    ):
        self.budget = ResponseBudget(budget, maximum_bytes)
        self.close_evicted = close_evicted
        self.read_clock = read_clock
        self.places = FramingPlaces()
        # Shared by all connections, as each read is copied before the next one begins.
        self.read_buffer = memoryview(bytearray(LARGE_READ_BYTES))
        # Connections whose responses are large.
        self._large: set[ResponseReader] = set()
        self._queue: FairQueue[ResponseReader] = FairQueue()
        self._is_scheduled = False
        self._owners: dict[ResponseHolding, Callable[[str], None]] = {}

    @property
    def reserved_bytes(self) -> int:
        """Bytes that all unfinished responses hold."""
        return self.budget.held_bytes

    # Memory

    def open(self, source: str, give_up: Callable[[str], None]) -> ResponseHolding:
        """Return the holding of a response; ``give_up`` ends it if memory becomes short.

        It is called with the reason.
        """
        holding = self.budget.open(source)
        self._owners[holding] = give_up
        return holding

    def reserve(self, holding: ResponseHolding, size: int) -> bool:
        """Reserve bytes for a response; return False, and reserve none, if memory is short."""
        reservation = self.budget.reserve(_read_time(), holding, size)
        self.close_evicted(Reservation(reservation.is_granted, reservation.evicted))
        for victim in reservation.given_up:
            self._owners[victim]("no memory for the rest of a response")
        return reservation.is_granted

    def shrink(self, holding: ResponseHolding, size: int) -> None:
        """Release the bytes of a response beyond ``size``."""
        self.budget.shrink(holding, size)

    def close(self, holding: ResponseHolding) -> None:
        """Release all bytes of a response."""
        self.budget.close(holding)
        self._owners.pop(holding, None)

    def reserve_request(self, size: int) -> bool:
        """Reserve bytes for a request of another entry, which keeps them until it ends."""
        reservation = self.budget.take(_read_time(), size)
        self.close_evicted(reservation)
        return reservation.is_granted

    def release_request(self, size: int) -> None:
        """Release the bytes of a request."""
        self.budget.release(size)

    # Processor time

    def get_read_buffer(self, item: ResponseReader) -> memoryview:
        """Return the buffer for the next read of a connection."""
        size = SMALL_READ_BYTES
        if item in self._large:
            size = min(LARGE_READ_BYTES, max(size, TURN_READ_BYTES // len(self._large)))
        return self.read_buffer[:size]

    def set_large(self, item: ResponseReader, is_large: bool) -> None:
        """Record whether the response on a connection is large."""
        if is_large:
            self._large.add(item)
        else:
            self._large.discard(item)

    def schedule(self, item: ResponseReader) -> None:
        """Parse the bytes that a connection has received in one of the next turns."""
        self._queue.push(item.source, item)
        self._schedule_slice()

    def unschedule(self, item: ResponseReader) -> None:
        """Parse no more of the bytes that a scheduled connection has received."""
        self._queue.remove(item.source, item)

    def _schedule_slice(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_slice)

    def _run_slice(self) -> None:
        self._is_scheduled = False
        ends_at = self.read_clock() + SLICE_SECONDS

        def is_over() -> bool:
            return self.read_clock() >= ends_at

        try:
            while self._queue and not is_over():
                item = self._queue.pop()
                if item.parse_slice(is_over):
                    self._queue.push(item.source, item)
        finally:
            if self._queue:
                self._schedule_slice()


def _read_time() -> float:
    return asyncio.get_running_loop().time()
