"""Latency estimate: smoothed mean and deviation, as in TCP's RTO (RFC 6298)."""

import math

DECAY_SECONDS = 10.0
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS_IN_BOUND = 4


class LatencyEstimate:
    """Estimate the latency of one server (seconds)."""

    __slots__ = ("mean", "deviation", "sample_count", "sampled_at")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self.sample_count = 0
        self.sampled_at = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Add one sample."""
        self.sample_count += 1
        self.sampled_at = now
        if self.sample_count == 1:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        error = seconds - self.mean
        self.mean += MEAN_GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)

    def add_lower_bound(self, seconds: float, now: float) -> None:
        """Add a lower bound: the time waited for a response before abandoning it."""
        if seconds > self.mean:
            self.add(seconds, now)

    def expected(self, now: float) -> float:
        """Return the mean, decaying with age so that a slow server is tried again."""
        return self.mean * math.exp((self.sampled_at - now) / DECAY_SECONDS)

    @property
    def upper_bound(self) -> float:
        """Return a latency that healthy responses rarely exceed (seconds)."""
        return self.mean + DEVIATIONS_IN_BOUND * self.deviation
