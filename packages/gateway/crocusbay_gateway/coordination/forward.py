"""Forwarding of a request to one server of a service, with retries and a hedge."""

from dataclasses import replace

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.attempt import (
    CONNECT_WAIT_SECONDS,
    Attempt,
    AttemptFactory,
    AttemptHistory,
    RouteLatency,
)
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.planned_stop import PlannedStop
from crocusbay_gateway.coordination.refusal import reply_to_failure
from crocusbay_gateway.coordination.request_handler import RequestHandler
from crocusbay_gateway.protocol import forwardable_headers
from crocusbay_gateway.state import CallerRequest, Reply, Route, ServerResponse

# Statuses by which replies of this system state that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Includes attempts that a server rejected; `Route.max_attempts` does not count them.
MAX_ATTEMPTS = 4
# Delay before a rejected request is retried if no server or budget is available.
RETRY_PAUSE_SECONDS = 0.05
# With less than this share of the median latency left, a retry would only add load.
MIN_REMAINING_SHARE_OF_MEDIAN = 0.5
# A request waits this long at most for the limits of its servers.
MAX_LIMIT_WAIT_SHARE_OF_GOAL = 0.25
# Share of the retry budget available to hedges; the rest is reserved for retries.
HEDGE_BUDGET_SHARE = 0.6


