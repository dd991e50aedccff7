"""Mailbox: collects verdicts for one waiting request without a task for each."""

from collections import deque
from typing import Any

import anyio

from crocusbay.transport.timers import TimerService


class Mailbox:
    """Hold items until the one waiting task takes them."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._items: deque[Any] = deque()
        self._wake = anyio.Event()

    def put(self, item: Any) -> None:
        """Add an item and wake the waiting task."""
        self._items.append(item)
        self._wake.set()

    async def take_until(self, when: float) -> list[Any]:
        """Return the items that arrived, or none at the moment given."""
        if not self._items:
            timer = self._timers.at(when, self._wake.set)
            try:
                await self._wake.wait()
            finally:
                timer.cancel()
        self._wake = anyio.Event()
        items = list(self._items)
        self._items.clear()
        return items
