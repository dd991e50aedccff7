"""Scatter: sends one request to many services, with hedges, retries and a deadline."""

import heapq
import itertools
from collections.abc import Callable

from crocusbay.coordination.leg import Attempt, Job, Leg, Reason
from crocusbay.coordination.mailbox import Mailbox
from crocusbay.coordination.quarantine import EVERY_SERVICE, Quarantine
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.coordination.server import Server
from crocusbay.protocol.peer import Strike
from crocusbay.protocol.upstream import SubRequest, SubResponse, cancel_target
from crocusbay.state import Cause, EventKind, MayHaveRun, NotRun, Ran, Verdict
from crocusbay.transport import Exchange

UNKNOWN_LATENCY_SECONDS = 0.02
CANCEL_DEADLINE_SECONDS = 0.5
STALL_SHARE_OF_DEADLINE = 0.25
CANARIES = 2

# Failures after which a retry adds no load to upstreams: the attempt did not reach
# one, or it went on a connection that was silent, which happens once a connection.
_FREE_TO_RETRY = frozenset(
    {
        Cause.CONNECT_FAILED,
        Cause.DRAINING,
        Cause.LEAVING,
        Cause.NO_CONNECTION,
        Cause.SILENT,
    }
)


Accept = Callable[[Leg, SubResponse], Cause | None]


def accept_any(leg: Leg, response: SubResponse) -> Cause | None:
    """Accept every response."""
    return None


