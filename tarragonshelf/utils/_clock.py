"""Hybrid logical clock, whose time stamps order the events of several processes causally."""

COUNTER_BITS = 16
COUNTER_MASK = (1 << COUNTER_BITS) - 1


class HybridClock:
    """Issues time stamps that increase along every chain of messages and follow physical time.

    A stamp is an integer: milliseconds since the epoch, shifted left by ``COUNTER_BITS``, plus a
    counter that distinguishes events within the same millisecond.

    Parameters
    ----------
    read_time : callable
        Returns the physical time in seconds since the epoch.
    """

    def __init__(self, read_time):
        self.read_time = read_time
        self._last = 0

    def stamp(self) -> int:
        """Return a stamp greater than every stamp issued or observed so far."""
        physical = int(self.read_time() * 1000) << COUNTER_BITS
        self._last = max(physical, self._last + 1)
        return self._last

    def observe(self, stamp: int) -> None:
        """Advance the clock to the stamp of a received message, if that is greater."""
        self._last = max(self._last, stamp)


def format_stamp(stamp: int) -> str:
    """Return a stamp as the text ``milliseconds.counter``, as it appears in logs."""
    return f"{stamp >> COUNTER_BITS}.{stamp & COUNTER_MASK:05d}"


def parse_stamp(text: str) -> int:
    """Return the stamp that ``format_stamp`` formatted; raise ``ValueError`` on other text."""
    milliseconds, counter = text.split(".")
    return (int(milliseconds) << COUNTER_BITS) | int(counter)
