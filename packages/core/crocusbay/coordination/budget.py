"""Budget: bounds extra requests to a share of the needed ones."""


class Budget:
    """Earn a share of a token for each needed request, spend one for each extra."""

    __slots__ = ("ratio", "burst", "tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def earn(self, requests: int = 1) -> None:
        """Credit needed requests."""
        self.tokens = min(self.burst, self.tokens + self.ratio * requests)

    def spend(self) -> bool:
        """Take one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
