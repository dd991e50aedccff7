"""Job: serve one request, driven by verdicts and timers, to exactly one reply."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.state import Reply

Outcome = TypeVar("Outcome")


class Job(Generic[Outcome]):
    """Start, wait for an outcome, stop what is left and make the reply of it."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._now = context.timers.now
        self._done: asyncio.Future[Outcome]
        self._timers: list[Timer] = []

    async def run(self) -> Reply:
        """Serve the request; cancelled, as when the caller leaves, stop at once."""
        self._done = asyncio.get_running_loop().create_future()
        is_finished = False
        try:
            self._start()
            outcome = await self._done
            is_finished = True
        finally:
            for timer in self._timers:
                timer.cancel()
            self._stop(is_urgent=not is_finished)
        return self._reply(outcome)

    def facts(self) -> dict[str, object]:
        """Return what decided the reply, for the log."""
        raise NotImplementedError

    @property
    def _is_done(self) -> bool:
        return self._done.done()

    def _start(self) -> None:
        """Send first."""
        raise NotImplementedError

    def _stop(self, *, is_urgent: bool) -> None:
        """Let go of the servers; at once if nobody waits for their answers."""
        raise NotImplementedError

    def _reply(self, outcome: Outcome) -> Reply:
        raise NotImplementedError

    def _finish(self, outcome: Outcome) -> None:
        if not self._done.done():
            self._done.set_result(outcome)

    def _at(self, when: float, callback: Callable[[], None]) -> None:
        """Run a callback at a moment, unless the outcome is there by then."""

        def run() -> None:
            if not self._done.done():
                callback()

        self._timers.append(self._context.timers.at(when, run))
