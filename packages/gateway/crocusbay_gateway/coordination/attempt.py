"""Attempts: one request sent to one server, and what is learned from its verdict."""

from collections.abc import Callable
from dataclasses import dataclass

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.quantile import QuantileEstimate
from crocusbay_gateway.coordination.registry import Registry, Server
from crocusbay_gateway.protocol import encode_server_request
from crocusbay_gateway.state import CallerRequest, Route
from crocusbay_gateway.transport.connection import Exchange

# A first guess of the usual time of a request, as a share of its route's goal.
USUAL_SHARE_OF_GOAL = 0.15
HEDGE_QUANTILE = 0.92
# A hedge earlier than this share of the goal would mostly repeat healthy work.
LEAST_HEDGE_SHARE = 0.12
MOST_HEDGE_SHARE = 0.55
# Twice the way to the next data centre and back, and what a server takes to accept.
HANDSHAKE_SECONDS = 0.05
# Beyond this many usual times an attempt is late, however many others are late too.
LATE_USUALS = 2.2
# A request that its caller no longer waits for keeps a server at most this long.
LOSER_SECONDS = 0.3


class RouteTiming:
    """Follow the usual time of one route's attempts, and when one is late (seconds)."""

    def __init__(self, goal: float) -> None:
        usual = USUAL_SHARE_OF_GOAL * goal
        self.usual = QuantileEstimate(0.5, usual)
        self.hedge_after = QuantileEstimate(
            HEDGE_QUANTILE,
            2 * usual,
            low=LEAST_HEDGE_SHARE * goal,
            high=MOST_HEDGE_SHARE * goal,
        )

    @property
    def late_after(self) -> float:
        """Return the time after which an attempt is late."""
        bound = max(self.hedge_after.low, LATE_USUALS * self.usual.value)
        return min(bound, self.hedge_after.value)

    def add(self, elapsed: float) -> None:
        """Take the time of a first attempt, finished or given up."""
        self.usual.add(elapsed)
        self.hedge_after.add(elapsed)


class Tries:
    """Remember where one request, or one part of it, was sent."""

    __slots__ = ("sends", "has_arrived", "_open", "_run_on", "_rejected_by")

    def __init__(self) -> None:
        self.sends = 0
        # Whether a server has received it; until then no further send is an extra.
        self.has_arrived = False
        self._open: set[str] = set()
        self._run_on: set[str] = set()
        self._rejected_by: set[str] = set()

    def choose(self, registry: Registry, service: str, most: int) -> Server | None:
        """Return the server to ask next, so that at most `most` may run the request.

        A server that has not seen it goes first, then one that rejected it, then one
        that may have run it.
        """
        known = self._run_on | self._open
        if len(known) < most:
            server = registry.choose(service, known | self._rejected_by)
            server = server or registry.choose(service, known)
            if server is not None:
                return server
        again = self._run_on - self._open
        return registry.choose(service, only=again) if again else None

    def sent(self, server: Server) -> None:
        """Note a send."""
        self.sends += 1
        self._open.add(server.entry.name)

    def ended(self, attempt: "Attempt", *, may_have_run: bool) -> None:
        """Note the end of a send."""
        name = attempt.server.entry.name
        self._open.discard(name)
        self.has_arrived |= attempt.is_sent
        if may_have_run:
            self._run_on.add(name)
        else:
            self._rejected_by.add(name)


