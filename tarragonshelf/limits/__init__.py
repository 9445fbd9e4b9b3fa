"""Account rate limits, retry budget and load shedding."""

from ._admission import AdmissionController, Priority
from ._rates import AccountRateLimiter
from ._retries import RetryBudget

__all__ = ["AccountRateLimiter", "AdmissionController", "Priority", "RetryBudget"]
