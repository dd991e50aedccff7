"""Relayed gather: parts that another host asked for, sent back merged."""

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
    """Send to the servers that the other host chose, once each.

    It repeats nothing: extras are the other host's to spend.
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
        self._open: dict[int, Attempt] = {}
        self._top = TopRecords(query.top)
        self._parts: list[tuple[int, float, ServerAnswer]] = []
        self._failures: list[RelayedFailure] = []
        self._is_late = False
        self._has_ended = False
        self._timer: Timer

    def start(self) -> None:
        """Send to each server that can take it."""
        now = self._context.timers.now()
        self._timer = self._context.timers.at(
            now + self._query.flush_after, self._flush_late
        )
        attempts = []
        for number, send in enumerate(self._query.sends):
            server = self._context.registry.find(send.service, send.server)
            if server is None or server.health.is_misdirected(now):
                self._fail(number, NotRun(Cause.NO_UPSTREAM), is_sent=False)
                continue
            attempt = Attempt(
                self._context,
                self._request,
                self._route,
                server,
                self._timing,
                self._give_up_at,
                lambda attempt, verdict, number=number: self._take(
                    number, attempt, verdict
                ),
                is_extra=False,
            )
            self._open[number] = attempt
            attempts.append(attempt)
        for attempt in attempts:
            self._context.metrics.attempts.inc("relayed")
            attempt.send()
        self._check()

    def leave(self, sends: tuple[int, ...]) -> None:
        """Free the servers of sends that are of no use any more."""
        for number in sends:
            attempt = self._open.pop(number, None)
            if attempt is not None:
                attempt.abandon(is_urgent=True)
        self._check()

    def stop(self) -> None:
        """Free all servers: the other host is gone."""
        self.leave(tuple(self._open))

    def _take(self, number: int, attempt: Attempt, verdict: Verdict) -> None:
        if self._open.pop(number, None) is None:
            return
        if isinstance(verdict, Ran):
            self._take_answer(number, attempt, verdict)
        else:
            if verdict.cause is Cause.LEAVING and not attempt.is_sent:
                # This host stops: no word on the server itself.
                verdict = NotRun(Cause.NO_CONNECTION)
            self._sender.log_failure(
                self._query.sends[number].service, attempt, verdict
            )
            self._fail(number, verdict, is_sent=attempt.is_sent)
        self._check()

    def _take_answer(self, number: int, attempt: Attempt, verdict: Ran) -> None:
        answer = verdict.answer
        if not (answer.is_success and answer.signature):
            failure = MayHaveRun(Cause.PROTOCOL, detail=f"status {answer.status}")
            self._fail(number, failure, is_sent=True)
            return
        elapsed = attempt.exchange.elapsed(self._context.timers.now())
        self._parts.append((number, elapsed, answer))

    def _fail(self, number: int, verdict: Verdict, *, is_sent: bool) -> None:
        self._failures.append(
            RelayedFailure(
                number,
                is_sent,
                isinstance(verdict, MayHaveRun),
                verdict.cause,
                verdict.detail,
            )
        )

    def _check(self) -> None:
        """Answer when all is in, with a failure, and with each late part as it comes.

        The other host can send a failed part elsewhere meanwhile.
        """
        if not self._open or self._failures or self._is_late:
            self._flush()

    def _flush_late(self) -> None:
        """Answer with what is in; one without parts still shows that this host runs."""
        self._is_late = True
        self._flush()

    def _flush(self) -> None:
        if self._has_ended:
            return
        merged = self._top.merge([answer.body for _, _, answer in self._parts])
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
        if not self._open:
            self._has_ended = True
            self._timer.cancel()
            self._on_end()


class RelayedGathers:
    """Hold what this host gathers for others, by connection and number.

    `plan` returns the route of a query and its timing, or why it is not taken.
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
        """Return the number of queries under way."""
        return sum(map(len, self._by_number.values()))

    def take(self, connection: FrameConnection, query: RelayQuery | RelayLeave) -> None:
        """Take what another host asks."""
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
        """Free the servers that work for a host that is gone."""
        for gather in list(self._by_number.pop(connection, {}).values()):
            gather.stop()