class Attempt:
    """Send one request to one server; call back once with the verdict."""

    __slots__ = (
        "server",
        "exchange",
        "is_extra",
        "_context",
        "_timing",
        "_on_verdict",
        "_started_at",
    )

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        server: Server,
        timing: RouteTiming,
        give_up_at: float,
        on_verdict: Callable[["Attempt", Verdict], None],
        *,
        is_extra: bool,
    ) -> None:
        self.server = server
        self.is_extra = is_extra
        self._context = context
        self._timing = timing
        self._on_verdict = on_verdict
        now = context.timers.now()
        self._started_at = now

        def encode() -> bytes:
            remaining = give_up_at - context.timers.now()
            return encode_server_request(
                request, context.dialect, server.entry.name, remaining
            )

        self.exchange = Exchange(
            request.attempt.encode("latin-1"),
            encode,
            give_up_at,
            self._finish,
            is_sole=not route.is_idempotent,
        )
        overdue_at = now + 2 * timing.late_after
        server.health.sent(self.exchange, overdue_at)

    @property
    def is_sent(self) -> bool:
        """Return whether the request went out, rather than wait for a connection."""
        return self.exchange.is_sent

    @property
    def age(self) -> float:
        """Return the time since the attempt was made (seconds)."""
        return self._context.timers.now() - self._started_at

    @property
    def is_stuck(self) -> bool:
        """Return whether the request has waited for longer than a handshake takes."""
        return not self.is_sent and self.age >= HANDSHAKE_SECONDS

    def withdraw(self) -> None:
        """Take back a request that still waits for a connection to its server."""
        if not self.server.pool.has_connection:
            now = self._context.timers.now()
            usual = self._timing.usual.value
            self.server.health.learn(NotRun(Cause.CONNECT_FAILED), 0.0, usual, now)
        self._cut()

    def send(self) -> None:
        """Hand the request to the server's connections."""
        self.server.pool.submit(self.exchange)

    def abandon(self, *, is_urgent: bool) -> None:
        """Stop waiting; free the server at once, or soon if it may answer by itself."""
        exchange = self.exchange
        if exchange.is_done:
            return
        now = self._context.timers.now()
        if exchange.is_sent:
            elapsed = now - exchange.sent_at
            usual = self._timing.usual.value
            self.server.health.waited(elapsed, usual, now)
        connection = exchange.connection
        is_running = connection is not None and connection.current is exchange
        if is_urgent or not is_running:
            self._cut()
            return
        # Stays part of the server's load until it answers or is cut.
        exchange.redirect(self._finish_unheard)
        self._context.timers.at(now + LOSER_SECONDS, self._cut_silent)

    def _cut_silent(self) -> None:
        """End an attempt that stayed unanswered long after it was needed."""
        if self.exchange.is_done:
            return
        now = self._context.timers.now()
        self.server.health.learn(
            MayHaveRun(Cause.SILENT), 0.0, self._timing.usual.value, now
        )
        self._cut()

    def _cut(self) -> None:
        exchange = self.exchange
        if not exchange.is_done and exchange.is_sent and not self.is_extra:
            self._timing.add(self._context.timers.now() - exchange.sent_at)
        exchange.is_done = True
        self.server.health.done(exchange)
        connection = exchange.connection
        if connection is not None and connection.current is exchange:
            connection.close()

    def _finish(self, exchange: Exchange, verdict: Verdict) -> None:
        self.server.health.done(exchange)
        verdict = self._judge(verdict)
        now = self._context.timers.now()
        elapsed = exchange.elapsed(now)
        self.server.health.learn(verdict, elapsed, self._timing.usual.value, now)
        if not self.is_extra and isinstance(verdict, Ran):
            self._timing.add(elapsed)
        self._on_verdict(self, verdict)

    def _finish_unheard(self, exchange: Exchange, verdict: Verdict) -> None:
        self.server.health.done(exchange)
        verdict = self._judge(verdict)
        now = self._context.timers.now()
        elapsed = exchange.elapsed(now)
        self.server.health.learn(verdict, elapsed, self._timing.usual.value, now)
        if not self.is_extra and isinstance(verdict, Ran):
            self._timing.add(elapsed)

    def _judge(self, verdict: Verdict) -> Verdict:
        """Return the verdict; an answer that says so means that nothing ran."""
        if not isinstance(verdict, Ran):
            return verdict
        answer = verdict.answer
        dialect = self._context.dialect
        if answer.status == dialect.wrong_server_status:
            return NotRun(Cause.LEAVING)
        not_run = dialect.not_run.lower()
        if any(name.lower() == not_run for name, _ in answer.headers):
            return NotRun(Cause.SHED, detail=f"status {answer.status}")
        return verdict


@dataclass(frozen=True, slots=True)
class Sender:
    """Prepare the sends of one request, first ones and extras alike."""

    context: Context
    request: CallerRequest
    route: Route
    timing: RouteTiming
    give_up_at: float

    def prepare(
        self,
        tries: Tries,
        service: str,
        reason: str,
        share_of_extras: float,
        on_verdict: Callable[[Attempt, Verdict], None],
    ) -> Attempt | None:
        """Return an attempt at the best server left, or None if there is none.

        One that a server may run a second time takes from the budget of extras.
        """
        registry = self.context.registry
        server = tries.choose(registry, service, self.route.max_attempts)
        if server is None:
            return None
        now = self.context.timers.now()
        budget = registry.budget(service)
        if tries.has_arrived and not budget.spend(now, share_of_extras):
            return None
        tries.sent(server)
        self.context.metrics.attempts.inc(reason)
        return Attempt(
            self.context,
            self.request,
            self.route,
            server,
            self.timing,
            self.give_up_at,
            on_verdict,
            is_extra=reason != "first",
        )

    def log_failure(self, service: str, attempt: Attempt, verdict: Verdict) -> None:
        """Count and log an attempt that failed."""
        entry = attempt.server.entry
        self.context.metrics.attempt_failures.inc(verdict.cause)
        self.context.log.info(
            "attempt-failed",
            request=self.request.attempt,
            service=service,
            server=entry.name,
            entry_revision=entry.revision,
            cause=verdict.cause,
            detail=verdict.detail,
        )
