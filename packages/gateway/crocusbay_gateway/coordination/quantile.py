"""Online estimation of a latency quantile in constant memory."""


class QuantileEstimate:
    """Estimate one quantile by stochastic approximation (seconds).

    >>> estimate = QuantileEstimate(0.9, initial=0.05)
    >>> for index in range(2_000):
    ...     estimate.add_sample((index * 37 % 100) / 1000)
    >>> 0.08 < estimate.value < 0.1
    True
    """

    # Step size, as a share of the current estimate.
    STEP_RATIO = 0.05

    __slots__ = ("quantile", "value", "min_value", "max_value")

    def __init__(
        self,
        quantile: float,
        initial: float,
        min_value: float = 0.001,
        max_value: float = 60.0,
    ) -> None:
        self.quantile = quantile
        self.value = initial
        self.min_value = min_value
        self.max_value = max_value

    def add_sample(self, sample: float) -> None:
        """Update the estimate with one sample (seconds)."""
        step = self.STEP_RATIO * self.value
        if sample > self.value:
            updated = self.value + step * self.quantile
        else:
            updated = self.value - step * (1.0 - self.quantile)
        self.value = min(self.max_value, max(self.min_value, updated))
