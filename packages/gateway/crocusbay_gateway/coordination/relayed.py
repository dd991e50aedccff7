"""Relay side of a scatter-gather: query servers for another host and merge parts."""

from collections.abc import Callable

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.attempt import Attempt, RouteTiming, Sender
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.records import TopRecords
from crocusbay_gateway.protocol import (
    RelayAnswer,
    RelayedFailure,
    RelayedPart,
    RelayLeave,
    RelayQuery,
)
from crocusbay_gateway.state import CallerRequest, Route, ServerAnswer
from crocusbay_gateway.transport import FrameConnection


class RelayedGather:
    """Query the servers chosen by the requesting host, once each.

    Retries and hedges are left to the requesting host, which holds their budget.
    """

    def __init__(
        self,
        context: Context,
        query: RelayQuery,
        route: Route,
        timing: RouteTiming,
        answer: Callable[[RelayAnswer], None],
        on_end: Callable[[], None],
    ) -> None:
        now = context.timers.now()
        self._context = context
        self._query = query
        self._route = route
        self._timing = timing
        self._answer = answer
        self._on_end = on_end
        self._give_up_at = now + query.remaining
        self._request = CallerRequest(
            query.attempt,
            query.method,
            query.target,
            query.host,
            query.headers,
            query.body,
            now,
            self._give_up_at,
            "",
        )
        self._sender = Sender(context, self._request, route, timing, self._give_up_at)
        self._in_flight: dict[int, Attempt] = {}
        self._top_records = TopRecords(query.top)
        self._parts: list[tuple[int, float, ServerAnswer]] = []
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
        for number, send in enumerate(self._query.sends):
            server = self._context.registry.find(send.service, send.server)
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

    def leave(self, sends: tuple[int, ...]) -> None:
        """Cancel the given sends."""
        for number in sends:
            attempt = self._in_flight.pop(number, None)
            if attempt is not None:
                attempt.abandon(is_urgent=True)
        self._flush_if_needed()

    def stop(self) -> None:
        """Cancel all sends after the requesting host disconnected."""
        self.leave(tuple(self._in_flight))

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
                self._query.sends[number].service, attempt, verdict
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
        self._answer(RelayAnswer(self._query.number, parts, failures))
        if not self._in_flight:
            self._has_ended = True
            self._timer.cancel()
            self._on_end()


class RelayedGathers:
    """Serve relay queries of other hosts, indexed by connection and query number.

    `plan` returns the route of a query and its timing, or the cause of a refusal.
    """

    def __init__(
        self,
        context: Context,
        plan: Callable[[RelayQuery], tuple[Route, RouteTiming] | Cause],
    ) -> None:
        self._context = context
        self._plan = plan
        self._by_number: dict[FrameConnection, dict[int, RelayedGather]] = {}

    @property
    def running(self) -> int:
        """Return the number of queries in progress."""
        return sum(map(len, self._by_number.values()))

    def take(self, connection: FrameConnection, query: RelayQuery | RelayLeave) -> None:
        """Handle a query, or the cancellation of some of its sends."""
        if isinstance(query, RelayLeave):
            gather = self._by_number.get(connection, {}).get(query.number)
            if gather is not None:
                gather.leave(query.sends)
            return
        plan = self._plan(query)
        if isinstance(plan, Cause):
            failures = tuple(
                RelayedFailure(number, False, False, plan)
                for number in range(len(query.sends))
            )
            connection.send(RelayAnswer(query.number, failures=failures))
            return
        by_number = self._by_number.setdefault(connection, {})
        gather = RelayedGather(
            self._context,
            query,
            *plan,
            connection.send,
            lambda: by_number.pop(query.number, None),
        )
        by_number[query.number] = gather
        gather.start()

    def lose(self, connection: FrameConnection) -> None:
        """Cancel the queries of a closed connection."""
        for gather in list(self._by_number.pop(connection, {}).values()):
            gather.stop()
