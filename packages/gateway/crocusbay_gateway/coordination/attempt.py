"""Attempts: single sends of a request to a server, and their effect on estimates."""

from collections.abc import Callable
from dataclasses import dataclass

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.quantile import QuantileEstimate
from crocusbay_gateway.coordination.registry import Registry, Server
from crocusbay_gateway.protocol import encode_server_request
from crocusbay_gateway.state import CallerRequest, Route
from crocusbay_gateway.transport.server_connection import Exchange

# Initial estimate of the median latency, as a share of the route's latency goal.
INITIAL_MEDIAN_SHARE_OF_GOAL = 0.15
HEDGE_QUANTILE = 0.92
# Hedging before this share of the goal would mostly repeat healthy requests.
MIN_HEDGE_DELAY_SHARE = 0.12
MAX_HEDGE_DELAY_SHARE = 0.55
# Two round trips to the nearest data centre plus the server's accept time.
CONNECT_WAIT_SECONDS = 0.05
# An attempt is late after this multiple of the median, even if many others are too.
LATE_MEDIAN_MULTIPLE = 2.2
# An abandoned attempt may occupy its server for at most this long.
ABANDONED_ATTEMPT_GRACE_SECONDS = 0.3


class RouteLatency:
    """Estimate a route's median attempt latency and its hedge delay (seconds)."""

    def __init__(self, goal: float) -> None:
        median = INITIAL_MEDIAN_SHARE_OF_GOAL * goal
        self.median = QuantileEstimate(0.5, median)
        self.high_quantile = QuantileEstimate(
            HEDGE_QUANTILE,
            2 * median,
            min_value=MIN_HEDGE_DELAY_SHARE * goal,
            max_value=MAX_HEDGE_DELAY_SHARE * goal,
        )

    @property
    def hedge_delay(self) -> float:
        """Return the time after which an attempt is late (seconds)."""
        bound = max(
            self.high_quantile.min_value, LATE_MEDIAN_MULTIPLE * self.median.value
        )
        return min(bound, self.high_quantile.value)

    def add_sample(self, elapsed: float) -> None:
        """Add the latency of a first attempt that finished or was abandoned."""
        self.median.add_sample(elapsed)
        self.high_quantile.add_sample(elapsed)


class AttemptHistory:
    """Record the servers that one request, or one shard's part of it, was sent to."""

    __slots__ = (
        "sends",
        "has_reached_server",
        "_in_flight",
        "_may_have_run_on",
        "_rejected_by",
    )

    def __init__(self) -> None:
        self.sends = 0
        # A further send counts as an extra only after a server received the request.
        self.has_reached_server = False
        self._in_flight: set[str] = set()
        self._may_have_run_on: set[str] = set()
        self._rejected_by: set[str] = set()

    def choose_server(
        self, registry: Registry, service: str, max_servers: int
    ) -> Server | None:
        """Return the next server, so that at most `max_servers` may run the request.

        Servers that have not received it are preferred, then those that rejected it,
        then those that may have run it.
        """
        excluded = self._may_have_run_on | self._in_flight
        if len(excluded) < max_servers:
            server = registry.choose_server(service, excluded | self._rejected_by)
            server = server or registry.choose_server(service, excluded)
            if server is not None:
                return server
        repeatable = self._may_have_run_on - self._in_flight
        return registry.choose_server(service, only=repeatable) if repeatable else None

    def record_send(self, server: Server) -> None:
        """Record that the request was sent to a server."""
        self.sends += 1
        self._in_flight.add(server.entry.name)

    def record_end(self, attempt: "Attempt", *, may_have_run: bool) -> None:
        """Record that an attempt ended and whether its server may have run it."""
        name = attempt.server.entry.name
        self._in_flight.discard(name)
        self.has_reached_server |= attempt.is_sent
        if may_have_run:
            self._may_have_run_on.add(name)
        else:
            self._rejected_by.add(name)