class Scatter:
    """Run one scattered request in the task of its caller."""

    def __init__(
        self,
        runtime: DeploymentRuntime,
        quarantine: Quarantine,
        job: Job,
        legs: list[Leg],
        accept: Accept = accept_any,
    ) -> None:
        self.legs = legs
        self.is_stopped = False
        self._runtime = runtime
        self._quarantine = quarantine
        self._job = job
        self._accept = accept
        self._timers = runtime.context.timers
        self._mailbox = Mailbox(self._timers)
        self._due: list[tuple[float, int, Leg, Reason]] = []
        self._order = itertools.count()
        self._pending = len(legs)
        self._answers = 0
        self._deferred_hedges: list[Leg] = []
        self._started_at = self._timers.now()
        patience = job.deadline - self._started_at
        self._canaries_at = self._started_at + STALL_SHARE_OF_DEADLINE * patience

    async def run(self) -> None:
        """Fill the verdict of each leg by the deadline."""
        try:
            self._start_all()
            while self._pending and not self.is_stopped:
                if self._timers.now() >= self._job.deadline:
                    break
                await self._step()
        finally:
            self._end()

    def stop(self) -> None:
        """End the request early, as when its snapshot is gone."""
        self.is_stopped = True

    def _start_all(self) -> None:
        self._runtime.count(Reason.NEEDED, len(self.legs))
        self._runtime.hedges.earn(len(self.legs))
        self._runtime.canaries.earn(len(self.legs))
        self._runtime.retries.earn(len(self.legs))
        for leg in self.legs:
            self._start(leg, Reason.PRIMARY)

    async def _step(self) -> None:
        next_due = self._due[0][0] if self._due else self._job.deadline
        next_due = min(next_due, self._canaries_at, self._job.deadline)
        items = await self._mailbox.take_until(next_due)
        for leg, attempt, exchange, verdict in items:
            self._take(leg, attempt, exchange, verdict)
        now = self._timers.now()
        if now >= self._canaries_at:
            self._canaries_at = self._job.deadline
            self._send_canaries()
        while self._due and self._due[0][0] <= now:
            _, _, leg, reason = heapq.heappop(self._due)
            self._run_due(leg, reason)

    def _start(self, leg: Leg, reason: Reason) -> bool:
        """Send the leg to the best server not tried; return whether one was there."""
        if self._quarantine.holds(self._job.fingerprint, leg.service):
            self._resolve(leg, NotRun(Cause.QUARANTINED))
            return False
        server = self._runtime.choose(leg.service, frozenset(leg.tried))
        if server is None:
            if reason in (Reason.PRIMARY, Reason.RETRY):
                self._wait_for_server(leg)
            return False
        self._send(leg, server, reason)
        return True

    def _send(self, leg: Leg, server: Server, reason: Reason) -> None:
        leg.tried.add(server.upstream.name)
        sub = SubRequest(
            self._job.request,
            "GET",
            leg.target,
            self._job.deadline,
            snapshot=self._job.snapshot,
        )
        self._schedule_hedge(leg, server)
        attempt = Attempt(server, reason)
        exchange = server.send(
            sub,
            lambda _, e, v: self._mailbox.put((leg, attempt, e, v)),
            is_fresh=reason is Reason.CANARY,
        )
        if not exchange.is_done:
            leg.open[exchange] = attempt

    def _wait_for_server(self, leg: Leg) -> None:
        """Try the tried servers again after a pause, or give the leg up."""
        if not self._runtime.has_server(leg.service):
            self._resolve(leg, leg.last_failure or NotRun(Cause.NO_UPSTREAM))
            return
        if leg.open:
            return
        leg.tried.clear()
        self._schedule(leg.retry_pause, leg, Reason.RETRY)
        leg.retry_pause *= 2

    def _schedule(self, delay: float, leg: Leg, reason: Reason) -> None:
        when = self._timers.now() + delay
        heapq.heappush(self._due, (when, next(self._order), leg, reason))

    def _schedule_hedge(self, leg: Leg, server: Server) -> None:
        if leg.has_hedged:
            return
        floor = self._runtime.config.policy.hedge_floor
        bound = server.latency.bound or UNKNOWN_LATENCY_SECONDS
        self._schedule(max(floor, bound), leg, Reason.HEDGE)

    def _run_due(self, leg: Leg, reason: Reason) -> None:
        if leg.verdict is not None or leg.is_held:
            return
        if reason is Reason.HEDGE:
            self._hedge(leg)
        elif not leg.open:
            self._retry(leg)

    def _hedge(self, leg: Leg) -> None:
        """Send the leg to a second server.

        While no leg has an answer, nothing shows that this one straggles: the host
        may be stalled, or the request may crash its servers. The hedge then waits
        for the first answer.
        """
        if not self._answers and len(self.legs) > 1:
            self._deferred_hedges.append(leg)
            return
        if leg.has_hedged or not leg.open or not self._runtime.hedges.spend():
            return
        leg.has_hedged = True
        if self._start(leg, Reason.HEDGE):
            self._record(EventKind.HEDGE, leg.service)

    def _send_canaries(self) -> None:
        """Try new connections for the legs whose old ones may have gone silent.

        Two suffice while no server has answered at all: if they are answered, every
        old connection is closed. A server whose slots this host alone fills is slow
        for that reason, and gets none.
        """
        late = [leg for leg in self.legs if leg.verdict is None and leg.open]
        if not self._answers:
            late = late[:CANARIES]
        for leg in late:
            suspect = next(iter(leg.open.values())).server
            if suspect.in_flight > suspect.service.slots:
                continue
            if not self._runtime.canaries.spend():
                return
            self._send(leg, suspect, Reason.CANARY)

    def _drop_silent(self, server: Server) -> None:
        """Close the connections that stayed unheard while a new one answered."""
        if not self._answers:
            self._runtime.drop_unheard(self._started_at)
        server.pool.drop_unheard(self._started_at)

    def _retry(self, leg: Leg) -> None:
        is_free = leg.last_failure and leg.last_failure.cause in _FREE_TO_RETRY
        if not is_free and not self._runtime.retries.spend():
            self._resolve(leg, leg.last_failure or NotRun(Cause.OVERLOAD))
            return
        if self._start(leg, Reason.RETRY):
            self._record(EventKind.RETRY, leg.service)

    def _take(
        self, leg: Leg, attempt: Attempt, exchange: Exchange, verdict: Verdict
    ) -> None:
        leg.open.pop(exchange, None)
        self._count_sent(attempt, exchange)
        if leg.verdict is not None:
            return
        if isinstance(verdict, Ran):
            if attempt.reason is Reason.CANARY:
                self._drop_silent(attempt.server)
            self._clear_suspicion(leg)
            cause = self._accept(leg, verdict.answer)
            if cause is None:
                self._resolve(leg, verdict)
                return
            verdict = NotRun(cause)
        self._fail_attempt(leg, attempt.server, verdict)

    def _fail_attempt(self, leg: Leg, server: Server, verdict: Verdict) -> None:
        if leg.last_failure is None or verdict.cause is not Cause.DEADLINE:
            leg.last_failure = verdict
        self._runtime.context.metrics.attempts_failed.labels(
            self._runtime.name, verdict.cause
        ).inc()
        self._record(
            EventKind.ATTEMPT_FAILED, f"{server.upstream.name} {verdict.cause}"
        )
        if verdict == MayHaveRun(Cause.RESET):
            self._strike(leg, server)
        if leg.verdict is None and not leg.open and not leg.is_held:
            self._retry(leg)
        self._settle_held()

    def _strike(self, leg: Leg, server: Server) -> None:
        """Suspect the request of the crash until another server answers it."""
        name = server.upstream.name
        job = self._job
        self._quarantine.strike(Strike(job.fingerprint, leg.service, name))
        if self._answers or len(self.legs) == 1:
            return
        self._quarantine.strike(Strike(job.fingerprint, EVERY_SERVICE, name))
        leg.is_held = True

    def _settle_held(self) -> None:
        """End or retry once every leg without a verdict is held on suspicion."""
        waiting = [leg for leg in self.legs if leg.verdict is None]
        if not waiting or not all(leg.is_held for leg in waiting):
            return
        if self._quarantine.holds(self._job.fingerprint):
            self._record(EventKind.QUARANTINED, self._job.fingerprint)
            self.stop()
        else:
            self._retry_held()

    def _clear_suspicion(self, leg: Leg) -> None:
        """Retry the legs held on suspicion, since a server answered the request."""
        self._answers += 1
        self._quarantine.clear(self._job.fingerprint, leg.service)
        if self._answers == 1:
            self._quarantine.clear(self._job.fingerprint, EVERY_SERVICE)
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

    def _resolve(self, leg: Leg, verdict: Verdict) -> None:
        if leg.verdict is not None:
            return
        leg.verdict = verdict
        self._pending -= 1
        self._cancel_open(leg)

    def _cancel_open(self, leg: Leg) -> None:
        """Cancel the attempts under way where a connection can be had to say so.

        A new connection is not wasted: the next request needs it while the old one
        waits for the answer.
        """
        for exchange, attempt in leg.open.items():
            self._count_sent(attempt, exchange)
            server = attempt.server
            was_sent = exchange.is_sent
            server.abandon(exchange)
            if was_sent and server.pool.has_room:
                self._runtime.count(Reason.CANCEL)
                server.pool.submit(Exchange(self._cancel_request(), _ignore))
        leg.open.clear()

    def _count_sent(self, attempt: Attempt, exchange: Exchange) -> None:
        if exchange.is_sent:
            self._runtime.count(attempt.reason)

    def _cancel_request(self) -> SubRequest:
        return SubRequest(
            f"{self._job.request}.cancel",
            "POST",
            cancel_target(self._job.request),
            self._timers.now() + CANCEL_DEADLINE_SECONDS,
        )

    def _end(self) -> None:
        self._mailbox.close()
        is_quarantined = self._quarantine.holds(self._job.fingerprint)
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
            request=self._job.request,
            deployment=self._runtime.name,
            detail=detail,
        )


def _ignore(exchange: Exchange, verdict: Verdict) -> None:
    """Drop the verdict of a cancellation."""
