"""Scatter-gather: send a request to every shard of a route and merge the parts."""

from collections.abc import Callable
from dataclasses import replace
from itertools import chain

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay_gateway.coordination.attempt import (
    Attempt,
    AttemptFactory,
    RouteLatency,
)
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.dispatch import AttemptDispatcher
from crocusbay_gateway.coordination.partial import Decision, PartialAnswerPolicy
from crocusbay_gateway.coordination.planned_stop import PlannedStop
from crocusbay_gateway.coordination.records import greatest_records
from crocusbay_gateway.coordination.refusal import reply_to_failure
from crocusbay_gateway.coordination.request_handler import RequestHandler
from crocusbay_gateway.coordination.sub_request import SubRequestState
from crocusbay_gateway.state import (
    CallerRequest,
    Reply,
    Route,
    ServerResponse,
    ToShards,
)

# Share of the retry budget available to hedges; the rest is reserved for retries.
HEDGE_BUDGET_SHARE = 0.8
# Limit on attempts of one sub-request, including those rejected by a server.
MAX_ATTEMPTS_PER_SHARD = 4
# Interval between checks for late sub-requests, as a share of the hedge delay.
HEDGE_INTERVAL_SHARE = 0.5
MAX_LOGGED_MISSING_SHARDS = 5
# Delay before a rejected sub-request is retried if no server or budget is available.
RETRY_PAUSE_SECONDS = 0.03


