"""Online estimation of a latency quantile in constant memory."""


class QuantileEstimate:
    """Estimate one quantile by stochastic approximation (seconds).

    >>> estimate = QuantileEstimate(0.9, initial=0.05)
    >>> for index in range(2_000):
    ...     estimate.add((index * 37 % 100) / 1000)
    >>> 0.08 < estimate.value < 0.1
    True
    """

    # Step size, as a share of the current estimate.
    STEP_RATIO = 0.05

    __slots__ = ("quantile", "value", "low", "high")

    def __init__(
        self, quantile: float, initial: float, low: float = 0.001, high: float = 60.0
    ) -> None:
        self.quantile = quantile
        self.value = initial
        self.low = low
        self.high = high

    def add(self, sample: float) -> None:
        """Update the estimate with one sample (seconds)."""
        step = self.STEP_RATIO * self.value
        if sample > self.value:
            updated = self.value + step * self.quantile
        else:
            updated = self.value - step * (1.0 - self.quantile)
        self.value = min(self.high, max(self.low, updated))
