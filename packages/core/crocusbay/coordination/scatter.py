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
MAX_CANARIES_BEFORE_RESPONSE = 2

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


def accept_any(state: SubRequestState, response: SubResponse) -> Cause | None:
    """Accept every response."""
    return None


class ScatterGather:
    """Run one scatter-gather request in the calling task.

    `accept` returns None, or the cause for which a response counts as a failed attempt.
    """

    def __init__(
        self,
        runtime: DeploymentRuntime,
        quarantine: Quarantine,
        request: ScatterRequest,
        states: list[SubRequestState],
        accept: ResponseCheck = accept_any,
    ) -> None:
        self.states = states
        self.is_stopped = False
        self._runtime = runtime
        self._quarantine = quarantine
        self._request = request
        self._accept = accept
        self._timers = runtime.context.timers
        self._mailbox = Mailbox(self._timers)
        self._scheduled: list[tuple[float, int, SubRequestState, SendReason]] = []
        self._sequence = itertools.count()
        self._pending = len(states)
        self._response_count = 0
        self._deferred_hedges: list[SubRequestState] = []
        self._started_at = self._timers.now()
        time_limit = request.deadline - self._started_at
        self._canaries_at = self._started_at + CANARY_DELAY_RATIO * time_limit

    async def run(self) -> None:
        """Set the verdict of each sub-request by the deadline."""
        try:
            self._start_all()
            while self._pending and not self.is_stopped:
                if self._timers.now() >= self._request.deadline:
                    break
                await self._step()
        finally:
            self._finish()

    def stop(self) -> None:
        """End the request early, for example when its snapshot no longer exists."""
        self.is_stopped = True

    def _start_all(self) -> None:
        self._runtime.count_requests(SendReason.NEEDED, len(self.states))
        self._runtime.hedge_budget.deposit(len(self.states))
        self._runtime.canary_budget.deposit(len(self.states))
        self._runtime.retry_budget.deposit(len(self.states))
        for state in self.states:
            self._start(state, SendReason.PRIMARY)

    async def _step(self) -> None:
        next_due = self._scheduled[0][0] if self._scheduled else self._request.deadline
        next_due = min(next_due, self._canaries_at, self._request.deadline)
        items = await self._mailbox.get_until(next_due)
        for state, attempt, exchange, verdict in items:
            self._handle_verdict(state, attempt, exchange, verdict)
        now = self._timers.now()
        if now >= self._canaries_at:
            self._canaries_at = self._request.deadline
            self._send_canaries()
        while self._scheduled and self._scheduled[0][0] <= now:
            _, _, state, reason = heapq.heappop(self._scheduled)
            self._run_scheduled(state, reason)

    def _start(self, state: SubRequestState, reason: SendReason) -> bool:
        """Send to the best untried server; return whether the request was sent."""
        if self._quarantine.is_quarantined(self._request.fingerprint, state.service):
            self._resolve(state, NotRun(Cause.QUARANTINED))
            return False
        server = self._runtime.choose_server(
            state.service, frozenset(state.tried_servers)
        )
        if server is None:
            if reason in (SendReason.PRIMARY, SendReason.RETRY):
                self._wait_for_server(state)
            return False
        self._send(state, server, reason)
        return True

    def _send(self, state: SubRequestState, server: Server, reason: SendReason) -> None:
        state.tried_servers.add(server.upstream.name)
        sub_request = SubRequest(
            self._request.request_id,
            "GET",
            state.target,
            self._request.deadline,
            snapshot_version=self._request.snapshot_version,
        )
        self._schedule_hedge(state, server)
        attempt = Attempt(server, reason)
        exchange = server.send(
            sub_request,
            lambda _, e, v: self._mailbox.put((state, attempt, e, v)),
            on_new_connection=reason is SendReason.CANARY,
        )
        if not exchange.is_done:
            state.open_attempts[exchange] = attempt

    def _wait_for_server(self, state: SubRequestState) -> None:
        """Retry all servers after a delay, or fail if the service has no server."""
        if not self._runtime.has_server(state.service):
            self._resolve(state, state.last_failure or NotRun(Cause.NO_UPSTREAM))
            return
        if state.open_attempts:
            return
        state.tried_servers.clear()
        self._schedule(state.retry_delay, state, SendReason.RETRY)
        state.retry_delay *= 2

    def _schedule(
        self, delay: float, state: SubRequestState, reason: SendReason
    ) -> None:
        when = self._timers.now() + delay
        heapq.heappush(self._scheduled, (when, next(self._sequence), state, reason))

    def _schedule_hedge(self, state: SubRequestState, server: Server) -> None:
        if state.is_hedged:
            return
        floor = self._runtime.config.policy.hedge_floor
        bound = server.latency.upper_bound or DEFAULT_LATENCY_BOUND_SECONDS
        self._schedule(max(floor, bound), state, SendReason.HEDGE)

    def _run_scheduled(self, state: SubRequestState, reason: SendReason) -> None:
        if state.verdict is not None or state.is_retry_deferred:
            return
        if reason is SendReason.HEDGE:
            self._hedge(state)
        elif not state.open_attempts:
            self._retry(state)

    def _hedge(self, state: SubRequestState) -> None:
        """Send the sub-request to a second server, as a hedge.

        The hedge is deferred until the first response to any sub-request. Before it,
        nothing shows that this one is a straggler: the host may be stalled, or the
        request may crash its servers.
        """
        if not self._response_count and len(self.states) > 1:
            self._deferred_hedges.append(state)
            return
        if (
            state.is_hedged
            or not state.open_attempts
            or not self._runtime.hedge_budget.try_spend()
        ):
            return
        state.is_hedged = True
        if self._start(state, SendReason.HEDGE):
            self._record(EventKind.HEDGE, state.service)

    def _send_canaries(self) -> None:
        """Resend open sub-requests on new connections, in case the old ones are silent.

        Two are enough before the first response: if one of them is answered, every
        silent connection is closed. A server whose slots are all filled by this host
        is slow for that reason and gets none.
        """
        unanswered = [
            state
            for state in self.states
            if state.verdict is None and state.open_attempts
        ]
        if not self._response_count:
            unanswered = unanswered[:MAX_CANARIES_BEFORE_RESPONSE]
        for state in unanswered:
            server = next(iter(state.open_attempts.values())).server
            if server.in_flight > server.service.slots:
                continue
            if not self._runtime.canary_budget.try_spend():
                return
            self._send(state, server, SendReason.CANARY)

    def _close_silent_connections(self, server: Server) -> None:
        """Close the connections that received nothing while a canary was answered."""
        if not self._response_count:
            self._runtime.close_silent_connections(self._started_at)
        server.pool.close_silent(self._started_at)

    def _retry(self, state: SubRequestState) -> None:
        is_unbudgeted = (
            state.last_failure and state.last_failure.cause in _UNBUDGETED_RETRY_CAUSES
        )
        if not is_unbudgeted and not self._runtime.retry_budget.try_spend():
            self._resolve(state, state.last_failure or NotRun(Cause.OVERLOAD))
            return
        if self._start(state, SendReason.RETRY):
            self._record(EventKind.RETRY, state.service)

    def _handle_verdict(
        self,
        state: SubRequestState,
        attempt: Attempt,
        exchange: Exchange,
        verdict: Verdict,
    ) -> None:
        state.open_attempts.pop(exchange, None)
        self._count_sent(attempt, exchange)
        if state.verdict is not None:
            return
        if isinstance(verdict, Ran):
            if attempt.reason is SendReason.CANARY:
                self._close_silent_connections(attempt.server)
            self._handle_response(state)
            cause = self._accept(state, verdict.response)
            if cause is None:
                self._resolve(state, verdict)
                return
            verdict = NotRun(cause)
        self._fail_attempt(state, attempt.server, verdict)

    def _fail_attempt(
        self, state: SubRequestState, server: Server, verdict: Verdict
    ) -> None:
        if state.last_failure is None or verdict.cause is not Cause.DEADLINE:
            state.last_failure = verdict
        self._runtime.context.metrics.attempts_failed.labels(
            self._runtime.name, verdict.cause
        ).inc()
        self._record(
            EventKind.ATTEMPT_FAILED, f"{server.upstream.name} {verdict.cause}"
        )
        if verdict == MayHaveRun(Cause.RESET):
            self._record_crash(state, server)
        if (
            state.verdict is None
            and not state.open_attempts
            and not state.is_retry_deferred
        ):
            self._retry(state)
        self._check_all_deferred()

    def _record_crash(self, state: SubRequestState, server: Server) -> None:
        """Record that the request may have crashed the server.

        Before the first response, the retry is deferred: it could crash another
        server.
        """
        name = server.upstream.name
        request = self._request
        self._quarantine.record_crash(
            CrashReport(request.fingerprint, state.service, name)
        )
        if self._response_count or len(self.states) == 1:
            return
        self._quarantine.record_crash(
            CrashReport(request.fingerprint, ALL_SERVICES, name)
        )
        state.is_retry_deferred = True

    def _check_all_deferred(self) -> None:
        """Stop or retry once the retry of every open sub-request is deferred."""
        waiting = [state for state in self.states if state.verdict is None]
        if not waiting or not all(state.is_retry_deferred for state in waiting):
            return
        if self._quarantine.is_quarantined(self._request.fingerprint):
            self._record(EventKind.QUARANTINED, self._request.fingerprint)
            self.stop()
        else:
            self._start_deferred_retries()

    def _handle_response(self, state: SubRequestState) -> None:
        """Clear recorded crashes; at the first response, start what was deferred."""
        self._response_count += 1
        self._quarantine.clear(self._request.fingerprint, state.service)
        if self._response_count == 1:
            self._quarantine.clear(self._request.fingerprint, ALL_SERVICES)
            self._start_deferred_retries()
            self._start_deferred_hedges()

    def _start_deferred_hedges(self) -> None:
        for state in self._deferred_hedges:
            if state.verdict is None and not state.is_retry_deferred:
                self._hedge(state)

    def _start_deferred_retries(self) -> None:
        for state in self.states:
            if state.is_retry_deferred:
                state.is_retry_deferred = False
                self._retry(state)

    def _resolve(self, state: SubRequestState, verdict: Verdict) -> None:
        if state.verdict is not None:
            return
        state.verdict = verdict
        self._pending -= 1
        self._cancel_open(state)

    def _cancel_open(self, state: SubRequestState) -> None:
        """Cancel the attempts in flight where a connection is available for it.

        A connection opened for this is not wasted: the next request uses it while the
        old one still waits for its response.
        """
        for exchange, attempt in state.open_attempts.items():
            self._count_sent(attempt, exchange)
            server = attempt.server
            was_sent = exchange.is_sent
            server.abandon(exchange)
            if was_sent and server.pool.has_capacity:
                self._runtime.count_requests(SendReason.CANCEL)
                server.pool.submit(
                    Exchange(self._make_cancel_request(), _ignore_verdict)
                )
        state.open_attempts.clear()

    def _count_sent(self, attempt: Attempt, exchange: Exchange) -> None:
        if exchange.is_sent:
            self._runtime.count_requests(attempt.reason)

    def _make_cancel_request(self) -> SubRequest:
        return SubRequest(
            f"{self._request.request_id}.cancel",
            "POST",
            cancel_target(self._request.request_id),
            self._timers.now() + CANCEL_DEADLINE_SECONDS,
        )

    def _finish(self) -> None:
        self._mailbox.close()
        is_quarantined = self._quarantine.is_quarantined(self._request.fingerprint)
        for state in self.states:
            if state.verdict is not None:
                continue
            if is_quarantined and not self._response_count:
                self._resolve(state, MayHaveRun(Cause.QUARANTINED))
            else:
                self._resolve(state, state.last_failure or MayHaveRun(Cause.DEADLINE))

    def _record(self, kind: EventKind, detail: str) -> None:
        self._runtime.context.timeline.record(
            kind,
            request=self._request.request_id,
            deployment=self._runtime.name,
            detail=detail,
        )


def _ignore_verdict(exchange: Exchange, verdict: Verdict) -> None:
    """Discard the verdict of a cancellation request."""
