"""Relay server: query servers in this data centre for another host and merge parts."""

from collections.abc import Callable
from dataclasses import replace

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.attempt import Attempt, AttemptFactory, RouteLatency
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.crash_monitor import RequestCrashes
from crocusbay_gateway.coordination.quarantine import request_fingerprint
from crocusbay_gateway.coordination.records import TopRecords, greatest_records
from crocusbay_gateway.coordination.request_handler import (
    MAX_TIMER_DELAY_SECONDS,
    OVERDUE_HEDGE_DELAYS,
    READING_SECONDS,
)
from crocusbay_gateway.protocol import (
    RelayCancel,
    RelayedFailure,
    RelayedPart,
    RelayQuery,
    RelayResponse,
)
from crocusbay_gateway.state import CallerRequest, Route, ServerResponse
from crocusbay_gateway.transport import FrameConnection


class RelayedQueryHandler:
    """Query the servers chosen by the requesting host, each of them once.

    Retries and hedges are left to the requesting host, which has the retry budget.
    """

    def __init__(
        self,
        context: Context,
        query: RelayQuery,
        route: Route,
        latency: RouteLatency,
        send_response: Callable[[RelayResponse], None],
        on_end: Callable[[], None],
    ) -> None:
        now = context.timers.now()
        self._context = context
        self._query = query
        self._route = route
        self._latency = latency
        self._send_response = send_response
        self._on_end = on_end
        self._give_up_at = now + query.remaining_time
        self._request = CallerRequest(
            query.attempt_id,
            query.method,
            query.target,
            query.host,
            query.headers,
            query.body,
            now,
            self._give_up_at,
            "",
        )
        self._crashes = RequestCrashes(
            context.crash_monitor,
            query.fingerprint or request_fingerprint(self._request),
            query.attempt_id,
        )
        self._attempt_factory = AttemptFactory(
            context, self._request, route, latency, self._give_up_at, self._crashes
        )
        self._in_flight: dict[int, Attempt] = {}
        self._top_records = TopRecords(query.top_k)
        self._parts: list[tuple[int, float, ServerResponse]] = []
        self._failures: list[RelayedFailure] = []
        self._is_past_flush_delay = False
        self._has_ended = False
        self._timer: Timer
        self._overdue_timer: Timer

    def start(self) -> None:
        """Send the request to each server that is available."""
        now = self._context.timers.now()
        self._timer = self._context.timers.at(
            now + self._query.flush_after, self._flush_on_timer
        )
        self._watch_overdue()
        attempts = []
        for index, sub_request in enumerate(self._query.sub_requests):
            server = self._context.registry.find_server(
                sub_request.service, sub_request.server
            )
            if server is None or server.health.is_misdirected(now):
                self._add_failure(index, NotRun(Cause.NO_UPSTREAM), is_sent=False)
                continue
            if self._crashes.is_quarantined():
                self._add_failure(index, NotRun(Cause.QUARANTINED), is_sent=False)
                continue
            if server.rest_time(now):
                failure = NotRun(Cause.SHED, server.rest_time(now))
                self._add_failure(index, failure, is_sent=False)
                continue
            attempt = Attempt(
                self._context,
                self._request,
                self._route,
                server,
                self._latency,
                self._give_up_at,
                lambda attempt, verdict, index=index: self._handle_verdict(
                    index, attempt, verdict
                ),
                self._crashes,
                is_extra=False,
            )
            self._in_flight[index] = attempt
            attempts.append(attempt)
        for attempt in attempts:
            self._context.metrics.attempts.inc("relayed")
            self._context.server_statements.record_relayed_send(
                attempt.server, self._request.attempt_id
            )
            attempt.send()
        self._flush_if_needed()

    def _watch_overdue(self) -> None:
        """Suspect crashes of servers that don't respond, until all have."""
        delay = OVERDUE_HEDGE_DELAYS * self._latency.hedge_delay
        due_at = self._context.timers.now() + delay

        def check() -> None:
            now = self._context.timers.now()
            if now < due_at + MAX_TIMER_DELAY_SECONDS:
                suspect()
            else:
                self._overdue_timer = self._context.timers.at(
                    now + READING_SECONDS, suspect
                )

        def suspect() -> None:
            if self._has_ended:
                return
            for attempt in self._in_flight.values():
                attempt.suspect_if_overdue(OVERDUE_HEDGE_DELAYS)
            self._watch_overdue()

        self._overdue_timer = self._context.timers.at(due_at, check)

    def cancel_sub_requests(self, indices: tuple[int, ...]) -> None:
        """Cancel the sub-requests with these indices in the query."""
        for index in indices:
            attempt = self._in_flight.pop(index, None)
            if attempt is not None:
                attempt.abandon(immediately=True)
        self._flush_if_needed()

    def cancel_all(self) -> None:
        """Cancel all sub-requests after the requesting host disconnected."""
        self.cancel_sub_requests(tuple(self._in_flight))

    def _handle_verdict(self, index: int, attempt: Attempt, verdict: Verdict) -> None:
        if self._in_flight.pop(index, None) is None:
            return
        if isinstance(verdict, Ran):
            self._handle_response(index, attempt, verdict)
        else:
            if verdict.cause is Cause.LEAVING and not attempt.is_sent:
                # This host is shutting down, which says nothing about the server.
                verdict = NotRun(Cause.NO_CONNECTION)
            self._attempt_factory.log_failure(
                self._query.sub_requests[index].service, attempt, verdict
            )
            rest_time = attempt.server.rest_time(self._context.timers.now())
            if isinstance(verdict, NotRun) and rest_time:
                verdict = replace(verdict, retry_after=rest_time)
            self._add_failure(index, verdict, is_sent=attempt.is_sent)
        self._flush_if_needed()

    def _handle_response(self, index: int, attempt: Attempt, verdict: Ran) -> None:
        response = verdict.response
        if not (response.is_success and response.signature):
            failure = MayHaveRun(Cause.PROTOCOL, detail=f"status {response.status}")
            self._add_failure(index, failure, is_sent=True)
            return
        elapsed = attempt.exchange.elapsed(self._context.timers.now())
        self._parts.append((index, elapsed, response))

    def _add_failure(self, index: int, verdict: Verdict, *, is_sent: bool) -> None:
        self._failures.append(
            RelayedFailure(
                index,
                is_sent,
                isinstance(verdict, MayHaveRun),
                verdict.cause,
                verdict.detail,
                verdict.retry_after if isinstance(verdict, NotRun) else 0.0,
            )
        )

    def _flush_if_needed(self) -> None:
        """Flush if all sub-requests ended, one failed, or the flush delay has passed.

        Failures are sent immediately so that the requesting host can retry elsewhere.
        """
        if not self._in_flight or self._failures or self._is_past_flush_delay:
            self._flush()

    def _flush_on_timer(self) -> None:
        """Flush the parts received; an empty response shows that this host is alive."""
        self._is_past_flush_delay = True
        self._flush()

    def _flush(self) -> None:
        if self._has_ended:
            return
        bodies = [response.body for _, _, response in self._parts]
        if self._query.merges_parts:
            merged = self._top_records.merge(bodies)
        else:
            top_k = self._query.top_k
            merged = [b"".join(greatest_records(body, top_k)) for body in bodies]
        parts = tuple(
            RelayedPart(index, elapsed, response.signature, records)
            for (index, elapsed, response), records in zip(
                self._parts, merged, strict=True
            )
        )
        failures = tuple(self._failures)
        self._parts.clear()
        self._failures.clear()
        self._send_response(RelayResponse(self._query.query_id, parts, failures))
        if not self._in_flight:
            self._has_ended = True
            self._timer.cancel()
            self._overdue_timer.cancel()
            self._on_end()


