"""Token buckets by name."""


class TokenBuckets:
    """Holds tokens that are earned over time and taken one by one.

    Rates and bounds are told at each use, as they may change between two uses. Times in seconds
    of a monotonic clock.
    """

    def __init__(self):
        self._tokens: dict[str, float] = {}
        self._filled_at: dict[str, float] = {}

    def refill(
        self,
        now: float,
        name: str,
        *,
        rate: float,
        capacity: float,
        initial: float | None = None,
        extra: float = 0.0,
    ) -> float:
        """Add what was earned since the last time and return how many tokens there are.

        Parameters
        ----------
        now : float
            The time.
        name : str
            The bucket.
        rate : float
            Tokens earned in a second.
        most : float
            Tokens that a bucket holds at most.
        first : float, optional
            What a new bucket begins with; by default it is full.
        extra : float
            Tokens earned besides.
        """
        elapsed = now - self._filled_at.get(name, now)
        self._filled_at[name] = now
        held = self._tokens.get(name, capacity if initial is None else initial)
        self._tokens[name] = min(capacity, held + elapsed * rate + extra)
        return self._tokens[name]

    def take(self, name: str) -> bool:
        """Take one token out of a bucket that was filled, or return False."""
        if self._tokens[name] < 1.0:
            return False
        self._tokens[name] -= 1.0
        return True

    def list_tokens(self) -> dict[str, float]:
        """Return how many tokens each bucket held when it was last used."""
        return dict(self._tokens)

    def reset(self) -> None:
        """Let all buckets begin anew."""
        self._tokens.clear()
