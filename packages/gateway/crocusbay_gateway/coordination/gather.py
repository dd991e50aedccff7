"""Gather: one request to every shard of a route, merged into one answer."""

from itertools import chain

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.attempt import (
    Attempt,
    RouteTiming,
    Sender,
)
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.dispatch import Dispatch
from crocusbay_gateway.coordination.job import Job
from crocusbay_gateway.coordination.leg import Leg
from crocusbay_gateway.coordination.partial import Decision, PartialPolicy
from crocusbay_gateway.coordination.quarantine import fingerprint
from crocusbay_gateway.coordination.records import greatest_records
from crocusbay_gateway.coordination.refusal import reply_to_failure
from crocusbay_gateway.protocol import Strike
from crocusbay_gateway.state import CallerRequest, Reply, Route, ServerAnswer, ToShards

# Part of the extras that hedges may take; the rest is for retries of failed parts.
HEDGE_SHARE_OF_EXTRAS = 0.8
# Sends of one part, those that a server rejected included.
MAX_SENDS_PER_SHARD = 4
# The pause between looks for late parts, in the time after which one is late.
HEDGE_AGAIN_SHARE = 0.5
# Missing shards that a log line names.
MAX_NAMED = 5
# The pause before a part is offered again to servers that all rejected it.
RETRY_PAUSE_SECONDS = 0.03


