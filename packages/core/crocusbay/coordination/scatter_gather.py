"""Scatter-gather: one request to many services, with hedges and retries."""

import heapq
import itertools
from collections.abc import Callable

from crocusbay.coordination.mailbox import Mailbox
from crocusbay.coordination.quarantine import ALL_SERVICES, Quarantine
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.coordination.server import Server
from crocusbay.coordination.sub_request import (
    Attempt,
    ScatterRequest,
    SendReason,
    SubRequestState,
)
from crocusbay.protocol.peer import CrashReport
from crocusbay.protocol.upstream import SubRequest, SubResponse, cancel_target
from crocusbay.state import Cause, EventKind, MayHaveRun, NotRun, Ran, Verdict
from crocusbay.transport import Exchange

DEFAULT_LATENCY_BOUND_SECONDS = 0.02
CANCEL_DEADLINE_SECONDS = 0.5
CANARY_DELAY_RATIO = 0.25
MAX_CANARIES_BEFORE_ANSWER = 2

# Retries after these failures add no load to upstreams: the attempt did not reach one,
# or its connection was silent, which happens at most once per connection.
_UNBUDGETED_RETRY_CAUSES = frozenset(
    {
        Cause.CONNECT_FAILED,
        Cause.DRAINING,
        Cause.LEAVING,
        Cause.NO_CONNECTION,
        Cause.SILENT,
    }
)


ResponseCheck = Callable[[SubRequestState, SubResponse], Cause | None]


def accept_any(leg: SubRequestState, response: SubResponse) -> Cause | None:
    """Accept every response."""
    return None


