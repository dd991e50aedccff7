"""Attempts: single sends of a request to one server, and their latency estimates."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.crash_monitor import RequestCrashes
from crocusbay_gateway.coordination.quantile import QuantileEstimate
from crocusbay_gateway.coordination.registry import Registry, Server
from crocusbay_gateway.protocol import encode_server_request
from crocusbay_gateway.state import CallerRequest, Route, format_revision
from crocusbay_gateway.transport.server_connection import Exchange

# Initial estimate of the median latency, as a share of the route's latency goal.
INITIAL_MEDIAN_SHARE_OF_GOAL = 0.15
HEDGE_QUANTILE = 0.92
# Hedging before this share of the goal would mostly repeat healthy requests.
MIN_HEDGE_DELAY_SHARE = 0.12
MAX_HEDGE_DELAY_SHARE = 0.55
# Two round trips to the nearest data centre plus the server's accept time.
CONNECT_WAIT_SECONDS = 0.05
# An attempt is late after this multiple of the median latency, even if many others are.
LATE_MEDIAN_MULTIPLE = 2.2
# Share of the slowest latency that is kept with each further sample.
SLOWEST_DECAY = 0.99
# An abandoned attempt may occupy its server for at most this long.
ABANDONED_ATTEMPT_GRACE_SECONDS = 0.3


class RouteLatency:
    """Estimate a route's median attempt latency and its hedge delay (seconds)."""

    def __init__(self, goal: float) -> None:
        self._goal = goal
        self._slowest = 0.0
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
        upper_bound = max(
            self.high_quantile.min_value, LATE_MEDIAN_MULTIPLE * self.median.value
        )
        return min(upper_bound, self.high_quantile.value)

    @property
    def expected_time(self) -> float:
        """Return the time in which a request is likely to end (seconds)."""
        return max(self._goal, self._slowest)

    def add_sample(self, elapsed: float) -> None:
        """Add the latency of a first attempt that finished or was abandoned."""
        self._slowest = max(elapsed, SLOWEST_DECAY * self._slowest)
        self.median.add_sample(elapsed)
        self.high_quantile.add_sample(elapsed)