class ScatterGatherHandler(RequestHandler[Decision]):
    """Query every shard and merge the parts received by the time the policy decides."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        latency: RouteLatency,
        policy: PartialAnswerPolicy,
    ) -> None:
        self.sub_requests = [
            SubRequestState(service) for service in route.target.services
        ]
        super().__init__(context, request, latency)
        self.hedges = 0
        self.retries = 0
        self._request = request
        self._route = route
        self._target: ToShards = route.target
        self._policy = policy
        self._attempt_factory = AttemptFactory(
            context, request, route, latency, policy.give_up_at, self._crashes
        )
        self._dispatcher = AttemptDispatcher(
            context,
            request,
            route.target.top_k,
            policy.give_up_at,
            self._crashes.fingerprint,
            self._deliver_together,
        )
        self._received_count = 0
        self._pending_count = len(self.sub_requests)
        self._has_policy_timer = False
        self._is_receiving = False

    @property
    def may_be_interrupted(self) -> bool:
        """Return whether no part has arrived."""
        return not self._received_count

    def start_leaving(self, planned_stop: PlannedStop) -> None:
        """Reply by the time at which this host answers what is still in progress."""
        self._planned_stop = planned_stop
        if planned_stop.answer_by <= self._policy.give_up_at:
            self._policy = replace(self._policy, give_up_at=planned_stop.answer_by)
            self._give_up_cause = Cause.HOST_LEAVING
            self._call_at(planned_stop.answer_by, self._apply_policy)

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that explain how the reply came about."""
        missing = [each.service for each in self.sub_requests if not each.signature]
        return {
            "parts": self._received_count,
            "shards": len(self.sub_requests),
            "relayed": self._dispatcher.relayed_count,
            "hedges": self.hedges,
            "retries": self.retries,
            "late_after_ms": round(self._latency.hedge_delay * 1000, 1),
            "missing": missing[:MAX_LOGGED_MISSING_SHARDS],
            "crashed": self._crashes.servers,
        }

    def _start(self) -> None:
        now = self._now()
        for sub_request in self.sub_requests:
            self._context.registry.retry_budget(sub_request.service).record_request(now)
        if not self._is_within_limits():
            self._refuse_for_limits()
            return
        attempts = [
            self._create_attempt(sub_request, "first")
            for sub_request in self.sub_requests
        ]
        for sub_request, attempt in zip(self.sub_requests, attempts, strict=True):
            if attempt is None:
                self._handle_unusable_shard(sub_request)
        self._dispatcher.send_first(list(filter(None, attempts)), self._latency)
        self._call_at(now + self._latency.hedge_delay, self._hedge_late_sub_requests)
        self._apply_policy()

    def _send_delay(self, sub_request: SubRequestState) -> float:
        """Return the time until a server of a shard may get the request."""
        return self._context.registry.send_delay(
            sub_request.service, is_urgent=self._route.is_urgent
        )

    def _is_within_limits(self) -> bool:
        """Return whether limits and rests leave enough shards for a reply."""
        allowed = sum(self._send_delay(each) == 0.0 for each in self.sub_requests)
        return allowed >= min(self._policy.min_parts, len(self.sub_requests))

    def _refuse_for_limits(self) -> None:
        """Refuse the request before it uses up what some of the shards allow."""
        latest = max(self.sub_requests, key=self._send_delay)
        retry_after = self._context.registry.reserve_return(latest.service)
        for sub_request in self.sub_requests:
            sub_request.failure = NotRun(Cause.SERVER_LIMIT, retry_after)
            self._fail(sub_request)
        self._finish(Decision.FAIL)

    def _handle_unusable_shard(self, sub_request: SubRequestState) -> None:
        """Wait until a server of a shard may get the request, or leave it out."""
        if self._crashes.is_quarantined():
            sub_request.failure = NotRun(Cause.QUARANTINED)
            self._fail(sub_request)
            return
        delay = self._send_delay(sub_request)
        send_at = self._now() + delay
        answer_at = self._policy.partial_answer_at - self._latency.median.value
        if delay > 0.0 and send_at < answer_at:
            self._call_at(send_at, lambda: self._retry_after_pause(sub_request))
            return
        if delay:
            sub_request.failure = NotRun(Cause.SERVER_LIMIT)
        self._fail(sub_request)

    def _send(self, sub_request: SubRequestState, reason: str) -> bool:
        """Send to the best remaining server; return False if none is usable."""
        attempt = self._create_attempt(sub_request, reason)
        if attempt is None:
            return False
        self._dispatcher.send_extras([attempt])
        return True

    def _create_attempt(
        self, sub_request: SubRequestState, reason: str
    ) -> Attempt | None:
        """Return an attempt on the best remaining server, or None if none is usable."""
        attempt = self._attempt_factory.create_attempt(
            sub_request.history,
            sub_request.service,
            reason,
            HEDGE_BUDGET_SHARE if reason == "hedge" else 1.0,
            lambda sent, verdict: self._handle_verdict(sub_request, sent, verdict),
        )
        if attempt is not None:
            sub_request.open_attempts.append(attempt)
        return attempt

    def _hedge_late_sub_requests(self) -> None:
        """Hedge each late sub-request by sending it to a second server.

        Those that could not be hedged, for lack of a server or budget, are tried again
        at the next check.
        """
        late = [
            sub_request
            for sub_request in self.sub_requests
            if sub_request.is_pending
            and sub_request.open_attempts
            and not sub_request.is_hedged
            and not self._may_crash_servers
        ]
        hedges = [self._hedge(sub_request) for sub_request in late]
        self._dispatcher.send_extras(list(filter(None, hedges)))
        now = self._now()
        next_check = now + HEDGE_INTERVAL_SHARE * self._latency.hedge_delay
        if next_check < self._policy.partial_answer_at:
            self._call_at(next_check, self._hedge_late_sub_requests)
        self._apply_policy()

    @property
    def _may_crash_servers(self) -> bool:
        """Return whether connections were reset and no shard has responded."""
        return not self._received_count and any(
            each.is_retry_deferred for each in self.sub_requests
        )

    def _hedge(self, sub_request: SubRequestState) -> Attempt | None:
        """Return a hedge that is still to be sent, or None."""
        (attempt,) = sub_request.open_attempts
        if attempt.is_connect_overdue:
            # The server accepts no connection: a retry on another one needs no budget.
            sub_request.open_attempts.clear()
            attempt.cancel_unsent()
            sub_request.history.record_end(attempt, may_have_run=False)
            self._retry(sub_request, NotRun(Cause.CONNECT_FAILED))
            return None
        if not attempt.is_sent:
            return None
        sub_request.history.has_reached_server = True
        if self._route.max_attempts < 2:
            return None
        hedge = self._create_attempt(sub_request, "hedge")
        if hedge is None:
            return None
        sub_request.is_hedged = True
        self.hedges += 1
        if self._dispatcher.is_awaiting_relay(attempt):
            # Other relays in the data centre may be cut off too, so send directly.
            hedge.send()
            return None
        return hedge

    def _deliver_together(self, deliver: Callable[[], None]) -> None:
        """Receive the parts of one relay response, and apply the policy after the last.

        A relay drops records of some parts because of others in the same response, so
        that the reply must have all of them or none.
        """
        self._is_receiving = True
        try:
            deliver()
        finally:
            self._is_receiving = False
        self._apply_policy()

    def _handle_verdict(
        self, sub_request: SubRequestState, attempt: Attempt, verdict: Verdict
    ) -> None:
        """Process the verdict of one attempt."""
        if attempt in sub_request.open_attempts:
            sub_request.open_attempts.remove(attempt)
        sub_request.history.record_end(
            attempt, may_have_run=not isinstance(verdict, NotRun)
        )
        if self._is_done:
            return
        is_part = isinstance(verdict, Ran) and self._is_valid_part(verdict.response)
        if sub_request.signature:
            # The relay has compared the other shards' parts with this one.
            if is_part and attempt.is_merged_by_relay:
                self._set_part(sub_request, verdict.response)
            return
        if is_part:
            self._handle_part(sub_request, verdict.response)
        else:
            self._handle_failure(sub_request, attempt, verdict)
        self._apply_policy()

    def _is_valid_part(self, response: ServerResponse) -> bool:
        return response.is_success and bool(response.signature)

    def _handle_part(
        self, sub_request: SubRequestState, response: ServerResponse
    ) -> None:
        if not sub_request.is_failed:
            self._pending_count -= 1
        sub_request.is_failed = False
        self._set_part(sub_request, response)
        self._received_count += 1
        for attempt in sub_request.open_attempts:
            attempt.abandon(immediately=False)
        sub_request.open_attempts.clear()
        if self._received_count == 1:
            self._retry_deferred()

    def _set_part(self, sub_request: SubRequestState, response: ServerResponse) -> None:
        sub_request.signature = response.signature
        # Sorting each part on arrival leaves little work after the last one.
        sub_request.records = greatest_records(response.body, self._target.top_k)

    def _handle_failure(
        self, sub_request: SubRequestState, attempt: Attempt, verdict: Verdict
    ) -> None:
        if isinstance(verdict, Ran):
            verdict = MayHaveRun(
                Cause.PROTOCOL, detail=f"status {verdict.response.status}"
            )
        self._attempt_factory.log_failure(sub_request.service, attempt, verdict)
        if sub_request.failure is None or isinstance(verdict, MayHaveRun):
            sub_request.failure = verdict
        if verdict == MayHaveRun(Cause.RESET) and not self._received_count:
            # The request itself may have crashed the server, so it is not retried
            # until another shard has responded.
            sub_request.is_retry_deferred = True
        if sub_request.open_attempts:
            return
        if sub_request.is_retry_deferred:
            self._fail_if_all_deferred()
        else:
            self._retry(sub_request, verdict)

    def _retry(self, sub_request: SubRequestState, verdict: Verdict) -> None:
        if sub_request.history.attempt_count >= MAX_ATTEMPTS_PER_SHARD:
            self._fail(sub_request)
        elif self._send(sub_request, "retry"):
            self.retries += 1
        elif isinstance(verdict, NotRun) and self._context.registry.has_server(
            sub_request.service
        ):
            self._call_at(
                self._now() + RETRY_PAUSE_SECONDS,
                lambda: self._retry_after_pause(sub_request),
            )
        else:
            self._fail(sub_request)

    def _retry_after_pause(self, sub_request: SubRequestState) -> None:
        if sub_request.is_pending and not sub_request.open_attempts:
            if self._send(sub_request, "retry"):
                self.retries += 1
            else:
                self._fail(sub_request)
        self._apply_policy()

    def _fail(self, sub_request: SubRequestState) -> None:
        if sub_request.is_pending:
            sub_request.is_failed = True
            self._pending_count -= 1

    def _fail_if_all_deferred(self) -> None:
        """Fail all sub-requests if each one may have crashed its server or failed."""
        if all(each.is_retry_deferred or each.is_failed for each in self.sub_requests):
            for sub_request in self.sub_requests:
                self._fail(sub_request)

    def _retry_deferred(self) -> None:
        for sub_request in self.sub_requests:
            if sub_request.is_retry_deferred and sub_request.is_pending:
                sub_request.is_retry_deferred = False
                if not sub_request.open_attempts:
                    self._retry(sub_request, sub_request.failure)

    def _apply_policy(self) -> None:
        """Apply the policy now, and schedule the next time-based evaluation."""
        if self._is_done or self._is_receiving:
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

    def _open_attempts(self) -> list[Attempt]:
        return list(
            chain.from_iterable(each.open_attempts for each in self.sub_requests)
        )

    def _abandon_attempts(self, *, immediately: bool) -> None:
        for sub_request in self.sub_requests:
            for attempt in sub_request.open_attempts:
                attempt.abandon(immediately=immediately)
            sub_request.open_attempts.clear()

    def _make_reply(self, decision: Decision) -> Reply:
        return (
            self._merged_reply()
            if decision is Decision.ANSWER
            else self._failure_reply()
        )

    def _merged_reply(self) -> Reply:
        parts = [each for each in self.sub_requests if each.signature]
        records = list(chain.from_iterable(part.records for part in parts))
        records.sort(reverse=True)
        conventions = self._context.conventions
        signatures = b", ".join(part.signature for part in parts)
        missing = len(self.sub_requests) - len(parts)
        self._context.metrics.shard_share.observe(
            len(parts) / len(self.sub_requests), self._route.name
        )
        return Reply(
            200,
            (
                (conventions.attempt_id, self._request.attempt_id.encode("latin-1")),
                (conventions.shard_signatures, signatures),
                (conventions.missing_shards, b"%d" % missing),
            ),
            b"".join(records[: self._target.top_k]),
            outcome="partial" if missing else "complete",
        )

    def _failure_reply(self) -> Reply:
        remaining_time = self._policy.give_up_at - self._now()
        may_have_run = [
            each.failure
            for each in self.sub_requests
            if isinstance(each.failure, MayHaveRun)
        ]
        if may_have_run:
            return reply_to_failure(may_have_run[0], remaining_time)
        if (
            self._received_count
            or any(each.open_attempts for each in self.sub_requests)
            or remaining_time <= 0
        ):
            return reply_to_failure(MayHaveRun(self._give_up_cause), remaining_time)
        not_run = [
            each.failure for each in self.sub_requests if each.failure is not None
        ]
        if not_run:
            return reply_to_failure(not_run[0], remaining_time)
        return reply_to_failure(NotRun(Cause.NO_UPSTREAM), remaining_time)
