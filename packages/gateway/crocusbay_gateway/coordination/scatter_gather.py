"""Scatter-gather: send a request to every shard of a route and merge the answers."""

from itertools import chain

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.attempt import (
    Attempt,
    AttemptFactory,
    RouteLatency,
)
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.dispatch import AttemptDispatcher
from crocusbay_gateway.coordination.partial_answer import Decision, PartialAnswerPolicy
from crocusbay_gateway.coordination.quarantine import fingerprint
from crocusbay_gateway.coordination.records import greatest_records
from crocusbay_gateway.coordination.refusal import reply_to_failure
from crocusbay_gateway.coordination.request_handler import RequestHandler
from crocusbay_gateway.coordination.sub_request import SubRequestState
from crocusbay_gateway.protocol import CrashReport
from crocusbay_gateway.state import (
    CallerRequest,
    Reply,
    Route,
    ServerResponse,
    ToShards,
)

# Share of the extras available to hedges; the rest is reserved for retries.
HEDGE_BUDGET_SHARE = 0.8
# Limit on sends of one part, including those rejected by a server.
MAX_SENDS_PER_SHARD = 4
# Interval between checks for late parts, as a share of the lateness threshold.
HEDGE_INTERVAL_SHARE = 0.5
MAX_LOGGED_MISSING_SHARDS = 5
# Delay before a part is retried after every server rejected it.
RETRY_PAUSE_SECONDS = 0.03


