"""Timer service: one task runs the timers of all components from a heap."""

import heapq
import itertools
import random
import time
from collections.abc import Callable

import anyio

MAX_SLEEP_SECONDS = 3600.0


class Timer:
    """Callback that runs at a given time unless it is cancelled."""

    __slots__ = ("callback", "is_cancelled")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the timer and release what the callback references."""
        self.is_cancelled = True
        self.callback = _do_nothing


def _do_nothing() -> None:
    """Replace the callback of a cancelled timer."""


class Ticks:
    """Iterate over the ticks of a periodic timer; missed ticks are merged."""

    def __init__(self, service: "TimerService", period: float, jitter: float) -> None:
        self._service = service
        self._period = period
        self._jitter = jitter

    def __aiter__(self) -> "Ticks":
        return self

    async def __anext__(self) -> float:
        factor = 1.0 + self._jitter * random.uniform(-1.0, 1.0)
        await self._service.sleep(self._period * factor)
        return self._service.now()


class TimerService:
    """Run callbacks at given times of a monotonic clock (seconds)."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._wake = anyio.Event()
        self.now = now
        # Called with the name and the error of a callback that raises one.
        self.on_error: Callable[[str, Exception], None] = _raise_error

    def at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Run a callback at the given time; it must not block."""
        timer = Timer(callback)
        is_first = not self._heap or when < self._heap[0][0]
        heapq.heappush(self._heap, (when, next(self._sequence), timer))
        if is_first:
            self._wake.set()
        return timer

    def every(self, period: float, *, jitter: float = 0.0) -> Ticks:
        """Return ticks one period apart, each varied by up to `jitter` of it."""
        return Ticks(self, period, jitter)

    async def sleep(self, seconds: float) -> None:
        """Wait until the time has passed."""
        fired = anyio.Event()
        timer = self.at(self.now() + seconds, fired.set)
        try:
            await fired.wait()
        finally:
            timer.cancel()

    async def run(self) -> None:
        """Run the timers until cancelled."""
        while True:
            self._wake = anyio.Event()
            delay = self._run_due()
            with anyio.move_on_after(delay):
                await self._wake.wait()

    def _run_due(self) -> float:
        """Run the timers that are due; return the seconds until the next one."""
        now = self.now()
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].is_cancelled):
            timer = heapq.heappop(self._heap)[2]
            if not timer.is_cancelled:
                self._run_callback(timer.callback)
        if not self._heap:
            return MAX_SLEEP_SECONDS
        return max(0.0, self._heap[0][0] - now)

    def _run_callback(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:
            self.on_error(getattr(callback, "__qualname__", repr(callback)), error)


def _raise_error(name: str, error: Exception) -> None:
    """Let an error end the task that runs the timers."""
    raise error