class Gather(Job[Decision]):
    """Ask every shard, and answer with the parts that are in when it is best."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        timing: RouteTiming,
        policy: PartialPolicy,
    ) -> None:
        self.legs = [Leg(service) for service in route.target.services]
        super().__init__(context)
        self.hedges = 0
        self.retries = 0
        self._request = request
        self._route = route
        self._target: ToShards = route.target
        self._timing = timing
        self._policy = policy
        self._sender = Sender(context, request, route, timing, policy.give_up_at)
        self._dispatch = Dispatch(context, request, route.target.top, policy.give_up_at)
        self._parts = 0
        self._pending = len(self.legs)
        self._crashed: set[str] = set()
        self._has_check_timer = False

    def facts(self) -> dict[str, object]:
        """Return what decided the reply, for the log."""
        late = [leg.service for leg in self.legs if not leg.signature]
        return {
            "parts": self._parts,
            "shards": len(self.legs),
            "relayed": self._dispatch.relayed,
            "hedges": self.hedges,
            "retries": self.retries,
            "late_after_ms": round(self._timing.late_after * 1000, 1),
            "missing": late[:MAX_NAMED],
        }

    def _start(self) -> None:
        now = self._now()
        for leg in self.legs:
            self._context.registry.budget(leg.service).note_request(now)
        attempts = [self._prepare(leg, "first") for leg in self.legs]
        for leg, attempt in zip(self.legs, attempts, strict=True):
            if attempt is None:
                self._fail(leg)
        self._dispatch.send_first(list(filter(None, attempts)), self._timing)
        self._at(now + self._timing.late_after, self._hedge_late)
        self._check()

    def _send(self, leg: Leg, reason: str) -> bool:
        """Send a part to the best server left; return whether one was there."""
        attempt = self._prepare(leg, reason)
        if attempt is None:
            return False
        self._dispatch.send_extras([attempt])
        return True

    def _prepare(self, leg: Leg, reason: str) -> Attempt | None:
        """Return an attempt at the best server left, or None if there is none."""
        attempt = self._sender.prepare(
            leg.tries,
            leg.service,
            reason,
            HEDGE_SHARE_OF_EXTRAS if reason == "hedge" else 1.0,
            lambda sent, verdict: self._take(leg, sent, verdict),
        )
        if attempt is not None:
            leg.open.append(attempt)
        return attempt

    def _hedge_late(self) -> None:
        """Send each part that is late to a second server.

        What could not be hedged, for lack of a server or of the budget, is tried again
        a little later.
        """
        late = [
            leg
            for leg in self.legs
            if leg.is_pending and leg.open and not leg.has_hedged
        ]
        hedges = [self._hedge(leg) for leg in late]
        self._dispatch.send_extras(list(filter(None, hedges)))
        now = self._now()
        again = now + HEDGE_AGAIN_SHARE * self._timing.late_after
        if again < self._policy.answer_by:
            self._at(again, self._hedge_late)
        self._check()

    def _hedge(self, leg: Leg) -> Attempt | None:
        """Return a second attempt at a part, if there is one that is not sent yet."""
        (attempt,) = leg.open
        if attempt.is_stuck:
            # The server takes no connection: the part moves on, at no cost.
            leg.open.clear()
            attempt.withdraw()
            leg.tries.ended(attempt, may_have_run=False)
            self._retry(leg, NotRun(Cause.CONNECT_FAILED))
            return None
        if not attempt.is_sent:
            return None
        leg.tries.has_arrived = True
        if self._route.max_attempts < 2:
            return None
        hedge = self._prepare(leg, "hedge")
        if hedge is None:
            return None
        leg.has_hedged = True
        self.hedges += 1
        if self._dispatch.is_unheard(attempt):
            # Others of its data centre may be cut off as well.
            hedge.send()
            return None
        return hedge

    def _take(self, leg: Leg, attempt: Attempt, verdict: Verdict) -> None:
        """Take the verdict of one attempt."""
        if attempt in leg.open:
            leg.open.remove(attempt)
        leg.tries.ended(attempt, may_have_run=not isinstance(verdict, NotRun))
        if leg.signature or self._is_done:
            return
        if isinstance(verdict, Ran) and self._is_part(verdict.answer):
            self._take_part(leg, verdict.answer)
        else:
            self._take_failure(leg, attempt, verdict)
        self._check()

    def _is_part(self, answer: ServerAnswer) -> bool:
        return answer.is_success and bool(answer.signature)

    def _take_part(self, leg: Leg, answer: ServerAnswer) -> None:
        leg.signature = answer.signature
        if not leg.is_failed:
            self._pending -= 1
        leg.is_failed = False
        # Sorted as they come, so that little is left to do after the last part.
        leg.records = greatest_records(answer.body, self._target.top)
        self._parts += 1
        for attempt in leg.open:
            attempt.abandon(is_urgent=False)
        leg.open.clear()
        if self._parts == 1:
            self._retry_held()

    def _take_failure(self, leg: Leg, attempt: Attempt, verdict: Verdict) -> None:
        if isinstance(verdict, Ran):
            verdict = MayHaveRun(
                Cause.PROTOCOL, detail=f"status {verdict.answer.status}"
            )
        self._sender.log_failure(leg.service, attempt, verdict)
        if leg.failure is None or isinstance(verdict, MayHaveRun):
            leg.failure = verdict
        if verdict == MayHaveRun(Cause.RESET):
            self._crashed.add(attempt.server.entry.name)
            if not self._parts:
                # Retried once another shard has answered: the request itself may have
                # crashed the server.
                leg.is_held = True
        if leg.open:
            return
        if leg.is_held:
            self._settle_held()
        else:
            self._retry(leg, verdict)

    def _retry(self, leg: Leg, verdict: Verdict) -> None:
        if leg.tries.sends >= MAX_SENDS_PER_SHARD:
            self._fail(leg)
        elif self._send(leg, "retry"):
            self.retries += 1
        elif isinstance(verdict, NotRun) and self._context.registry.has_server(
            leg.service
        ):
            self._at(self._now() + RETRY_PAUSE_SECONDS, lambda: self._retry_later(leg))
        else:
            self._fail(leg)

    def _retry_later(self, leg: Leg) -> None:
        if leg.is_pending and not leg.open:
            if self._send(leg, "retry"):
                self.retries += 1
            else:
                self._fail(leg)
        self._check()

    def _fail(self, leg: Leg) -> None:
        if leg.is_pending:
            leg.is_failed = True
            self._pending -= 1

    def _settle_held(self) -> None:
        """Give up when every shard's server was lost and none has answered."""
        if all(leg.is_held or leg.is_failed for leg in self.legs):
            for leg in self.legs:
                self._fail(leg)

    def _retry_held(self) -> None:
        for leg in self.legs:
            if leg.is_held and leg.is_pending:
                leg.is_held = False
                if not leg.open:
                    self._retry(leg, leg.failure)

    def _check(self) -> None:
        """Decide on the parts that are in, now or when time alone decides."""
        if self._is_done:
            return
        now = self._now()
        decision = self._policy.decide(now, self._parts, self._pending)
        if decision is not Decision.WAIT:
            self._finish(decision)
        elif not self._has_check_timer:
            self._has_check_timer = True
            self._at(self._policy.next_check(now, self._parts), self._check_in_time)

    def _check_in_time(self) -> None:
        self._has_check_timer = False
        self._check()

    def _stop(self, *, is_urgent: bool) -> None:
        for leg in self.legs:
            for attempt in leg.open:
                attempt.abandon(is_urgent=is_urgent)
            leg.open.clear()

    def _reply(self, decision: Decision) -> Reply:
        self._judge_crashes()
        return self._answer() if decision is Decision.ANSWER else self._failure()

    def _judge_crashes(self) -> None:
        """Strike a request that lost servers and was answered by none."""
        if not self._crashed:
            return
        request = fingerprint(self._request)
        if self._parts:
            self._context.quarantine.clear(request)
            return
        for server in self._crashed:
            self._context.quarantine.strike(Strike(request, server), self._now())

    def _answer(self) -> Reply:
        parts = [leg for leg in self.legs if leg.signature]
        records = list(chain.from_iterable(leg.records for leg in parts))
        records.sort(reverse=True)
        dialect = self._context.dialect
        signatures = b", ".join(leg.signature for leg in parts)
        missing = len(self.legs) - len(parts)
        self._context.metrics.share.observe(
            len(parts) / len(self.legs), self._route.name
        )
        return Reply(
            200,
            (
                (dialect.attempt, self._request.attempt.encode("latin-1")),
                (dialect.part_signatures, signatures),
                (dialect.missing_parts, b"%d" % missing),
            ),
            b"".join(records[: self._target.top]),
            outcome="partial" if missing else "complete",
        )

    def _failure(self) -> Reply:
        left = self._policy.give_up_at - self._now()
        may_have_run = [
            leg.failure for leg in self.legs if isinstance(leg.failure, MayHaveRun)
        ]
        if may_have_run:
            return reply_to_failure(may_have_run[0], left)
        if self._parts or any(leg.open for leg in self.legs) or left <= 0:
            return reply_to_failure(MayHaveRun(Cause.DEADLINE), left)
        refused = [leg.failure for leg in self.legs if leg.failure is not None]
        if refused:
            return reply_to_failure(refused[0], left)
        return reply_to_failure(NotRun(Cause.NO_UPSTREAM), left)