class AttemptHistory:
    """Record the servers to which one request or sub-request was sent."""

    __slots__ = (
        "attempt_count",
        "has_reached_server",
        "_in_flight",
        "_may_have_run_on",
        "_rejected_by",
    )

    def __init__(self) -> None:
        self.attempt_count = 0
        # Further attempts consume the retry budget only once a server has received the
        # request.
        self.has_reached_server = False
        self._in_flight: set[str] = set()
        self._may_have_run_on: set[str] = set()
        self._rejected_by: set[str] = set()

    def choose_server(
        self, registry: Registry, service: str, max_servers: int, *, is_urgent: bool
    ) -> Server | None:
        """Return the next server, so that at most `max_servers` may run the request.

        Servers that have not received it are preferred, then those that rejected it,
        then those that may have run it.
        """
        excluded = self._may_have_run_on | self._in_flight
        if len(excluded) < max_servers:
            server = registry.choose_server(
                service, excluded | self._rejected_by, is_urgent=is_urgent
            ) or registry.choose_server(service, excluded, is_urgent=is_urgent)
            if server is not None:
                return server
        may_be_repeated = self._may_have_run_on - self._in_flight
        return (
            registry.choose_server(service, only=may_be_repeated, is_urgent=is_urgent)
            if may_be_repeated
            else None
        )

    def record_send(self, server: Server) -> None:
        """Record that the request was sent to a server."""
        self.attempt_count += 1
        self._in_flight.add(server.entry.name)

    def record_end(self, attempt: "Attempt", *, may_have_run: bool) -> None:
        """Record an attempt's end and whether the server may have run the request."""
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
        "_crashes",
        "_latency",
        "_on_verdict",
        "_started_at",
    )

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        server: Server,
        latency: RouteLatency,
        give_up_at: float,
        on_verdict: Callable[["Attempt", Verdict], None],
        crashes: RequestCrashes,
        *,
        is_extra: bool,
    ) -> None:
        self.server = server
        self.is_extra = is_extra
        self._context = context
        self._crashes = crashes
        self._latency = latency
        self._on_verdict = on_verdict
        now = context.timers.now()
        self._started_at = now

        def encode() -> bytes:
            remaining_time = give_up_at - context.timers.now()
            return encode_server_request(
                request, context.conventions, server.entry.name, remaining_time
            )

        self.exchange = Exchange(
            request.attempt_id.encode("latin-1"),
            encode,
            give_up_at,
            self._finish,
            needs_fresh_connection=not route.is_idempotent,
        )
        overdue_at = now + 2 * latency.hedge_delay
        server.health.record_sent(self.exchange, overdue_at)
        server.listener_by_exchange[self.exchange] = self._handle_server_end

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
            median = self._latency.median.value
            self.server.health.record_result(
                NotRun(Cause.CONNECT_FAILED), 0.0, median, now
            )
        self._cancel()

    def send(self) -> None:
        """Submit the request to the server's connection pool."""
        self._context.registry.reachability.record_attempt(self._started_at)
        self.server.pool.submit(self.exchange)

    @property
    def is_merged_by_relay(self) -> bool:
        """Return whether a relay compares the response with those of other shards."""
        return bool(self.exchange.relay) and not self.is_extra

    def abandon(self, *, immediately: bool) -> None:
        """Cancel immediately or after a grace period.

        The response is ignored, except that of an attempt merged by a relay.
        """
        exchange = self.exchange
        if exchange.is_done:
            return
        now = self._context.timers.now()
        if exchange.is_sent:
            elapsed = now - exchange.sent_at
            median = self._latency.median.value
            self.server.health.record_wait(elapsed, median, now)
        channel = exchange.channel
        is_running = channel is not None and channel.current_exchange is exchange
        if immediately or not is_running:
            if is_running and now - exchange.sent_at >= self._latency.hedge_delay:
                # The server may have crashed in silence, which no verdict will show.
                self._observe_crash(MayHaveRun(Cause.SILENT))
            self._cancel()
            return
        # The attempt counts towards the server's load until it ends or is cancelled.
        if not self.is_merged_by_relay:
            exchange.replace_callback(self._finish_abandoned)
        self._context.timers.at(
            now + ABANDONED_ATTEMPT_GRACE_SECONDS, self._cancel_after_grace
        )

    def _cancel_after_grace(self) -> None:
        """Cancel an abandoned attempt that has no response after its grace period."""
        if self.exchange.is_done:
            return
        self._observe_crash(MayHaveRun(Cause.SILENT))
        now = self._context.timers.now()
        self.server.health.record_result(
            MayHaveRun(Cause.SILENT), 0.0, self._latency.median.value, now
        )
        self._cancel()

    def _cancel(self) -> None:
        exchange = self.exchange
        if not exchange.is_done and exchange.is_sent and not self.is_extra:
            self._latency.add_sample(self._context.timers.now() - exchange.sent_at)
        exchange.is_done = True
        self._record_finished(exchange)
        channel = exchange.channel
        if channel is not None and channel.current_exchange is exchange:
            channel.close()

    def suspect_if_overdue(self, hedge_delays: float) -> None:
        """Suspect a crash if there has been no response for so many hedge delays."""
        exchange = self.exchange
        if not exchange.is_sent or exchange.is_done:
            return
        elapsed = self._context.timers.now() - exchange.sent_at
        if elapsed >= hedge_delays * self._latency.hedge_delay:
            self._crashes.suspect(self.server, exchange.sent_at)

    def _finish(self, exchange: Exchange, verdict: Verdict) -> None:
        self._note_response(verdict)
        verdict = self._interpret_response(verdict)
        self._record_verdict(exchange, verdict)
        self._on_verdict(self, verdict)

    def _finish_abandoned(self, exchange: Exchange, verdict: Verdict) -> None:
        self._note_response(verdict)
        self._record_verdict(exchange, self._interpret_response(verdict))

    def _record_verdict(self, exchange: Exchange, verdict: Verdict) -> None:
        """Update the health of the server and the latency of the route."""
        self._record_finished(exchange)
        self._observe_crash(verdict)
        now = self._context.timers.now()
        elapsed = exchange.elapsed(now)
        self.server.health.record_result(
            verdict, elapsed, self._latency.median.value, now
        )
        if not self.is_extra and isinstance(verdict, Ran):
            self._latency.add_sample(elapsed)

    def _note_response(self, verdict: Verdict) -> None:
        if isinstance(verdict, Ran):
            self.server.responded_at = self._context.timers.now()

    def _record_finished(self, exchange: Exchange) -> None:
        self.server.health.record_finished(exchange)
        self.server.listener_by_exchange.pop(exchange, None)

    def _handle_server_end(self) -> None:
        if self.exchange.is_sent:
            self._crashes.suspect_end(self.server, self.exchange.sent_at)

    def _observe_crash(self, verdict: Verdict) -> None:
        """Record whether the server crashed under the request or ran it to its end.

        A connection may also be reset, or remain silent, while the server runs on.
        """
        match verdict:
            case Ran(response) if response.is_success and response.signature:
                self._crashes.record_response(self.server.entry.service)
            case Ran():
                self._crashes.record_failure(self.server)
            case MayHaveRun(Cause.RESET):
                self._crashes.suspect_reset(self.server, self.exchange.sent_at)
            case MayHaveRun(Cause.SILENT):
                self._crashes.suspect_silence(self.server, self.exchange.sent_at)

    def _interpret_response(self, verdict: Verdict) -> Verdict:
        """Return the verdict, or `NotRun` if the response states that nothing ran."""
        if isinstance(verdict, NotRun) and verdict.retry_after and self.exchange.relay:
            self._context.server_statements.record_relayed_rest(
                self.server, verdict.retry_after
            )
            # When the request may be sent depends on the other servers too.
            return replace(verdict, retry_after=0.0)
        if not isinstance(verdict, Ran):
            return verdict
        response = verdict.response
        conventions = self._context.conventions
        if response.status == conventions.wrong_server_status:
            return NotRun(Cause.LEAVING)
        # A relay returns only the records and the signature of a response.
        if not self.exchange.relay:
            now = self._context.timers.now()
            self._context.registry.reachability.record_response(now)
        not_run_header = conventions.not_run.lower()
        if any(name.lower() == not_run_header for name, _ in response.headers):
            return NotRun(Cause.SHED, detail=f"status {response.status}")
        return verdict