class RelayServer:
    """Serve relay queries of other hosts, indexed by connection and query ID.

    `resolve_route` returns the route of a query and its latency, or the cause of its
    refusal.
    """

    def __init__(
        self,
        context: Context,
        resolve_route: Callable[[RelayQuery], tuple[Route, RouteLatency] | Cause],
    ) -> None:
        self._context = context
        self._resolve_route = resolve_route
        self._handlers_by_connection: dict[
            FrameConnection, dict[int, RelayedQueryHandler]
        ] = {}

    @property
    def running_count(self) -> int:
        """Return the number of queries in progress."""
        return sum(map(len, self._handlers_by_connection.values()))

    def handle_message(
        self, connection: FrameConnection, message: RelayQuery | RelayCancel
    ) -> None:
        """Handle a query, or the cancellation of some of its sub-requests."""
        if isinstance(message, RelayCancel):
            handler = self._handlers_by_connection.get(connection, {}).get(
                message.query_id
            )
            if handler is not None:
                handler.cancel_sub_requests(message.sub_request_indices)
            return
        resolved = self._resolve_route(message)
        if isinstance(resolved, Cause):
            failures = tuple(
                RelayedFailure(index, False, False, resolved)
                for index in range(len(message.sub_requests))
            )
            connection.send(RelayResponse(message.query_id, failures=failures))
            return
        handlers = self._handlers_by_connection.setdefault(connection, {})
        handler = RelayedQueryHandler(
            self._context,
            message,
            *resolved,
            lambda response: self._send(connection, response),
            lambda: handlers.pop(message.query_id, None),
        )
        handlers[message.query_id] = handler
        handler.start()

    def _send(self, connection: FrameConnection, response: RelayResponse) -> None:
        # Only hosts of other data centres use relays.
        size = connection.send(response)
        self._context.metrics.remote_bytes.add(size, "relay-response")

    def handle_disconnect(self, connection: FrameConnection) -> None:
        """Cancel the queries of a closed connection."""
        for handler in list(self._handlers_by_connection.pop(connection, {}).values()):
            handler.cancel_all()
