"""Mailbox: collects the verdicts for one request without a task for each."""

from collections import deque
from typing import Any

import anyio

from crocusbay.transport.timers import Timer, TimerService


class Mailbox:
    """Queue items for a single consumer task."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._items: deque[Any] = deque()
        self._wake = anyio.Event()
        self._timer: Timer | None = None
        self._timer_fires_at = 0.0

    def put(self, item: Any) -> None:
        """Add an item and wake the waiting task."""
        self._items.append(item)
        self._wake.set()

    async def get_until(self, when: float) -> list[Any]:
        """Return the queued items, or an empty list at the given time or earlier."""
        if not self._items:
            self._wake = anyio.Event()
            self._ensure_timer(when)
            await self._wake.wait()
        items = list(self._items)
        self._items.clear()
        return items

    def close(self) -> None:
        """Cancel the pending timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _ensure_timer(self, when: float) -> None:
        """Ensure that a timer fires by then; waking the consumer early is harmless."""
        if self._timer is not None and self._timer_fires_at <= when:
            return
        self.close()
        self._timer_fires_at = when
        self._timer = self._timers.at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._wake.set()
