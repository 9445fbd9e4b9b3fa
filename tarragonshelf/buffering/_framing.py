"""Limits on what surrounds the bytes of a body: sizes, extensions and ends of chunks, trailers."""

# Framing bytes that a message may have beyond the share below, unless its connection has a place
# for more. A body in one-byte chunks may have 28 KiB. The head may be part of the count.
FRAMING_ALLOWANCE_BYTES = 128 << 10
# Chunks of 10 bytes or more have less framing than this share of their content.
FRAMING_SHARE = 0.5
# Framing of one-byte chunks, as a share of their content: no response needs more.
MAXIMUM_FRAMING_SHARE = 5.0
# A target whose response had a place beyond the allowance and did not end gets none for this time.
PLACE_PENALTY_SECONDS = 60.0
# Bytes that are read from one connection in one turn of the event loop: of a head or of a message
# that is mostly framing, and of one that is mostly content. h11 takes about 20 ms for 4 KiB of
# one-byte chunks.
SMALL_READ_BYTES = 4 << 10
LARGE_READ_BYTES = 64 << 10
# Connections of a process that may go beyond the allowance at a time, so that a single caller with
# small chunks is served in calm and a crowd of them does not take all processor time.
MAXIMUM_FRAMED_CONNECTIONS = 2
# Memory for the chunks of one connection that are parsed and not read yet. aiohttp stops at 4096
# chunks with the settings of the caller server; each takes about 100 bytes, and a read may follow.
FRAMED_CONNECTION_BYTES = 1 << 20


def exceeds_framing_allowance(received: int, body: int, share: float = FRAMING_SHARE) -> bool:
    """Return whether ``received`` bytes are too many for ``body`` bytes of content.

    The parsers need as much time for a chunk of one byte as for a large one.
    """
    return received - body > share * body + FRAMING_ALLOWANCE_BYTES


def choose_read_size(received: int, body: int) -> int:
    """Return the next read's size after a read of ``received`` bytes with ``body`` of content."""
    return LARGE_READ_BYTES if 2 * body >= received else SMALL_READ_BYTES


class FramingPlaces:
    """Lets one response of each target at a time go beyond the framing allowance.

    So a whole response in small chunks is served in calm, and a faulty target that sends many
    without end is noticed at the second one.
    """

    def __init__(self):
        self._holders: dict[str, object] = {}
        self._blocked_until: dict[str, float] = {}

    def take(self, now: float, target: str, response: object) -> bool:
        """Return whether a response may go beyond the allowance."""
        if self._blocked_until.get(target, now) > now:
            return False
        return self._holders.setdefault(target, response) is response

    def release(self, now: float, target: str, response: object, *, is_complete: bool) -> None:
        """Give the place back, if the response has one."""
        if self._holders.get(target) is not response:
            return
        del self._holders[target]
        if not is_complete:
            expired = [name for name, until in self._blocked_until.items() if until <= now]
            for name in expired:
                del self._blocked_until[name]
            self._blocked_until[target] = now + PLACE_PENALTY_SECONDS
