"""What an entry has learnt about the requests of one service."""

# How fast the averages follow; one new value in so many counts.
SMOOTHING = 0.05
# Before anything was measured.
FIRST_WORK_SECONDS = 0.25
FIRST_SIZE_BYTES = 3000.0
# An attempt counts as hung after so many times the usual one. Rare long requests take five
# times as long as others, and many targets run them side by side.
HANG_FACTOR = 5.0
MINIMUM_HANG_SECONDS = 0.8


class ServiceProfile:
    """Averages of successful requests."""

    def __init__(self):
        self.work_seconds = FIRST_WORK_SECONDS
        self.size_bytes = FIRST_SIZE_BYTES

    @property
    def hang_seconds(self) -> float:
        """After how many seconds an unanswered attempt counts as hung."""
        return max(MINIMUM_HANG_SECONDS, HANG_FACTOR * self.work_seconds)

    def record(self, seconds: float, size: int) -> None:
        """Take one success in."""
        # Waiting at a busy target is no work: what is far above the average counts less.
        capped = min(seconds, 3 * self.work_seconds)
        self.work_seconds += SMOOTHING * (capped - self.work_seconds)
        self.size_bytes += SMOOTHING * (size - self.size_bytes)
