"""Relay side of a scatter-gather: query servers for another host and merge parts."""

from collections.abc import Callable

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.attempt import Attempt, AttemptFactory, RouteLatency
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.records import TopRecords
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
    """Query the servers chosen by the requesting host, once each.

    Retries and hedges are left to the requesting host, which holds their budget.
    """

    def __init__(
        self,
        context: Context,
        query: RelayQuery,
        route: Route,
        timing: RouteLatency,
        answer: Callable[[RelayResponse], None],
        on_end: Callable[[], None],
    ) -> None:
        now = context.timers.now()
        self._context = context
        self._query = query
        self._route = route
        self._timing = timing
        self._answer = answer
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
        self._sender = AttemptFactory(
            context, self._request, route, timing, self._give_up_at
        )
        self._in_flight: dict[int, Attempt] = {}
        self._top_records = TopRecords(query.top_k)
        self._parts: list[tuple[int, float, ServerResponse]] = []
        self._failures: list[RelayedFailure] = []
        self._is_past_flush_delay = False
        self._has_ended = False
        self._timer: Timer

    def start(self) -> None:
        """Send the request to each server that is available."""
        now = self._context.timers.now()
        self._timer = self._context.timers.at(
            now + self._query.flush_after, self._flush_on_timer
        )
        attempts = []
        for number, send in enumerate(self._query.sub_requests):
            server = self._context.registry.find_server(send.service, send.server)
            if server is None or server.health.is_misdirected(now):
                self._add_failure(number, NotRun(Cause.NO_UPSTREAM), is_sent=False)
                continue
            attempt = Attempt(
                self._context,
                self._request,
                self._route,
                server,
                self._timing,
                self._give_up_at,
                lambda attempt, verdict, number=number: self._handle_verdict(
                    number, attempt, verdict
                ),
                is_extra=False,
            )
            self._in_flight[number] = attempt
            attempts.append(attempt)
        for attempt in attempts:
            self._context.metrics.attempts.inc("relayed")
            attempt.send()
        self._flush_if_needed()

    def cancel_sends(self, sends: tuple[int, ...]) -> None:
        """Cancel the given sends."""
        for number in sends:
            attempt = self._in_flight.pop(number, None)
            if attempt is not None:
                attempt.abandon(immediately=True)
        self._flush_if_needed()

    def cancel_all(self) -> None:
        """Cancel all sends after the requesting host disconnected."""
        self.cancel_sends(tuple(self._in_flight))

    def _handle_verdict(self, number: int, attempt: Attempt, verdict: Verdict) -> None:
        if self._in_flight.pop(number, None) is None:
            return
        if isinstance(verdict, Ran):
            self._handle_answer(number, attempt, verdict)
        else:
            if verdict.cause is Cause.LEAVING and not attempt.is_sent:
                # This host is shutting down, which says nothing about the server.
                verdict = NotRun(Cause.NO_CONNECTION)
            self._sender.log_failure(
                self._query.sub_requests[number].service, attempt, verdict
            )
            self._add_failure(number, verdict, is_sent=attempt.is_sent)
        self._flush_if_needed()

    def _handle_answer(self, number: int, attempt: Attempt, verdict: Ran) -> None:
        answer = verdict.answer
        if not (answer.is_success and answer.signature):
            failure = MayHaveRun(Cause.PROTOCOL, detail=f"status {answer.status}")
            self._add_failure(number, failure, is_sent=True)
            return
        elapsed = attempt.exchange.elapsed(self._context.timers.now())
        self._parts.append((number, elapsed, answer))

    def _add_failure(self, number: int, verdict: Verdict, *, is_sent: bool) -> None:
        self._failures.append(
            RelayedFailure(
                number,
                is_sent,
                isinstance(verdict, MayHaveRun),
                verdict.cause,
                verdict.detail,
            )
        )

    def _flush_if_needed(self) -> None:
        """Flush if all sends ended, one failed, or the flush delay has passed.

        Failures are sent immediately so that the requesting host can retry elsewhere.
        """
        if not self._in_flight or self._failures or self._is_past_flush_delay:
            self._flush()

    def _flush_on_timer(self) -> None:
        """Flush the parts received; an empty answer shows that this host is alive."""
        self._is_past_flush_delay = True
        self._flush()

    def _flush(self) -> None:
        if self._has_ended:
            return
        merged = self._top_records.merge([answer.body for _, _, answer in self._parts])
        parts = tuple(
            RelayedPart(number, elapsed, answer.signature, records)
            for (number, elapsed, answer), records in zip(
                self._parts, merged, strict=True
            )
        )
        failures = tuple(self._failures)
        self._parts.clear()
        self._failures.clear()
        self._answer(RelayResponse(self._query.query_id, parts, failures))
        if not self._in_flight:
            self._has_ended = True
            self._timer.cancel()
            self._on_end()


class RelayServer:
    """Serve relay queries of other hosts, indexed by connection and query number.

    `plan` returns the route of a query and its timing, or the cause of a refusal.
    """

    def __init__(
        self,
        context: Context,
        resolve_route: Callable[[RelayQuery], tuple[Route, RouteLatency] | Cause],
    ) -> None:
        self._context = context
        self._resolve_route = resolve_route
        self._by_number: dict[FrameConnection, dict[int, RelayedQueryHandler]] = {}

    @property
    def running(self) -> int:
        """Return the number of queries in progress."""
        return sum(map(len, self._by_number.values()))

    def handle_message(
        self, connection: FrameConnection, query: RelayQuery | RelayCancel
    ) -> None:
        """Handle a query, or the cancellation of some of its sends."""
        if isinstance(query, RelayCancel):
            gather = self._by_number.get(connection, {}).get(query.query_id)
            if gather is not None:
                gather.cancel_sends(query.sub_requests)
            return
        plan = self._resolve_route(query)
        if isinstance(plan, Cause):
            failures = tuple(
                RelayedFailure(number, False, False, plan)
                for number in range(len(query.sub_requests))
            )
            connection.send(RelayResponse(query.query_id, failures=failures))
            return
        by_number = self._by_number.setdefault(connection, {})
        gather = RelayedQueryHandler(
            self._context,
            query,
            *plan,
            connection.send,
            lambda: by_number.pop(query.query_id, None),
        )
        by_number[query.query_id] = gather
        gather.start()

    def handle_disconnect(self, connection: FrameConnection) -> None:
        """Cancel the queries of a closed connection."""
        for gather in list(self._by_number.pop(connection, {}).values()):
            gather.cancel_all()