@dataclass(frozen=True, slots=True)
class AttemptFactory:
    """Create the attempts of one request: first sends, retries and hedges."""

    context: Context
    request: CallerRequest
    route: Route
    latency: RouteLatency
    give_up_at: float
    crashes: RequestCrashes

    def create_attempt(
        self,
        history: AttemptHistory,
        service: str,
        reason: str,
        budget_share: float,
        on_verdict: Callable[[Attempt, Verdict], None],
    ) -> Attempt | None:
        """Return an attempt on the best remaining server, or None if there is none.

        Once a server has received the request, each further attempt consumes the retry
        budget, and None is also returned if `budget_share` of it is used up.
        """
        if self.crashes.is_quarantined():
            return None
        registry = self.context.registry
        server = history.choose_server(
            registry, service, self.route.max_attempts, is_urgent=self.route.is_urgent
        )
        if server is None:
            return None
        now = self.context.timers.now()
        budget = registry.retry_budget(service)
        if history.has_reached_server and not budget.try_spend(now, budget_share):
            return None
        history.record_send(server)
        self.context.metrics.attempts.inc(reason)
        self.context.server_statements.record_send(
            server, reason, self.request.attempt_id
        )
        return Attempt(
            self.context,
            self.request,
            self.route,
            server,
            self.latency,
            self.give_up_at,
            on_verdict,
            self.crashes,
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
            entry_revision=format_revision(entry.revision),
            cause=verdict.cause,
            detail=verdict.detail,
            relay=attempt.exchange.relay,
        )
