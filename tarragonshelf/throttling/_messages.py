"""What targets say about the request rate that they accept."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What one response says about the limit of its target.

    ``rate`` is the number of requests per second that the target accepts from all entries
    together, or None if it accepts any number.
    """

    rate: float | None
