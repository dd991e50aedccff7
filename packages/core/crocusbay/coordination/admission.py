"""Admission: bounds the requests that a host runs, and refuses the rest at once."""

from crocusbay.state import Load

RETRY_FLOOR_SECONDS = 0.05
RETRY_CEILING_SECONDS = 5.0
MEAN_GAIN = 0.1


class Admission:
    """Count running requests against a limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self._mean_seconds = RETRY_FLOOR_SECONDS

    @property
    def load(self) -> Load:
        """Return the load for other hosts to see."""
        return Load(self.running, self.limit)

    def enter(self) -> bool:
        """Take a place; return False when all are taken."""
        if self.running >= self.limit:
            return False
        self.running += 1
        return True

    def leave(self, seconds: float) -> None:
        """Give the place back after the time that the request took."""
        self.running -= 1
        self._mean_seconds += MEAN_GAIN * (seconds - self._mean_seconds)

    @property
    def retry_after(self) -> float:
        """Return when a refused caller may come back (seconds)."""
        wait = 2 * self._mean_seconds
        return min(RETRY_CEILING_SECONDS, max(RETRY_FLOOR_SECONDS, wait))
