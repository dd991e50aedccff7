"""Timer service: one task runs a heap of timers that parts subscribe to."""

import heapq
import itertools
import random
import time
from collections.abc import Callable

import anyio

MAX_SLEEP_SECONDS = 3600.0


class Timer:
    """Hold one subscription; `cancel` ends it."""

    __slots__ = ("callback", "is_cancelled")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        """End the subscription, and let go of what the callback holds."""
        self.is_cancelled = True
        self.callback = _do_nothing


def _do_nothing() -> None:
    """Stand in for the callback of a timer that was cancelled."""


class Ticks:
    """Iterate over the beats of a periodic timer; missed beats fold into one."""

    def __init__(self, service: "TimerService", period: float, jitter: float) -> None:
        self._service = service
        self._period = period
        self._jitter = jitter

    def __aiter__(self) -> "Ticks":
        return self

    async def __anext__(self) -> float:
        spread = 1.0 + self._jitter * random.uniform(-1.0, 1.0)
        await self._service.sleep(self._period * spread)
        return self._service.now()


class TimerService:
    """Run callbacks at moments of a clock that never goes back (seconds)."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._wake = anyio.Event()
        self.now = now

    def at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Run a callback that neither waits nor raises, at the moment given."""
        timer = Timer(callback)
        is_first = not self._heap or when < self._heap[0][0]
        heapq.heappush(self._heap, (when, next(self._order), timer))
        if is_first:
            self._wake.set()
        return timer

    def every(self, period: float, *, jitter: float = 0.0) -> Ticks:
        """Subscribe to beats a period apart, each spread by a share of it."""
        return Ticks(self, period, jitter)

    async def sleep(self, seconds: float) -> None:
        """Wait until the time has passed."""
        rung = anyio.Event()
        timer = self.at(self.now() + seconds, rung.set)
        try:
            await rung.wait()
        finally:
            timer.cancel()

    async def run(self) -> None:
        """Run the timers until cancelled."""
        while True:
            self._wake = anyio.Event()
            delay = self._ring_due()
            with anyio.move_on_after(delay):
                await self._wake.wait()

    def _ring_due(self) -> float:
        """Run what is due; return the seconds until the next timer."""
        now = self.now()
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].is_cancelled):
            timer = heapq.heappop(self._heap)[2]
            if not timer.is_cancelled:
                timer.callback()
        if not self._heap:
            return MAX_SLEEP_SECONDS
        return max(0.0, self._heap[0][0] - now)
