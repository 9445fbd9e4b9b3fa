"""A budget that keeps retries to a share of requests."""

BUDGET_RESERVE = 10.0


class RetryBudget:
    """Earns a share of a retry with each request and spends one with each retry.

    Parameters
    ----------
    ratio : float
        Retries that a request earns, such as 0.1.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._balance = BUDGET_RESERVE

    def earn(self) -> None:
        """Count a request."""
        self._balance = min(BUDGET_RESERVE, self._balance + self.ratio)

    def spend(self, cost: float = 1.0) -> bool:
        """Take a retry of some cost from the budget, or return False if it is used up."""
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
