"""Base class of request handlers driven by verdicts and timers."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from crocusbay.state import Cause
from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.attempt import Attempt, RouteLatency
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.planned_stop import PlannedStop
from crocusbay_gateway.state import CallerRequest, Reply

# A server that has not responded for so many hedge delays may have crashed.
OVERDUE_HEDGE_DELAYS = 2.0
# The same when the copy ends without a response.
ENDED_HEDGE_DELAYS = 1.0
# Responses may wait to be read if a timer is later than this.
MAX_TIMER_DELAY_SECONDS = 0.05
# By then they have been read.
READING_SECONDS = 0.02

Outcome = TypeVar("Outcome")
_INTERRUPTED = object()


class RequestHandler(Generic[Outcome]):
    """Serve one request: start, wait for the outcome, clean up and build the reply."""

    def __init__(
        self, context: Context, request: CallerRequest, latency: RouteLatency
    ) -> None:
        self._context = context
        self._latency = latency
        self._crashes = context.crash_monitor.track(request)
        self._now = context.timers.now
        self._done: asyncio.Future[Outcome]
        self._timers: list[Timer] = []
        self._planned_stop: PlannedStop | None = None
        # Why the request is given up if it is still in progress by then.
        self._give_up_cause = Cause.DEADLINE

    async def run(self) -> Reply | None:
        """Return the reply, or None after an interruption.

        If the caller disconnects, cancel attempts at once.
        """
        self._done = asyncio.get_running_loop().create_future()
        is_finished = False
        try:
            self._start()
            self._watch_overdue()
            outcome = await self._done
            is_finished = outcome is not _INTERRUPTED
        finally:
            for timer in self._timers:
                timer.cancel()
            if not self._crashes.has_response:
                self._suspect_overdue(ENDED_HEDGE_DELAYS)
            self._abandon_attempts(immediately=not is_finished)
            self._crashes.end()
        return self._make_reply(outcome) if is_finished else None

    @property
    def may_be_interrupted(self) -> bool:
        """Return whether another host may serve the request from its beginning."""
        raise NotImplementedError

    def interrupt(self) -> None:
        """Stop serving the request; its attempts are cancelled at once.

        One that waits for a connection must not be sent before the task resumes.
        """
        if self._is_done:
            return
        self._abandon_attempts(immediately=True)
        self._finish(_INTERRUPTED)

    def start_leaving(self, planned_stop: PlannedStop) -> None:
        """Reply by the time at which this host answers what is still in progress."""
        raise NotImplementedError

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that explain how the reply came about."""
        raise NotImplementedError

    @property
    def _is_done(self) -> bool:
        return self._done.done()

    def _start(self) -> None:
        """Send the first attempts and schedule timers."""
        raise NotImplementedError

    def _abandon_attempts(self, *, immediately: bool) -> None:
        """Abandon open attempts; cancel them immediately or after a grace period."""
        raise NotImplementedError

    def _open_attempts(self) -> list[Attempt]:
        """Return the attempts without a verdict."""
        raise NotImplementedError

    def _watch_overdue(self) -> None:
        """Suspect crashes of servers that don't respond, while the copy runs."""
        due_at = self._now() + OVERDUE_HEDGE_DELAYS * self._latency.hedge_delay

        def check() -> None:
            if self._now() < due_at + MAX_TIMER_DELAY_SECONDS:
                suspect()
            else:
                self._call_at(self._now() + READING_SECONDS, suspect)

        def suspect() -> None:
            self._suspect_overdue(OVERDUE_HEDGE_DELAYS)
            self._watch_overdue()

        self._call_at(due_at, check)

    def _suspect_overdue(self, hedge_delays: float) -> None:
        for attempt in self._open_attempts():
            attempt.suspect_if_overdue(hedge_delays)

    def _make_reply(self, outcome: Outcome) -> Reply:
        raise NotImplementedError

    def _finish(self, outcome: Outcome) -> None:
        if not self._done.done():
            self._done.set_result(outcome)

    def _call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback that is skipped if the outcome is known by then."""

        def run() -> None:
            if not self._done.done():
                callback()

        self._timers.append(self._context.timers.at(when, run))