class ForwardHandler(RequestHandler[Reply]):
    """Send to one server, and to others while a retry or hedge is permitted."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        service: str,
        latency: RouteLatency,
        give_up_at: float,
    ) -> None:
        super().__init__(context, request, latency)
        self.retries = 0
        self.hedges = 0
        self._request = request
        self._route = route
        self._service = service
        self._give_up_at = give_up_at
        self._attempt_factory = AttemptFactory(
            context, request, route, latency, give_up_at, self._crashes
        )
        self._in_flight: list[Attempt] = []
        self._history = AttemptHistory()
        self._failure: Verdict | None = None
        self._failed_response: ServerResponse | None = None

    @property
    def may_be_interrupted(self) -> bool:
        """Return whether the request may be repeated or reached no server."""
        return self._route.is_idempotent or not (
            self._history.has_reached_server
            or any(attempt.is_sent for attempt in self._in_flight)
        )

    def start_leaving(self, planned_stop: PlannedStop) -> None:
        """Reply by the time at which this host answers what is still in progress."""
        self._planned_stop = planned_stop
        if planned_stop.answer_by <= self._give_up_at:
            self._give_up_at = planned_stop.answer_by
            self._give_up_cause = Cause.HOST_LEAVING
            self._call_at(self._give_up_at, self._give_up)

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that explain how the reply came about."""
        return {
            "service": self._service,
            "sends": self._history.attempt_count,
            "hedges": self.hedges,
            "retries": self.retries,
            "crashed": self._crashes.servers,
        }

    def _start(self) -> None:
        now = self._now()
        self._context.registry.retry_budget(self._service).record_request(now)
        self._call_at(self._give_up_at, self._give_up)
        if not self._send("first"):
            self._wait_for_limit()
            return
        self._call_at(now + self._latency.hedge_delay, self._handle_late_attempt)

    def _wait_for_limit(self) -> None:
        """Wait if a server may soon get the request, else refuse it."""
        delay = self._context.registry.send_delay(
            self._service, is_urgent=self._route.is_urgent
        )
        max_delay = MAX_LIMIT_WAIT_SHARE_OF_GOAL * self._route.latency_goal
        if 0.0 < delay <= max_delay:
            self._call_at(self._now() + delay, self._send_after_wait)
        else:
            self._fail(self._unusable_verdict())

    def _send_after_wait(self) -> None:
        if self._send("first"):
            late_at = self._now() + self._latency.hedge_delay
            self._call_at(late_at, self._handle_late_attempt)
        else:
            self._fail(self._unusable_verdict())

    def _unusable_verdict(self) -> NotRun:
        """Return why no server may receive the request."""
        registry = self._context.registry
        if self._crashes.is_quarantined():
            return NotRun(Cause.QUARANTINED)
        if not registry.has_server(self._service):
            return NotRun(Cause.NO_UPSTREAM)
        if registry.send_delay(self._service, is_urgent=self._route.is_urgent):
            return NotRun(Cause.SERVER_LIMIT, registry.reserve_return(self._service))
        return NotRun(Cause.OVERLOAD)

    def _send(self, reason: str) -> bool:
        """Send to the best remaining server; return False if none is usable.

        A host that leaves sends only what is likely to end before.
        """
        if self._planned_stop is not None and not self._planned_stop.accepts(
            self._now(),
            self._latency.expected_time,
            is_idempotent=self._route.is_idempotent,
        ):
            return False
        attempt = self._attempt_factory.create_attempt(
            self._history,
            self._service,
            reason,
            HEDGE_BUDGET_SHARE if reason == "hedge" else 1.0,
            self._handle_verdict,
        )
        if attempt is None:
            return False
        self._in_flight.append(attempt)
        attempt.send()
        return True

    def _handle_late_attempt(self) -> None:
        """Retry if the request still waits for a connection; hedge if it was sent."""
        if len(self._in_flight) != 1:
            return
        (attempt,) = self._in_flight
        if attempt.is_connect_overdue:
            self._in_flight.clear()
            attempt.cancel_unsent()
            self._history.record_end(attempt, may_have_run=False)
            self._failure = self._failure or NotRun(Cause.CONNECT_FAILED)
            self._retry()
            return
        if not attempt.is_sent:
            self._call_at(self._now() + CONNECT_WAIT_SECONDS, self._handle_late_attempt)
            return
        self._history.has_reached_server = True
        may_hedge = self._route.is_idempotent and self._route.max_attempts > 1
        if may_hedge and self._send("hedge"):
            self.hedges += 1

    def _handle_verdict(self, attempt: Attempt, verdict: Verdict) -> None:
        if attempt in self._in_flight:
            self._in_flight.remove(attempt)
        self._history.record_end(attempt, may_have_run=not isinstance(verdict, NotRun))
        if self._is_done:
            return
        if isinstance(verdict, Ran):
            self._handle_response(attempt, verdict.response)
        else:
            self._handle_failure(attempt, verdict)

    def _handle_response(self, attempt: Attempt, response: ServerResponse) -> None:
        if response.is_success and not response.signature:
            failure = MayHaveRun(Cause.PROTOCOL, detail="success without a signature")
            self._handle_failure(attempt, failure)
            return
        if response.status < 500:
            self._finish(self._make_reply_from_response(response))
            return
        self._failed_response = response
        self._handle_failure(
            attempt, MayHaveRun(Cause.PROTOCOL, detail=f"status {response.status}")
        )

    def _handle_failure(self, attempt: Attempt, verdict: Verdict) -> None:
        self._attempt_factory.log_failure(self._service, attempt, verdict)
        if self._failure is None or isinstance(verdict, MayHaveRun):
            self._failure = verdict
        if self._in_flight:
            return
        may_retry = self._route.is_idempotent or isinstance(verdict, NotRun)
        if (
            not may_retry
            or self._is_too_late_to_retry()
            or self._history.attempt_count >= MAX_ATTEMPTS
        ):
            self._fail(self._failure)
        else:
            self._retry()

    def _is_too_late_to_retry(self) -> bool:
        """Return whether another attempt is unlikely to finish in time."""
        remaining_time = self._give_up_at - self._now()
        return (
            remaining_time < MIN_REMAINING_SHARE_OF_MEDIAN * self._latency.median.value
        )

    def _retry(self) -> None:
        if self._send("retry"):
            self.retries += 1
        elif isinstance(self._failure, NotRun) and self._context.registry.has_server(
            self._service
        ):
            self._call_at(self._now() + RETRY_PAUSE_SECONDS, self._retry_after_pause)
        else:
            self._fail(self._failure)

    def _retry_after_pause(self) -> None:
        if self._send("retry"):
            self.retries += 1
        else:
            self._fail(self._with_return_time(self._failure))

    def _with_return_time(self, failure: Verdict) -> Verdict:
        """Return the failure with when a server may be sent to, if that is known."""
        registry = self._context.registry
        if not isinstance(failure, NotRun) or not registry.send_delay(
            self._service, is_urgent=self._route.is_urgent
        ):
            return failure
        return replace(failure, retry_after=registry.reserve_return(self._service))

    def _give_up(self) -> None:
        if self._in_flight and any(
            attempt.exchange.is_sent for attempt in self._in_flight
        ):
            self._fail(MayHaveRun(self._give_up_cause))
        else:
            self._fail(self._failure or NotRun(Cause.NO_CONNECTION))

    def _fail(self, verdict: Verdict) -> None:
        if self._failed_response is not None and isinstance(verdict, MayHaveRun):
            self._finish(self._make_reply_from_response(self._failed_response))
            return
        self._finish(reply_to_failure(verdict, self._give_up_at - self._now()))

    def _make_reply_from_response(self, response: ServerResponse) -> Reply:
        """Return the reply that forwards a server's response.

        A status in `NOT_EXECUTED_STATUSES` becomes a 502, as the server did not
        state that the request was not executed.
        """
        if response.status in NOT_EXECUTED_STATUSES:
            return reply_to_failure(MayHaveRun(Cause.PROTOCOL), 0.0)
        outcome = (
            "complete" if response.is_success else f"server status {response.status}"
        )
        return Reply(
            response.status,
            forwardable_headers(list(response.headers), frozenset()),
            response.body,
            reason=response.reason,
            outcome=outcome,
        )

    def _open_attempts(self) -> list[Attempt]:
        return list(self._in_flight)

    def _abandon_attempts(self, *, immediately: bool) -> None:
        for attempt in self._in_flight:
            if self._route.is_idempotent or not attempt.exchange.is_sent:
                attempt.abandon(immediately=immediately)
        self._in_flight.clear()

    def _make_reply(self, reply: Reply) -> Reply:
        return reply
