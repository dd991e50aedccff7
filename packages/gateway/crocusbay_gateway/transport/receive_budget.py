"""Limit on the bytes of all messages that a host is receiving."""

from collections.abc import Callable

DEFAULT_MEMORY_BYTES = 300_000_000
# Part of the memory of a process for messages that are not complete. What they take is
# more than their size, and complete ones take memory as well.
RECEIVING_SHARE_OF_MEMORY = 0.1
# Smaller messages are not worth the accounting.
MIN_BUDGETED_BYTES = 8 * 1024


class ReceiveBudget:
    """Cut off the largest incomplete message when all together exceed the limit.

    `memory_bytes` is the memory that the process may use.
    """

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.used_bytes = 0
        self._max_bytes = int(RECEIVING_SHARE_OF_MEMORY * memory_bytes)
        self._bytes_by_receiver: dict[Callable[[], None], int] = {}

    def set_size(self, cut_off: Callable[[], None], size: int) -> None:
        """Set the size of the message that `cut_off` ends, in bytes; 0 if it ended."""
        if size < MIN_BUDGETED_BYTES:
            size = 0
            if cut_off not in self._bytes_by_receiver:
                return
        self.used_bytes += size - self._bytes_by_receiver.pop(cut_off, 0)
        if size:
            self._bytes_by_receiver[cut_off] = size
        if self.used_bytes > self._max_bytes:
            largest = max(self._bytes_by_receiver, key=self._bytes_by_receiver.get)
            largest()
