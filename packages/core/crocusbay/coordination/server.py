"""Upstream server: requests and health, judged by this host's observations only."""

import random
from collections.abc import Callable

from crocusbay.coordination.context import Context
from crocusbay.coordination.latency import LatencyEstimate
from crocusbay.protocol.upstream import SubRequest
from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Service, Upstream, Verdict
from crocusbay.transport import Exchange, UpstreamPool

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
DRAINING_HOLD_SECONDS = 30.0
MIN_SHED_BACKOFF_SECONDS = 0.02

_FAILURE_CAUSES = frozenset(
    {
        Cause.CONNECT_FAILED,
        Cause.RESET,
        Cause.SILENT,
        Cause.RESPONSE_MISMATCH,
        Cause.PROTOCOL,
    }
)

OnVerdict = Callable[["Server", Exchange, Verdict], None]


class Server:
    """Send sub-requests to one upstream and track its health from the verdicts."""

    def __init__(
        self,
        upstream: Upstream,
        service: Service,
        connection_limit: int,
        context: Context,
    ) -> None:
        self.upstream = upstream
        self.service = service
        self.in_flight = 0
        self.latency = LatencyEstimate()
        self.pool = UpstreamPool(
            upstream, context.place, connection_limit, context.timers, context.clock
        )
        self._now = context.timers.now
        self._failures = 0
        self._down_until = 0.0
        self._draining_until = 0.0

    @property
    def is_draining(self) -> bool:
        """Return whether the server is draining and must get no new requests."""
        return self.upstream.is_leaving or self._now() < self._draining_until

    @property
    def is_up(self) -> bool:
        """Return whether the server is outside its back-off period."""
        return self._now() >= self._down_until

    @property
    def score(self) -> float:
        """Return the expected time of one more request (seconds), lower is better."""
        queue = 1.0 + self.in_flight / self.service.slots
        return self.latency.expected(self._now()) * queue * random.uniform(0.9, 1.1)

    def send(
        self,
        sub_request: SubRequest,
        on_verdict: OnVerdict,
        *,
        on_new_connection: bool = False,
    ) -> Exchange:
        """Send a sub-request; the callback gets its verdict exactly once.

        If `on_new_connection`, the request goes out on a new connection.
        """
        exchange = Exchange(
            sub_request,
            lambda exchange, verdict: self._finish(exchange, verdict, on_verdict),
        )
        self.in_flight += 1
        if on_new_connection:
            self.pool.submit_on_new_connection(exchange)
        else:
            self.pool.submit(exchange)
        return exchange

    def abandon(self, exchange: Exchange) -> None:
        """Abandon an exchange; the time waited counts as a lower bound of latency."""
        if exchange.is_done:
            return
        if exchange.is_sent:
            now = self._now()
            self.latency.add_lower_bound(now - exchange.sent_at, now)
        exchange.abandon()
        self.in_flight -= 1
        self.pool.close_when_overdue(exchange)

    def mark_draining(self) -> None:
        """Send no new requests to the server for DRAINING_HOLD_SECONDS."""
        self._draining_until = self._now() + DRAINING_HOLD_SECONDS

    def _finish(
        self, exchange: Exchange, verdict: Verdict, on_verdict: OnVerdict
    ) -> None:
        self.in_flight -= 1
        self._update_health(exchange, verdict)
        on_verdict(self, exchange, verdict)

    def _update_health(self, exchange: Exchange, verdict: Verdict) -> None:
        match verdict:
            case Ran(response):
                self._failures = 0
                self._down_until = 0.0
                self.latency.add(self._now() - exchange.sent_at, self._now())
                if response.is_leaving:
                    self.mark_draining()
            case NotRun(Cause.DRAINING):
                self.mark_draining()
            case NotRun(Cause.SHED, retry_after):
                delay = max(MIN_SHED_BACKOFF_SECONDS, retry_after)
                self._down_until = self._now() + delay * random.uniform(0.8, 1.2)
            case NotRun(cause) | MayHaveRun(cause) if cause in _FAILURE_CAUSES:
                self._back_off()

    def _back_off(self) -> None:
        self._failures += 1
        delay = INITIAL_BACKOFF_SECONDS * 2 ** min(self._failures - 1, 10)
        delay = min(MAX_BACKOFF_SECONDS, delay) * random.uniform(0.8, 1.2)
        self._down_until = self._now() + delay
