"""Mailbox: collects verdicts for one waiting request without a task for each."""

from collections import deque
from typing import Any

import anyio

from crocusbay.transport.timers import Timer, TimerService


class Mailbox:
    """Hold items until the one waiting task takes them."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._items: deque[Any] = deque()
        self._wake = anyio.Event()
        self._timer: Timer | None = None
        self._rings_at = 0.0

    def put(self, item: Any) -> None:
        """Add an item and wake the waiting task."""
        self._items.append(item)
        self._wake.set()

    async def take_until(self, when: float) -> list[Any]:
        """Return the items that arrived, or none at the moment given or earlier."""
        if not self._items:
            self._wake = anyio.Event()
            self._wake_by(when)
            await self._wake.wait()
        items = list(self._items)
        self._items.clear()
        return items

    def close(self) -> None:
        """Give the timer back."""
        if self._timer is not None:
            self._timer.cancel()

    def _wake_by(self, when: float) -> None:
        """Keep a timer that rings no later; a wake too early does no harm."""
        if self._timer is not None and self._rings_at <= when:
            return
        self.close()
        self._rings_at = when
        self._timer = self._timers.at(when, self._ring)

    def _ring(self) -> None:
        self._timer = None
        self._wake.set()
