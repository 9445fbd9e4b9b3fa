"""Memory that a process uses, and the return of what it has released."""

import resource
from collections.abc import Callable
from pathlib import Path

# The memory in use is read after so many bytes were received. If it is above a threshold, free
# pieces are returned, at most once in the interval.
TRIM_CHECK_BYTES = 1 << 20
TRIM_INTERVAL_SECONDS = 0.01


def read_resident_bytes() -> int:
    """Return the memory that this process uses, or 0 where the platform has no ``/proc``."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()


class MemoryTrimmer:
    """Returns memory that was released, but that the allocator keeps, to the operating system.

    A crowd leaves free pieces between those in use, and a large body that follows needs new
    memory. It has no effect where the C library has no ``malloc_trim``.
    """

    def __init__(self):
        # Memory above which free pieces are returned.
        self.threshold_bytes = 1 << 62
        self._received = 0
        self._trimmed_at = float("-inf")
        self._trim: Callable[[int], int] | None = None

    def record(self, now: float, size: int) -> None:
        """Record received bytes, and return free memory if much is in use."""
        self._received += size
        if self._received < TRIM_CHECK_BYTES or now - self._trimmed_at < TRIM_INTERVAL_SECONDS:
            return
        self._received = 0
        if read_resident_bytes() > self.threshold_bytes:
            self._trimmed_at = now
            if self._trim is None:
                self._trim = _load_trim()
            self._trim(0)


def _load_trim() -> Callable[[int], int]:
    # Imported only here, as few processes ever need it.
    import ctypes

    return getattr(ctypes.CDLL(None), "malloc_trim", lambda padding: 0)
