"""Retry budget that limits retries to a share of the requests."""

MAXIMUM_BALANCE = 10.0


class RetryBudget:
    """Earns a fraction of a retry with each request and spends one with each retry.

    Parameters
    ----------
    ratio : float
        Retries earned by each request, such as 0.1.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._balance = MAXIMUM_BALANCE

    def earn(self) -> None:
        """Credit the budget for one request."""
        self._balance = min(MAXIMUM_BALANCE, self._balance + self.ratio)

    def spend(self, cost: float = 1.0) -> bool:
        """Take the cost of a retry from the budget, or return False if too little is left."""
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
