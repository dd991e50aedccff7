"""Admission control: limits concurrent requests and rejects the rest at once."""

from crocusbay.state import Load

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 5.0
MEAN_GAIN = 0.1


class AdmissionControl:
    """Count running requests against a limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self._mean_seconds = MIN_RETRY_AFTER_SECONDS

    @property
    def load(self) -> Load:
        """Return the load that this host reports to other hosts."""
        return Load(self.running, self.limit)

    def try_acquire(self) -> bool:
        """Admit a request; return False if the limit is reached."""
        if self.running >= self.limit:
            return False
        self.running += 1
        return True

    def release(self, seconds: float) -> None:
        """Release the request's slot and record its duration."""
        self.running -= 1
        self._mean_seconds += MEAN_GAIN * (seconds - self._mean_seconds)

    @property
    def retry_after(self) -> float:
        """Return the delay before a rejected caller should retry (seconds)."""
        delay = 2 * self._mean_seconds
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, delay))
