"""Token buckets."""


class TokenBuckets:
    """Token buckets that are identified by name and created on first use.

    The rate and the capacity are arguments of each refill, as they may change in between. All
    times are in seconds of a monotonic clock.
    """

    def __init__(self):
        self._tokens: dict[str, float] = {}
        self._refilled_at: dict[str, float] = {}

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
        """Add the tokens earned since the last refill and return the number of tokens.

        Parameters
        ----------
        now : float
            The current time.
        name : str
            The bucket.
        rate : float
            Tokens earned per second.
        capacity : float
            Maximum number of tokens in the bucket.
        initial : float, optional
            Number of tokens in a new bucket; by default it is full.
        extra : float
            Tokens to add regardless of the time elapsed.
        """
        elapsed = now - self._refilled_at.get(name, now)
        self._refilled_at[name] = now
        tokens = self._tokens.get(name, capacity if initial is None else initial)
        self._tokens[name] = min(capacity, tokens + elapsed * rate + extra)
        return self._tokens[name]

    def take(self, name: str) -> bool:
        """Take one token and return True, or return False if there is less than one.

        The bucket must have been refilled at least once.
        """
        if self._tokens[name] < 1.0:
            return False
        self._tokens[name] -= 1.0
        return True

    def list_tokens(self) -> dict[str, float]:
        """Return the number of tokens in each bucket after its last use."""
        return dict(self._tokens)

    def remove_idle(self, now: float, seconds: float) -> None:
        """Remove the buckets that were not refilled within the last ``seconds``."""
        idle = [name for name, at in self._refilled_at.items() if now - at > seconds]
        for name in idle:
            del self._refilled_at[name]
            self._tokens.pop(name, None)

    def reset(self) -> None:
        """Discard all buckets, so that each starts again with its initial tokens."""
        self._tokens.clear()
