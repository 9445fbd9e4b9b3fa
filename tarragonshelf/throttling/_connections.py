"""Share of one entry in the connections that a target accepts from all entries together."""

# Idle connections that an entry keeps to one target at most; more would hardly be reused.
MAXIMUM_IDLE_CONNECTIONS = 4
# Share of a target's connections that may be idle; the rest is for requests in progress.
IDLE_SHARE = 0.5


def compute_idle_limit(maximum_connections: int | None, *, entries: int) -> int:
    """Return how many idle connections one entry may keep to a target.

    Parameters
    ----------
    maximum_connections : int or None
        Connections that the target accepts from all entries together; None if it is unknown.
    entries : int
        Number of entries of the site.
    """
    if maximum_connections is None:
        return MAXIMUM_IDLE_CONNECTIONS
    share = int(IDLE_SHARE * maximum_connections / max(1, entries))
    return min(MAXIMUM_IDLE_CONNECTIONS, share)
