"""Limit on the bytes of all responses that a host is receiving."""

from collections.abc import Callable

MAX_RECEIVING_BYTES = 64 * 1024 * 1024


class ReceiveBudget:
    """Cut off the largest response whenever all together exceed the limit."""

    def __init__(self, max_bytes: int = MAX_RECEIVING_BYTES) -> None:
        self.used_bytes = 0
        self._max_bytes = max_bytes
        self._bytes_by_receiver: dict[Callable[[], None], int] = {}

    def set_size(self, cut_off: Callable[[], None], size: int) -> None:
        """Set the size of the response that `cut_off` ends, in bytes; 0 if it ended."""
        self.used_bytes += size - self._bytes_by_receiver.pop(cut_off, 0)
        if size:
            self._bytes_by_receiver[cut_off] = size
        if self.used_bytes > self._max_bytes:
            largest = max(self._bytes_by_receiver, key=self._bytes_by_receiver.get)
            largest()