class ScatterGather:
    """Run one scatter-gather request in the calling task."""

    def __init__(
        self,
        runtime: DeploymentRuntime,
        quarantine: Quarantine,
        job: ScatterRequest,
        legs: list[SubRequestState],
        accept: ResponseCheck = accept_any,
    ) -> None:
        self.legs = legs
        self.is_stopped = False
        self._runtime = runtime
        self._quarantine = quarantine
        self._job = job
        self._accept = accept
        self._timers = runtime.context.timers
        self._mailbox = Mailbox(self._timers)
        self._scheduled: list[tuple[float, int, SubRequestState, SendReason]] = []
        self._sequence = itertools.count()
        self._pending = len(legs)
        self._answers = 0
        self._deferred_hedges: list[SubRequestState] = []
        self._started_at = self._timers.now()
        time_limit = job.deadline - self._started_at
        self._canaries_at = self._started_at + CANARY_DELAY_RATIO * time_limit

    async def run(self) -> None:
        """Set the verdict of each leg by the deadline."""
        try:
            self._start_all()
            while self._pending and not self.is_stopped:
                if self._timers.now() >= self._job.deadline:
                    break
                await self._step()
        finally:
            self._finish()

    def stop(self) -> None:
        """End the request early, for example when its snapshot no longer exists."""
        self.is_stopped = True

    def _start_all(self) -> None:
        self._runtime.count_requests(SendReason.NEEDED, len(self.legs))
        self._runtime.hedge_budget.deposit(len(self.legs))
        self._runtime.canary_budget.deposit(len(self.legs))
        self._runtime.retry_budget.deposit(len(self.legs))
        for leg in self.legs:
            self._start(leg, SendReason.PRIMARY)

    async def _step(self) -> None:
        next_due = self._scheduled[0][0] if self._scheduled else self._job.deadline
        next_due = min(next_due, self._canaries_at, self._job.deadline)
        items = await self._mailbox.get_until(next_due)
        for leg, attempt, exchange, verdict in items:
            self._handle_verdict(leg, attempt, exchange, verdict)
        now = self._timers.now()
        if now >= self._canaries_at:
            self._canaries_at = self._job.deadline
            self._send_canaries()
        while self._scheduled and self._scheduled[0][0] <= now:
            _, _, leg, reason = heapq.heappop(self._scheduled)
            self._run_scheduled(leg, reason)

    def _start(self, leg: SubRequestState, reason: SendReason) -> bool:
        """Send the leg to the best untried server; return whether there was one."""
        if self._quarantine.is_quarantined(self._job.fingerprint, leg.service):
            self._resolve(leg, NotRun(Cause.QUARANTINED))
            return False
        server = self._runtime.choose_server(leg.service, frozenset(leg.tried_servers))
        if server is None:
            if reason in (SendReason.PRIMARY, SendReason.RETRY):
                self._wait_for_server(leg)
            return False
        self._send(leg, server, reason)
        return True

    def _send(self, leg: SubRequestState, server: Server, reason: SendReason) -> None:
        leg.tried_servers.add(server.upstream.name)
        sub = SubRequest(
            self._job.request_id,
            "GET",
            leg.target,
            self._job.deadline,
            snapshot_version=self._job.snapshot_version,
        )
        self._schedule_hedge(leg, server)
        attempt = Attempt(server, reason)
        exchange = server.send(
            sub,
            lambda _, e, v: self._mailbox.put((leg, attempt, e, v)),
            on_new_connection=reason is SendReason.CANARY,
        )
        if not exchange.is_done:
            leg.open_attempts[exchange] = attempt

    def _wait_for_server(self, leg: SubRequestState) -> None:
        """Retry all servers after a pause, or fail the leg if the service has none."""
        if not self._runtime.has_server(leg.service):
            self._resolve(leg, leg.last_failure or NotRun(Cause.NO_UPSTREAM))
            return
        if leg.open_attempts:
            return
        leg.tried_servers.clear()
        self._schedule(leg.retry_pause, leg, SendReason.RETRY)
        leg.retry_pause *= 2

    def _schedule(self, delay: float, leg: SubRequestState, reason: SendReason) -> None:
        when = self._timers.now() + delay
        heapq.heappush(self._scheduled, (when, next(self._sequence), leg, reason))

    def _schedule_hedge(self, leg: SubRequestState, server: Server) -> None:
        if leg.has_hedged:
            return
        floor = self._runtime.config.policy.hedge_floor
        bound = server.latency.upper_bound or DEFAULT_LATENCY_BOUND_SECONDS
        self._schedule(max(floor, bound), leg, SendReason.HEDGE)

    def _run_scheduled(self, leg: SubRequestState, reason: SendReason) -> None:
        if leg.verdict is not None or leg.is_held:
            return
        if reason is SendReason.HEDGE:
            self._hedge(leg)
        elif not leg.open_attempts:
            self._retry(leg)

    def _hedge(self, leg: SubRequestState) -> None:
        """Send the leg to a second server.

        Until some leg is answered, this one can't be told to be a straggler: the host
        may be stalled, or the request may crash its servers. The hedge is deferred
        until the first answer.
        """
        if not self._answers and len(self.legs) > 1:
            self._deferred_hedges.append(leg)
            return
        if (
            leg.has_hedged
            or not leg.open_attempts
            or not self._runtime.hedge_budget.try_spend()
        ):
            return
        leg.has_hedged = True
        if self._start(leg, SendReason.HEDGE):
            self._record(EventKind.HEDGE, leg.service)

    def _send_canaries(self) -> None:
        """Resend unanswered legs on new connections, in case the old are silent.

        Two are enough while no server has answered at all: if one is answered, every
        silent connection is closed. A server whose slots are all filled by this host
        is slow for that reason and gets none.
        """
        unanswered = [
            leg for leg in self.legs if leg.verdict is None and leg.open_attempts
        ]
        if not self._answers:
            unanswered = unanswered[:MAX_CANARIES_BEFORE_ANSWER]
        for leg in unanswered:
            server = next(iter(leg.open_attempts.values())).server
            if server.in_flight > server.service.slots:
                continue
            if not self._runtime.canary_budget.try_spend():
                return
            self._send(leg, server, SendReason.CANARY)

    def _close_silent(self, server: Server) -> None:
        """Close the connections that received nothing while a new one was answered."""
        if not self._answers:
            self._runtime.close_silent_connections(self._started_at)
        server.pool.close_silent(self._started_at)

    def _retry(self, leg: SubRequestState) -> None:
        is_unbudgeted = (
            leg.last_failure and leg.last_failure.cause in _UNBUDGETED_RETRY_CAUSES
        )
        if not is_unbudgeted and not self._runtime.retry_budget.try_spend():
            self._resolve(leg, leg.last_failure or NotRun(Cause.OVERLOAD))
            return
        if self._start(leg, SendReason.RETRY):
            self._record(EventKind.RETRY, leg.service)

    def _handle_verdict(
        self,
        leg: SubRequestState,
        attempt: Attempt,
        exchange: Exchange,
        verdict: Verdict,
    ) -> None:
        leg.open_attempts.pop(exchange, None)
        self._count_sent(attempt, exchange)
        if leg.verdict is not None:
            return
        if isinstance(verdict, Ran):
            if attempt.reason is SendReason.CANARY:
                self._close_silent(attempt.server)
            self._release_held(leg)
            cause = self._accept(leg, verdict.answer)
            if cause is None:
                self._resolve(leg, verdict)
                return
            verdict = NotRun(cause)
        self._fail_attempt(leg, attempt.server, verdict)

    def _fail_attempt(
        self, leg: SubRequestState, server: Server, verdict: Verdict
    ) -> None:
        if leg.last_failure is None or verdict.cause is not Cause.DEADLINE:
            leg.last_failure = verdict
        self._runtime.context.metrics.attempts_failed.labels(
            self._runtime.name, verdict.cause
        ).inc()
        self._record(
            EventKind.ATTEMPT_FAILED, f"{server.upstream.name} {verdict.cause}"
        )
        if verdict == MayHaveRun(Cause.RESET):
            self._record_crash(leg, server)
        if leg.verdict is None and not leg.open_attempts and not leg.is_held:
            self._retry(leg)
        self._resolve_held()

    def _record_crash(self, leg: SubRequestState, server: Server) -> None:
        """Record that the request may have crashed the server.

        The leg is held until another server answers the request.
        """
        name = server.upstream.name
        job = self._job
        self._quarantine.record_crash(CrashReport(job.fingerprint, leg.service, name))
        if self._answers or len(self.legs) == 1:
            return
        self._quarantine.record_crash(CrashReport(job.fingerprint, ALL_SERVICES, name))
        leg.is_held = True

    def _resolve_held(self) -> None:
        """Stop or retry once every leg without a verdict is held after a crash."""
        waiting = [leg for leg in self.legs if leg.verdict is None]
        if not waiting or not all(leg.is_held for leg in waiting):
            return
        if self._quarantine.is_quarantined(self._job.fingerprint):
            self._record(EventKind.QUARANTINED, self._job.fingerprint)
            self.stop()
        else:
            self._retry_held()

    def _release_held(self, leg: SubRequestState) -> None:
        """Clear recorded crashes; at the first answer, retry legs held after one."""
        self._answers += 1
        self._quarantine.clear(self._job.fingerprint, leg.service)
        if self._answers == 1:
            self._quarantine.clear(self._job.fingerprint, ALL_SERVICES)
            self._retry_held()
            self._start_deferred_hedges()

    def _start_deferred_hedges(self) -> None:
        for leg in self._deferred_hedges:
            if leg.verdict is None and not leg.is_held:
                self._hedge(leg)

    def _retry_held(self) -> None:
        for leg in self.legs:
            if leg.is_held:
                leg.is_held = False
                self._retry(leg)

    def _resolve(self, leg: SubRequestState, verdict: Verdict) -> None:
        if leg.verdict is not None:
            return
        leg.verdict = verdict
        self._pending -= 1
        self._cancel_open(leg)

    def _cancel_open(self, leg: SubRequestState) -> None:
        """Cancel the attempts in flight where a connection is available for it.

        A new connection is not wasted: the next request uses it while the old one
        still waits for its response.
        """
        for exchange, attempt in leg.open_attempts.items():
            self._count_sent(attempt, exchange)
            server = attempt.server
            was_sent = exchange.is_sent
            server.abandon(exchange)
            if was_sent and server.pool.has_capacity:
                self._runtime.count_requests(SendReason.CANCEL)
                server.pool.submit(Exchange(self._cancel_request(), _ignore))
        leg.open_attempts.clear()

    def _count_sent(self, attempt: Attempt, exchange: Exchange) -> None:
        if exchange.is_sent:
            self._runtime.count_requests(attempt.reason)

    def _cancel_request(self) -> SubRequest:
        return SubRequest(
            f"{self._job.request_id}.cancel",
            "POST",
            cancel_target(self._job.request_id),
            self._timers.now() + CANCEL_DEADLINE_SECONDS,
        )

    def _finish(self) -> None:
        self._mailbox.close()
        is_quarantined = self._quarantine.is_quarantined(self._job.fingerprint)
        for leg in self.legs:
            if leg.verdict is not None:
                continue
            if is_quarantined and not self._answers:
                self._resolve(leg, MayHaveRun(Cause.QUARANTINED))
            else:
                self._resolve(leg, leg.last_failure or MayHaveRun(Cause.DEADLINE))

    def _record(self, kind: EventKind, detail: str) -> None:
        self._runtime.context.timeline.record(
            kind,
            request=self._job.request_id,
            deployment=self._runtime.name,
            detail=detail,
        )


def _ignore(exchange: Exchange, verdict: Verdict) -> None:
    """Discard the verdict of a cancellation request."""
