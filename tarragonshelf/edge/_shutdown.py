"""Schedule of an entry's graceful shutdown."""

from dataclasses import dataclass

# A caller that received the address just before the stop uses it for up to three times the
# lifetime of the address. The port closes 0.6 s earlier: the last callers find it closed and use
# another entry.
ADDRESS_USE_FACTOR = 3.0
EARLY_CLOSE_SECONDS = 0.6
# New requests are accepted for at most this share of the grace period, so that each of them has
# the same time again to finish.
ACCEPT_SHARE = 0.5
# Requests may run until this share of the grace period has passed. The exit of the process takes
# some tenths of a second on a share of a core, and the platform kills it at the end of the period.
FINISH_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Seconds for which new requests are accepted, and after that, seconds to finish them."""

    accept_seconds: float
    finish_seconds: float


def plan_stop(address_lifetime_seconds: float, grace_seconds: float) -> StopPlan:
    """Return the plan of a stop.

    Parameters
    ----------
    address_lifetime_seconds : float
        Lifetime of the addresses that callers receive.
    grace_seconds : float
        Time between the platform's request to stop and the kill of the process.
    """
    in_use_seconds = ADDRESS_USE_FACTOR * address_lifetime_seconds - EARLY_CLOSE_SECONDS
    accept_seconds = max(0.0, min(in_use_seconds, ACCEPT_SHARE * grace_seconds))
    return StopPlan(accept_seconds, FINISH_SHARE * grace_seconds - accept_seconds)
