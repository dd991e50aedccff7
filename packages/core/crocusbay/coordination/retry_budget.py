"""Token bucket that limits extra requests to a fraction of the needed ones."""


class RetryBudget:
    """Add a fraction of a token per needed request; remove one per extra request."""

    __slots__ = ("ratio", "burst", "tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def deposit(self, requests: int = 1) -> None:
        """Add tokens for needed requests, up to the burst."""
        self.tokens = min(self.burst, self.tokens + self.ratio * requests)

    def try_spend(self) -> bool:
        """Remove one token; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