class ScatterGatherHandler(RequestHandler[Decision]):
    """Query every shard and answer with the parts received when the policy decides."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        timing: RouteLatency,
        policy: PartialAnswerPolicy,
    ) -> None:
        self.sub_requests = [
            SubRequestState(service) for service in route.target.services
        ]
        super().__init__(context)
        self.hedges = 0
        self.retries = 0
        self._request = request
        self._route = route
        self._target: ToShards = route.target
        self._timing = timing
        self._policy = policy
        self._sender = AttemptFactory(
            context, request, route, timing, policy.give_up_at
        )
        self._dispatch = AttemptDispatcher(
            context, request, route.target.top_k, policy.give_up_at
        )
        self._received_count = 0
        self._pending_count = len(self.sub_requests)
        self._crashed_servers: set[str] = set()
        self._has_policy_timer = False

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that explain the reply."""
        missing = [leg.service for leg in self.sub_requests if not leg.signature]
        return {
            "parts": self._received_count,
            "shards": len(self.sub_requests),
            "relayed": self._dispatch.relayed_count,
            "hedges": self.hedges,
            "retries": self.retries,
            "late_after_ms": round(self._timing.hedge_delay * 1000, 1),
            "missing": missing[:MAX_LOGGED_MISSING_SHARDS],
        }

    def _start(self) -> None:
        now = self._now()
        for leg in self.sub_requests:
            self._context.registry.budget(leg.service).record_request(now)
        attempts = [self._prepare(leg, "first") for leg in self.sub_requests]
        for leg, attempt in zip(self.sub_requests, attempts, strict=True):
            if attempt is None:
                self._fail(leg)
        self._dispatch.send_first(list(filter(None, attempts)), self._timing)
        self._call_at(now + self._timing.hedge_delay, self._hedge_late)
        self._apply_policy()

    def _send(self, leg: SubRequestState, reason: str) -> bool:
        """Send a part to the best remaining server; return whether it was possible."""
        attempt = self._prepare(leg, reason)
        if attempt is None:
            return False
        self._dispatch.send_extras([attempt])
        return True

    def _prepare(self, leg: SubRequestState, reason: str) -> Attempt | None:
        """Return an attempt at the best remaining server, or None without any."""
        attempt = self._sender.create_attempt(
            leg.history,
            leg.service,
            reason,
            HEDGE_BUDGET_SHARE if reason == "hedge" else 1.0,
            lambda sent, verdict: self._handle_verdict(leg, sent, verdict),
        )
        if attempt is not None:
            leg.open_attempts.append(attempt)
        return attempt

    def _hedge_late(self) -> None:
        """Hedge each late part by sending it to a second server.

        Parts that could not be hedged, for lack of a server or budget, are tried again
        at the next check.
        """
        late = [
            leg
            for leg in self.sub_requests
            if leg.is_pending and leg.open_attempts and not leg.is_hedged
        ]
        hedges = [self._hedge(leg) for leg in late]
        self._dispatch.send_extras(list(filter(None, hedges)))
        now = self._now()
        next_check = now + HEDGE_INTERVAL_SHARE * self._timing.hedge_delay
        if next_check < self._policy.partial_answer_at:
            self._call_at(next_check, self._hedge_late)
        self._apply_policy()

    def _hedge(self, leg: SubRequestState) -> Attempt | None:
        """Return a hedge that the caller has to send, or None."""
        (attempt,) = leg.open_attempts
        if attempt.is_connect_overdue:
            # The server accepts no connection: retrying elsewhere costs no extra.
            leg.open_attempts.clear()
            attempt.cancel_unsent()
            leg.history.record_end(attempt, may_have_run=False)
            self._retry(leg, NotRun(Cause.CONNECT_FAILED))
            return None
        if not attempt.is_sent:
            return None
        leg.history.has_reached_server = True
        if self._route.max_attempts < 2:
            return None
        hedge = self._prepare(leg, "hedge")
        if hedge is None:
            return None
        leg.is_hedged = True
        self.hedges += 1
        if self._dispatch.is_awaiting_relay(attempt):
            # Other relays in the data centre may be cut off too, so send directly.
            hedge.send()
            return None
        return hedge

    def _handle_verdict(
        self, leg: SubRequestState, attempt: Attempt, verdict: Verdict
    ) -> None:
        """Process the verdict of one attempt."""
        if attempt in leg.open_attempts:
            leg.open_attempts.remove(attempt)
        leg.history.record_end(attempt, may_have_run=not isinstance(verdict, NotRun))
        if leg.signature or self._is_done:
            return
        if isinstance(verdict, Ran) and self._is_valid_part(verdict.answer):
            self._handle_part(leg, verdict.answer)
        else:
            self._handle_failure(leg, attempt, verdict)
        self._apply_policy()

    def _is_valid_part(self, answer: ServerResponse) -> bool:
        return answer.is_success and bool(answer.signature)

    def _handle_part(self, leg: SubRequestState, answer: ServerResponse) -> None:
        leg.signature = answer.signature
        if not leg.is_failed:
            self._pending_count -= 1
        leg.is_failed = False
        # Sorting each part on arrival leaves little work after the last one.
        leg.records = greatest_records(answer.body, self._target.top_k)
        self._received_count += 1
        for attempt in leg.open_attempts:
            attempt.abandon(immediately=False)
        leg.open_attempts.clear()
        if self._received_count == 1:
            self._retry_held()

    def _handle_failure(
        self, leg: SubRequestState, attempt: Attempt, verdict: Verdict
    ) -> None:
        if isinstance(verdict, Ran):
            verdict = MayHaveRun(
                Cause.PROTOCOL, detail=f"status {verdict.answer.status}"
            )
        self._sender.log_failure(leg.service, attempt, verdict)
        if leg.failure is None or isinstance(verdict, MayHaveRun):
            leg.failure = verdict
        if verdict == MayHaveRun(Cause.RESET):
            self._crashed_servers.add(attempt.server.entry.name)
            if not self._received_count:
                # The request itself may have crashed the server, so it is not retried
                # until another shard has answered.
                leg.is_retry_deferred = True
        if leg.open_attempts:
            return
        if leg.is_retry_deferred:
            self._fail_if_all_held()
        else:
            self._retry(leg, verdict)

    def _retry(self, leg: SubRequestState, verdict: Verdict) -> None:
        if leg.history.sends >= MAX_SENDS_PER_SHARD:
            self._fail(leg)
        elif self._send(leg, "retry"):
            self.retries += 1
        elif isinstance(verdict, NotRun) and self._context.registry.has_server(
            leg.service
        ):
            self._call_at(
                self._now() + RETRY_PAUSE_SECONDS, lambda: self._retry_later(leg)
            )
        else:
            self._fail(leg)

    def _retry_later(self, leg: SubRequestState) -> None:
        if leg.is_pending and not leg.open_attempts:
            if self._send(leg, "retry"):
                self.retries += 1
            else:
                self._fail(leg)
        self._apply_policy()

    def _fail(self, leg: SubRequestState) -> None:
        if leg.is_pending:
            leg.is_failed = True
            self._pending_count -= 1

    def _fail_if_all_held(self) -> None:
        """Fail all parts if every shard lost its server or failed."""
        if all(leg.is_retry_deferred or leg.is_failed for leg in self.sub_requests):
            for leg in self.sub_requests:
                self._fail(leg)

    def _retry_held(self) -> None:
        for leg in self.sub_requests:
            if leg.is_retry_deferred and leg.is_pending:
                leg.is_retry_deferred = False
                if not leg.open_attempts:
                    self._retry(leg, leg.failure)

    def _apply_policy(self) -> None:
        """Apply the policy now, and schedule the next time-based evaluation."""
        if self._is_done:
            return
        now = self._now()
        decision = self._policy.decide(now, self._received_count, self._pending_count)
        if decision is not Decision.WAIT:
            self._finish(decision)
        elif not self._has_policy_timer:
            self._has_policy_timer = True
            self._call_at(
                self._policy.next_check(now, self._received_count),
                self._apply_policy_on_timer,
            )

    def _apply_policy_on_timer(self) -> None:
        self._has_policy_timer = False
        self._apply_policy()

    def _abandon_attempts(self, *, immediately: bool) -> None:
        for leg in self.sub_requests:
            for attempt in leg.open_attempts:
                attempt.abandon(immediately=immediately)
            leg.open_attempts.clear()

    def _make_reply(self, decision: Decision) -> Reply:
        self._update_quarantine()
        return (
            self._merged_reply()
            if decision is Decision.ANSWER
            else self._failure_reply()
        )

    def _update_quarantine(self) -> None:
        """Record strikes for crashed servers, or clear them if any shard answered."""
        if not self._crashed_servers:
            return
        request = fingerprint(self._request)
        if self._received_count:
            self._context.quarantine.clear(request)
            return
        for server in self._crashed_servers:
            self._context.quarantine.record_crash(
                CrashReport(request, server), self._now()
            )

    def _merged_reply(self) -> Reply:
        parts = [leg for leg in self.sub_requests if leg.signature]
        records = list(chain.from_iterable(leg.records for leg in parts))
        records.sort(reverse=True)
        dialect = self._context.dialect
        signatures = b", ".join(leg.signature for leg in parts)
        missing = len(self.sub_requests) - len(parts)
        self._context.metrics.shard_share.observe(
            len(parts) / len(self.sub_requests), self._route.name
        )
        return Reply(
            200,
            (
                (dialect.attempt_id, self._request.attempt_id.encode("latin-1")),
                (dialect.shard_signatures, signatures),
                (dialect.missing_shards, b"%d" % missing),
            ),
            b"".join(records[: self._target.top_k]),
            outcome="partial" if missing else "complete",
        )

    def _failure_reply(self) -> Reply:
        remaining = self._policy.give_up_at - self._now()
        may_have_run = [
            leg.failure
            for leg in self.sub_requests
            if isinstance(leg.failure, MayHaveRun)
        ]
        if may_have_run:
            return reply_to_failure(may_have_run[0], remaining)
        if (
            self._received_count
            or any(leg.open_attempts for leg in self.sub_requests)
            or remaining <= 0
        ):
            return reply_to_failure(MayHaveRun(Cause.DEADLINE), remaining)
        refused = [leg.failure for leg in self.sub_requests if leg.failure is not None]
        if refused:
            return reply_to_failure(refused[0], remaining)
        return reply_to_failure(NotRun(Cause.NO_UPSTREAM), remaining)
