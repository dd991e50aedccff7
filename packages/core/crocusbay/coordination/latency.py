"""Latency estimate: smoothed mean and deviation, as for TCP's timer (RFC 6298)."""

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS_IN_BOUND = 4


class LatencyEstimate:
    """Estimate the latency of one server (seconds)."""

    __slots__ = ("mean", "deviation", "samples")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self.samples = 0

    def add(self, seconds: float) -> None:
        """Take one sample."""
        self.samples += 1
        if self.samples == 1:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        error = seconds - self.mean
        self.mean += MEAN_GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)

    @property
    def bound(self) -> float:
        """Return the time that a healthy answer seldom exceeds."""
        return self.mean + DEVIATIONS_IN_BOUND * self.deviation
