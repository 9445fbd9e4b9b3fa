"""One budget for the bytes that a process holds for callers, in both directions."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ._framing import FRAMED_CONNECTION_BYTES, MAXIMUM_FRAMED_CONNECTIONS

# Share of the memory in the settings that is left to what the budget does not count: fragments,
# pieces on their way between two buffers, and tables that grow after the start.
HEADROOM_SHARE = 0.1
# Memory of a caller's connection without a request: its objects and the parser's buffer.
CONNECTION_BYTES = 32 << 10
# Share of the budget that connections without requests may take.
CONNECTIONS_SHARE = 0.25
# A holding of at most this size may also use the reserve for small requests.
SMALL_BYTES = 64 << 10
# Share of the budget that only small holdings may use, so that large bodies do not keep them out.
SMALL_SHARE = 0.125
# While the budget is short, a holding without this progress within this time loses its place.
# 32 KiB/s is a tenth of the slowest link of an entry.
STALL_SECONDS = 2.0
STALL_PROGRESS_BYTES = 64 << 10
# Descriptors for listeners, hubs, other entries and files. Of the others, each caller may use two:
# its own connection and one to a target.
DESCRIPTOR_RESERVE = 32
DESCRIPTORS_PER_CALLER = 2


class HoldingState(StrEnum):
    """What the bytes of a holding are for."""

    IDLE = "idle"
    RECEIVING = "receiving"
    # The request may run, or has run; its bytes are needed until it ends.
    RUNNING = "running"
    WRITING = "writing"


@dataclass(frozen=True, slots=True)
class BufferLimits:
    """Bytes that may be held for callers, and the number of their connections."""

    maximum_bytes: int
    maximum_connections: int


@dataclass(slots=True, eq=False)
class Holding:
    """Bytes that are held for one connection.

    Attributes
    ----------
    size : int
        Bytes that are reserved, including those that have not arrived.
    state : HoldingState
        What they are for.
    changed_at : float
        When the state changed, or when the last progress was made.
    progress : int
        Bytes since then.
    """

    size: int
    state: HoldingState
    changed_at: float
    progress: int = 0


@dataclass(frozen=True, slots=True)
class Reservation:
    """Whether bytes were reserved, and the holdings that have lost their place for them."""

    is_granted: bool
    evicted: tuple[Holding, ...] = ()


def compute_limits(
    memory_bytes: int | None, base_bytes: int, maximum_descriptors: int | None
) -> BufferLimits:
    """Return the limits of a process; without settings there are none.

    Parameters
    ----------
    memory_bytes : int or None
        Memory that the process may use.
    base_bytes : int
        Memory that it uses without callers.
    maximum_descriptors : int or None
        Descriptors that it may have open.
    """
    unlimited = 1 << 62
    size = unlimited
    if memory_bytes is not None:
        size = max(0, int(memory_bytes * (1 - HEADROOM_SHARE)) - base_bytes)
    connections = max(1, int(size * CONNECTIONS_SHARE) // CONNECTION_BYTES)
    if maximum_descriptors is not None:
        free = (maximum_descriptors - DESCRIPTOR_RESERVE) // DESCRIPTORS_PER_CALLER
        connections = max(1, min(connections, free))
    return BufferLimits(size, connections)


class BufferBudget:
    """Grants and refuses memory to callers' connections and to responses of targets.

    Nobody waits for memory, so that holders cannot wait for each other: what does not fit is
    refused, after holdings that have stalled were given up.
    """

    def __init__(self, limits: BufferLimits):
        self.limits = limits
        self.held_bytes = 0
        self._connections: set[Holding] = set()
        # Connections that may go beyond the framing allowance.
        self._framed: set[Holding] = set()

    @property
    def connection_count(self) -> int:
        """Number of callers' connections."""
        return len(self._connections)

    def open(self, now: float) -> tuple[Holding | None, Reservation]:
        """Return the holding of a new connection, or None if there is no place for it.

        If the number of connections is at its limit, the connection that has been idle for the
        longest time loses its place, else a stalled one.
        """
        evicted: tuple[Holding, ...] = ()
        if len(self._connections) >= self.limits.maximum_connections:
            victim = self._find(lambda item: item.state == HoldingState.IDLE)
            victim = victim or self._find(lambda item: is_stalled(now, item))
            if victim is None:
                return None, Reservation(False)
            self.close(victim)
            evicted = (victim,)
        reservation = self._make_room(now, CONNECTION_BYTES, is_small=True)
        evicted += reservation.evicted
        if not reservation.is_granted:
            return None, Reservation(False, evicted)
        holding = Holding(CONNECTION_BYTES, HoldingState.IDLE, now)
        self.held_bytes += holding.size
        self._connections.add(holding)
        return holding, Reservation(True, evicted)

    def close(self, holding: Holding) -> None:
        """Release all bytes of a connection."""
        if holding in self._connections:
            self._connections.discard(holding)
            self._framed.discard(holding)
            self.held_bytes -= holding.size
            holding.size = 0

    def reserve(self, now: float, holding: Holding, size: int) -> Reservation:
        """Reserve bytes for a connection."""
        if holding not in self._connections:
            return Reservation(False)
        is_small = holding.size + size <= CONNECTION_BYTES + SMALL_BYTES
        reservation = self._make_room(now, size, is_small=is_small, spared=holding)
        if reservation.is_granted:
            holding.size += size
            self.held_bytes += size
        return reservation

    def take_framing_place(self, now: float, holding: Holding) -> Reservation:
        """Let a connection go beyond the framing allowance, and reserve memory for its chunks.

        If all places are taken, a stalled connection loses its place and is given up.
        """
        if holding in self._framed:
            return Reservation(True)
        evicted: tuple[Holding, ...] = ()
        if len(self._framed) >= MAXIMUM_FRAMED_CONNECTIONS:
            victim = self._find(lambda item: item in self._framed and is_stalled(now, item))
            if victim is None:
                return Reservation(False)
            self.close(victim)
            evicted = (victim,)
        reservation = self.reserve(now, holding, FRAMED_CONNECTION_BYTES)
        if reservation.is_granted:
            self._framed.add(holding)
        return Reservation(reservation.is_granted, evicted + reservation.evicted)

    def has_framing_place(self, holding: Holding) -> bool:
        """Return whether a connection may go beyond the framing allowance."""
        return holding in self._framed

    def release_framing_place(self, holding: Holding) -> None:
        """Give the place back; the bytes are released with the others of the request."""
        self._framed.discard(holding)

    def reserve_response(self, now: float, size: int) -> Reservation:
        """Reserve bytes for a response that a target sends; ``release_response`` returns them."""
        reservation = self._make_room(now, size, is_small=size <= SMALL_BYTES)
        if reservation.is_granted:
            self.held_bytes += size
        return reservation

    def hold(self, size: int) -> None:
        """Count bytes that are in use whatever the limit; ``release_response`` returns them."""
        self.held_bytes += size

    def release_response(self, size: int) -> None:
        """Release bytes of a response."""
        self.held_bytes -= size

    def set_size(self, holding: Holding, size: int) -> None:
        """Set the bytes of a connection, for memory that is in use already."""
        if holding in self._connections:
            self.held_bytes += size - holding.size
            holding.size = size

    def _make_room(
        self, now: float, size: int, *, is_small: bool, spared: Holding | None = None
    ) -> Reservation:
        limit = self.limits.maximum_bytes
        if not is_small:
            limit = int(limit * (1 - SMALL_SHARE))
        missing = self.held_bytes + size - limit
        if missing <= 0:
            return Reservation(True)
        stalled = [
            item for item in self._connections if item is not spared and is_stalled(now, item)
        ]
        if sum(item.size for item in stalled) < missing:
            return Reservation(False)
        evicted = []
        for item in sorted(stalled, key=lambda item: -item.size):
            if missing <= 0:
                break
            missing -= item.size
            evicted.append(item)
            self.close(item)
        return Reservation(True, tuple(evicted))

    def _find(self, is_eligible: Callable[[Holding], bool]) -> Holding | None:
        eligible = (item for item in self._connections if is_eligible(item))
        return min(eligible, key=lambda item: item.changed_at, default=None)


def set_state(now: float, holding: Holding, state: HoldingState) -> None:
    """Begin a state; its time to make progress begins, too."""
    holding.state, holding.changed_at, holding.progress = state, now, 0


def record_progress(now: float, holding: Holding, size: int) -> None:
    """Record bytes that were received or written."""
    holding.progress += size
    if holding.progress >= STALL_PROGRESS_BYTES:
        holding.changed_at, holding.progress = now, 0


def is_stalled(now: float, holding: Holding) -> bool:
    """Return whether a holding waits for its caller, which makes too little progress.

    A running request keeps its place: refusing it would not be true.
    """
    is_waiting = holding.state in (HoldingState.RECEIVING, HoldingState.WRITING)
    return is_waiting and now - holding.changed_at >= STALL_SECONDS
