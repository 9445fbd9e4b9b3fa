"""Account rates, retry budget and admission under load."""

from ._admission import Admission, Priority
from ._rates import AccountRates
from ._retries import RetryBudget

__all__ = ["AccountRates", "Admission", "Priority", "RetryBudget"]