class Attempt:
    """Send one request to one server and report its verdict exactly once."""

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
        timing: RouteLatency,
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
            request.attempt_id.encode("latin-1"),
            encode,
            give_up_at,
            self._finish,
            needs_fresh_connection=not route.is_idempotent,
        )
        overdue_at = now + 2 * timing.hedge_delay
        server.health.record_sent(self.exchange, overdue_at)

    @property
    def is_sent(self) -> bool:
        """Return whether the request was sent, not still waiting for a connection."""
        return self.exchange.is_sent

    @property
    def age(self) -> float:
        """Return the time since the attempt was created (seconds)."""
        return self._context.timers.now() - self._started_at

    @property
    def is_connect_overdue(self) -> bool:
        """Return whether the wait for a connection exceeds the handshake time."""
        return not self.is_sent and self.age >= CONNECT_WAIT_SECONDS

    def cancel_unsent(self) -> None:
        """Cancel a request that is still waiting for a connection to its server."""
        if not self.server.pool.has_connection:
            now = self._context.timers.now()
            median = self._timing.median.value
            self.server.health.record_result(
                NotRun(Cause.CONNECT_FAILED), 0.0, median, now
            )
        self._cancel()

    def send(self) -> None:
        """Submit the request to the server's connection pool."""
        self.server.pool.submit(self.exchange)

    def abandon(self, *, immediately: bool) -> None:
        """Ignore the answer; cancel at once if urgent, else after a grace period."""
        exchange = self.exchange
        if exchange.is_done:
            return
        now = self._context.timers.now()
        if exchange.is_sent:
            elapsed = now - exchange.sent_at
            median = self._timing.median.value
            self.server.health.record_wait(elapsed, median, now)
        connection = exchange.channel
        is_running = connection is not None and connection.current_exchange is exchange
        if immediately or not is_running:
            self._cancel()
            return
        # Counts towards the server's load until it answers or is cancelled.
        exchange.replace_callback(self._finish_abandoned)
        self._context.timers.at(
            now + ABANDONED_ATTEMPT_GRACE_SECONDS, self._cancel_silent
        )

    def _cancel_silent(self) -> None:
        """Cancel an abandoned attempt that is unanswered after its grace period."""
        if self.exchange.is_done:
            return
        now = self._context.timers.now()
        self.server.health.record_result(
            MayHaveRun(Cause.SILENT), 0.0, self._timing.median.value, now
        )
        self._cancel()

    def _cancel(self) -> None:
        exchange = self.exchange
        if not exchange.is_done and exchange.is_sent and not self.is_extra:
            self._timing.add_sample(self._context.timers.now() - exchange.sent_at)
        exchange.is_done = True
        self.server.health.record_finished(exchange)
        connection = exchange.channel
        if connection is not None and connection.current_exchange is exchange:
            connection.close()

    def _finish(self, exchange: Exchange, verdict: Verdict) -> None:
        self.server.health.record_finished(exchange)
        verdict = self._detect_not_run(verdict)
        now = self._context.timers.now()
        elapsed = exchange.elapsed(now)
        self.server.health.record_result(
            verdict, elapsed, self._timing.median.value, now
        )
        if not self.is_extra and isinstance(verdict, Ran):
            self._timing.add_sample(elapsed)
        self._on_verdict(self, verdict)

    def _finish_abandoned(self, exchange: Exchange, verdict: Verdict) -> None:
        self.server.health.record_finished(exchange)
        verdict = self._detect_not_run(verdict)
        now = self._context.timers.now()
        elapsed = exchange.elapsed(now)
        self.server.health.record_result(
            verdict, elapsed, self._timing.median.value, now
        )
        if not self.is_extra and isinstance(verdict, Ran):
            self._timing.add_sample(elapsed)

    def _detect_not_run(self, verdict: Verdict) -> Verdict:
        """Return the verdict, or `NotRun` if the answer states that nothing ran."""
        if not isinstance(verdict, Ran):
            return verdict
        answer = verdict.answer
        dialect = self._context.dialect
        if answer.status == dialect.wrong_server_status:
            return NotRun(Cause.LEAVING)
        not_run_header = dialect.not_run.lower()
        if any(name.lower() == not_run_header for name, _ in answer.headers):
            return NotRun(Cause.SHED, detail=f"status {answer.status}")
        return verdict


@dataclass(frozen=True, slots=True)
class AttemptFactory:
    """Create the attempts of one request: first sends, retries and hedges."""

    context: Context
    request: CallerRequest
    route: Route
    timing: RouteLatency
    give_up_at: float

    def create_attempt(
        self,
        tries: AttemptHistory,
        service: str,
        reason: str,
        budget_share: float,
        on_verdict: Callable[[Attempt, Verdict], None],
    ) -> Attempt | None:
        """Return an attempt at the best remaining server, or None without any.

        Once a server has received the request, each further attempt needs room in the
        budget of extras.
        """
        registry = self.context.registry
        server = tries.choose_server(registry, service, self.route.max_attempts)
        if server is None:
            return None
        now = self.context.timers.now()
        budget = registry.budget(service)
        if tries.has_reached_server and not budget.try_spend(now, budget_share):
            return None
        tries.record_send(server)
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
        """Count and log a failed attempt."""
        entry = attempt.server.entry
        self.context.metrics.attempt_failures.inc(verdict.cause)
        self.context.log.info(
            "attempt-failed",
            request=self.request.attempt_id,
            service=service,
            server=entry.name,
            entry_revision=entry.revision,
            cause=verdict.cause,
            detail=verdict.detail,
        )
