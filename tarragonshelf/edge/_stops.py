"""How an entry spends the time between the request to stop and its end."""

from dataclasses import dataclass

# Callers told of this entry just before a stop go on using it for up to three times as long; the
# last of them find the port closed and go elsewhere.
LINGER_FACTOR = 3.0
LINGER_SECONDS = 0.6
# Requests are taken for this share of the grace at most, so that each has as long again to finish.
TAKE_SHARE = 0.5
# What is under way may go on until here. The end of the process takes some tenths of a second on a
# share of a core; at the end of the grace the platform kills what still runs.
FINISH_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class StopPlan:
    """For how many seconds requests are still taken, and then finished."""

    accept_seconds: float
    finish_seconds: float


def plan_stop(address_lifetime_seconds: float, grace_seconds: float) -> StopPlan:
    """Return how a stop goes.

    Parameters
    ----------
    address_seconds : float
        For how long callers are told to use an address.
    grace_seconds : float
        After how long the platform kills a process that it asked to stop.
    """
    known_seconds = LINGER_FACTOR * address_lifetime_seconds - LINGER_SECONDS
    accept_seconds = max(0.0, min(known_seconds, TAKE_SHARE * grace_seconds))
    return StopPlan(accept_seconds, FINISH_SHARE * grace_seconds - accept_seconds)
