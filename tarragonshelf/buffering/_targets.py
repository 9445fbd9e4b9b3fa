"""Number of targets that a process may keep records of."""

# Records of targets at most, departed ones included, and the share of the memory that these may
# take. The size to design for is 3,900 targets.
MAXIMUM_TARGETS = 1 << 14
TARGETS_SHARE = 0.25
# Memory of a record with long names, in the registry and in messages on their way.
TARGET_BYTES = 4 << 10


def compute_maximum_targets(free_bytes: int | None) -> int:
    """Return how many targets a process may keep records of, given its memory without any."""
    if free_bytes is None:
        return MAXIMUM_TARGETS
    return min(MAXIMUM_TARGETS, int(free_bytes * TARGETS_SHARE) // TARGET_BYTES)
