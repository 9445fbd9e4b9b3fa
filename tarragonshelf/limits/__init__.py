"""Account rates, retry budget and admission under load."""

from ._admission import AdmissionController, Priority
from ._rates import AccountRateLimiter
from ._retries import RetryBudget

__all__ = ["AccountRateLimiter", "AdmissionController", "Priority", "RetryBudget"]
