"""Forward: one request to one server of a service, repeated only where it may be."""

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.attempt import (
    HANDSHAKE_SECONDS,
    Attempt,
    RouteTiming,
    Sender,
    Tries,
)
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.job import Job
from crocusbay_gateway.coordination.quarantine import fingerprint
from crocusbay_gateway.coordination.refusal import reply_to_failure
from crocusbay_gateway.protocol import Strike, forwardable
from crocusbay_gateway.state import CallerRequest, Reply, Route, ServerAnswer

# Statuses by which this system promises that a request has not run.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
MAX_SENDS = 4
RETRY_PAUSE_SECONDS = 0.05
# An attempt with less time left than this part of the usual would only load a server.
LEAST_SHARE_OF_USUAL = 0.5
HEDGE_SHARE_OF_EXTRAS = 0.6


class Forward(Job[Reply]):
    """Ask one server, and others where the route allows it."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        service: str,
        timing: RouteTiming,
        give_up_at: float,
    ) -> None:
        super().__init__(context)
        self.retries = 0
        self.hedges = 0
        self._request = request
        self._route = route
        self._service = service
        self._timing = timing
        self._give_up_at = give_up_at
        self._sender = Sender(context, request, route, timing, give_up_at)
        self._open: list[Attempt] = []
        self._tries = Tries()
        self._failure: Verdict | None = None
        self._failed_answer: ServerAnswer | None = None
        self._crashed: set[str] = set()

    def facts(self) -> dict[str, object]:
        """Return what decided the reply, for the log."""
        return {
            "service": self._service,
            "sends": self._tries.sends,
            "hedges": self.hedges,
            "retries": self.retries,
        }

    def _start(self) -> None:
        now = self._now()
        self._context.registry.budget(self._service).note_request(now)
        self._at(self._give_up_at, self._give_up)
        if not self._send("first"):
            cause = (
                Cause.OVERLOAD
                if self._context.registry.has_server(self._service)
                else Cause.NO_UPSTREAM
            )
            self._fail(NotRun(cause))
            return
        self._at(now + self._timing.late_after, self._look_if_late)

    def _send(self, reason: str) -> bool:
        """Send to the best server left; return whether one was there."""
        attempt = self._sender.prepare(
            self._tries,
            self._service,
            reason,
            HEDGE_SHARE_OF_EXTRAS if reason == "hedge" else 1.0,
            self._take,
        )
        if attempt is None:
            return False
        self._open.append(attempt)
        attempt.send()
        return True

    def _look_if_late(self) -> None:
        """Move a request that waits for a connection; hedge one that was sent."""
        if len(self._open) != 1:
            return
        (attempt,) = self._open
        if attempt.is_stuck:
            self._open.clear()
            attempt.withdraw()
            self._tries.ended(attempt, may_have_run=False)
            self._failure = self._failure or NotRun(Cause.CONNECT_FAILED)
            self._retry()
            return
        if not attempt.is_sent:
            self._at(self._now() + HANDSHAKE_SECONDS, self._look_if_late)
            return
        self._tries.has_arrived = True
        may_hedge = self._route.is_idempotent and self._route.max_attempts > 1
        if may_hedge and self._send("hedge"):
            self.hedges += 1

    def _take(self, attempt: Attempt, verdict: Verdict) -> None:
        if attempt in self._open:
            self._open.remove(attempt)
        self._tries.ended(attempt, may_have_run=not isinstance(verdict, NotRun))
        if self._is_done:
            return
        if isinstance(verdict, Ran):
            self._take_answer(attempt, verdict.answer)
        else:
            self._take_failure(attempt, verdict)

    def _take_answer(self, attempt: Attempt, answer: ServerAnswer) -> None:
        if answer.status < 500:
            self._finish(self._pass_on(answer))
            return
        self._failed_answer = answer
        self._take_failure(
            attempt, MayHaveRun(Cause.PROTOCOL, detail=f"status {answer.status}")
        )

    def _take_failure(self, attempt: Attempt, verdict: Verdict) -> None:
        self._sender.log_failure(self._service, attempt, verdict)
        if self._failure is None or isinstance(verdict, MayHaveRun):
            self._failure = verdict
        if verdict == MayHaveRun(Cause.RESET):
            self._crashed.add(attempt.server.entry.name)
        if self._open:
            return
        may_repeat = self._route.is_idempotent or isinstance(verdict, NotRun)
        if not may_repeat or self._is_too_late() or self._tries.sends >= MAX_SENDS:
            self._fail(self._failure)
        else:
            self._retry()

    def _is_too_late(self) -> bool:
        """Return whether another attempt could hardly end in time."""
        left = self._give_up_at - self._now()
        return left < LEAST_SHARE_OF_USUAL * self._timing.usual.value

    def _retry(self) -> None:
        if self._send("retry"):
            self.retries += 1
        elif isinstance(self._failure, NotRun) and self._context.registry.has_server(
            self._service
        ):
            self._at(self._now() + RETRY_PAUSE_SECONDS, self._retry_later)
        else:
            self._fail(self._failure)

    def _retry_later(self) -> None:
        if self._send("retry"):
            self.retries += 1
        else:
            self._fail(self._failure)

    def _give_up(self) -> None:
        if self._open and any(attempt.exchange.is_sent for attempt in self._open):
            self._fail(MayHaveRun(Cause.DEADLINE))
        else:
            self._fail(self._failure or NotRun(Cause.NO_CONNECTION))

    def _fail(self, verdict: Verdict) -> None:
        if self._failed_answer is not None and isinstance(verdict, MayHaveRun):
            self._finish(self._pass_on(self._failed_answer))
            return
        self._finish(reply_to_failure(verdict, self._give_up_at - self._now()))

    def _pass_on(self, answer: ServerAnswer) -> Reply:
        """Return a server's answer; one that would promise too much becomes ours."""
        if answer.status in PROMISE_STATUSES:
            return reply_to_failure(MayHaveRun(Cause.PROTOCOL), 0.0)
        outcome = "complete" if answer.is_success else f"server status {answer.status}"
        return Reply(
            answer.status,
            forwardable(list(answer.headers), frozenset()),
            answer.body,
            reason=answer.reason,
            outcome=outcome,
        )

    def _stop(self, *, is_urgent: bool) -> None:
        for attempt in self._open:
            if self._route.is_idempotent or not attempt.exchange.is_sent:
                attempt.abandon(is_urgent=is_urgent)
        self._open.clear()

    def _reply(self, reply: Reply) -> Reply:
        self._judge_crashes(reply)
        return reply

    def _judge_crashes(self, reply: Reply) -> None:
        if not self._crashed:
            return
        request = fingerprint(self._request)
        if reply.status < 500:
            self._context.quarantine.clear(request)
            return
        for server in self._crashed:
            self._context.quarantine.strike(Strike(request, server), self._now())
