"""Handling of requests: admission, routing and logging of the reply."""

from asyncio import CancelledError
from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio
import msgspec

from crocusbay.state import Cause, MayHaveRun
from crocusbay_gateway.coordination.admission import (
    WeightedRoundRobin,
    make_admission_policy,
)
from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.forward import ForwardHandler
from crocusbay_gateway.coordination.gather import ScatterGatherHandler
from crocusbay_gateway.coordination.handover_client import HandoverClient
from crocusbay_gateway.coordination.handover_server import HandoverServer
from crocusbay_gateway.coordination.partial import (
    CALLER_ROUND_TRIP_SECONDS,
    PartialAnswerPolicy,
    min_parts,
)
from crocusbay_gateway.coordination.planned_stop import PlannedStop
from crocusbay_gateway.coordination.refusal import make_refusal, reply_to_failure
from crocusbay_gateway.coordination.relay_server import RelayServer
from crocusbay_gateway.coordination.request_handler import RequestHandler
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView
from crocusbay_gateway.protocol import HandoverCancel, HandoverRequest, RelayQuery
from crocusbay_gateway.state import (
    CallerRequest,
    Configuration,
    Reply,
    Route,
    ToService,
    ToShards,
    ToSplit,
    format_revision,
)
from crocusbay_gateway.transport import FrameConnection

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
# Of a request's ID in reports of errors.
MAX_ID_LENGTH = 64
# With a configuration older than this, a route that is not found may be a new one, so
# the reply is "unavailable" instead of "not found".
NOT_FOUND_MAX_AGE_SECONDS = 2.5
# The final reply is written this long before the caller stops waiting.
REPLY_MARGIN_SECONDS = 0.02
# Open connections to servers may live on while new ones fail.
RECENT_RESPONSE_SECONDS = 0.5
# A host that does not reply within this multiple of the goal may be cut off as well.
HANDOVER_TIMEOUT_GOALS = 3.0
# Most servers that are suspected to have crashed respond to another request by then.
SUSPECTED_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True, eq=False)
class _RunningRequest:
    """Request in progress at this host's servers; `started_at` is monotonic."""

    handler: RequestHandler
    route_name: str
    started_at: float
    may_hand_over: bool


class RequestService:
    """Handle requests according to the configuration in force."""

    def __init__(
        self,
        context: Context,
        configuration: ConfigurationView,
        servers: ServersView,
        cores: float,
        handover: HandoverClient,
        spawn: Callable,
        on_error: Callable[[str, Exception, str], None],
    ) -> None:
        self.running_count = 0
        self.received_count = 0
        self._context = context
        self._configuration = configuration
        self._servers = servers
        self._admission = make_admission_policy(cores)
        self._latency_by_route: dict[str, RouteLatency] = {}
        self._round_robin_by_route: dict[str, WeightedRoundRobin] = {}
        self._handover = handover
        self._on_error = on_error
        self._running_requests: set[_RunningRequest] = set()
        self._handover_scopes: set[anyio.CancelScope] = set()
        self._planned_stop: PlannedStop | None = None
        self.relay_server = RelayServer(context, self.admit_relay)
        self.handover_server = HandoverServer(
            self.handle_handover, context.timers, spawn
        )
        configuration.subscribe(self._drop_removed_routes)

    async def handle(self, request: CallerRequest) -> Reply:
        """Return the final reply to a request."""
        return await self._handle_or_fail(request, may_hand_over=True)

    async def handle_handover(self, request: CallerRequest) -> Reply:
        """Return the final reply to a request that another host handed over."""
        return await self._handle_or_fail(request, may_hand_over=False)

    async def _handle_or_fail(
        self, request: CallerRequest, *, may_hand_over: bool
    ) -> Reply:
        """Return a reply; after an unexpected error, the request may have run."""
        try:
            return await self._handle(request, may_hand_over=may_hand_over)
        except Exception as error:
            self._on_error("request", error, request.attempt_id[:MAX_ID_LENGTH])
            return reply_to_failure(MayHaveRun(Cause.PROTOCOL), 0.0)

    def handle_peer_query(
        self, connection: FrameConnection, query: msgspec.Struct
    ) -> None:
        """Serve a query of another host."""
        match query:
            case HandoverRequest() | HandoverCancel():
                self.handover_server.handle_message(connection, query)
            case _:
                self.relay_server.handle_message(connection, query)

    def handle_peer_disconnect(self, connection: FrameConnection) -> None:
        """Cancel what a closed connection to another host has requested."""
        self.relay_server.handle_disconnect(connection)
        self.handover_server.handle_disconnect(connection)

    def hand_over_running(self) -> None:
        """Have other hosts serve the requests for which no server has responded."""
        if self._handover.has_target:
            for running in list(self._running_requests):
                if running.may_hand_over and running.handler.may_be_interrupted:
                    running.handler.interrupt()

    def start_leaving(self, planned_stop: PlannedStop) -> None:
        """Refuse what would not end before the stop; answer the rest before it."""
        self._planned_stop = planned_stop
        for running in self._running_requests:
            running.handler.start_leaving(planned_stop)
        for scope in self._handover_scopes:
            self._context.timers.at(planned_stop.answer_by, scope.cancel)

    async def _handle(self, request: CallerRequest, *, may_hand_over: bool) -> Reply:
        self.received_count += 1
        route, reply = self._admit(request)
        log_fields: dict[str, object] = {}
        if reply is None:
            self.running_count += 1
            try:
                reply = await self._serve(
                    request, route, log_fields, may_hand_over=may_hand_over
                )
            except CancelledError:
                self._log_caller_left(request, route, log_fields)
                raise
            finally:
                self.running_count -= 1
        self._log_reply(request, route, reply, log_fields)
        return reply

    async def _serve(
        self,
        request: CallerRequest,
        route: Route,
        log_fields: dict[str, object],
        *,
        may_hand_over: bool,
    ) -> Reply:
        """Return the reply, from this host's servers or from another host."""
        if self._context.registry.reachability.is_cut_off:
            if may_hand_over and self._handover.has_target:
                return await self._hand_over(request, route, log_fields)
            if not self._has_recent_response():
                cause = Cause.NO_UPSTREAM
                return make_refusal(cause, self._remaining_time(request))
        handler = self._make_handler(request, route)
        now = self._context.timers.now()
        running = _RunningRequest(handler, route.name, now, may_hand_over)
        self._running_requests.add(running)
        try:
            reply = await handler.run()
        finally:
            self._running_requests.discard(running)
            log_fields.update(handler.log_fields())
        if reply is None:
            return await self._hand_over(request, route, log_fields)
        return reply

    def _has_recent_response(self) -> bool:
        """Return whether open connections to servers still work."""
        silence = (
            self._context.timers.now()
            - self._context.registry.reachability.last_response_at
        )
        return silence < RECENT_RESPONSE_SECONDS

    async def _hand_over(
        self, request: CallerRequest, route: Route, log_fields: dict[str, object]
    ) -> Reply:
        """Return the reply of another host."""
        result, peer = MayHaveRun(Cause.HOST_LEAVING), ""
        with anyio.CancelScope() as scope:
            self._handover_scopes.add(scope)
            try:
                result, peer = await self._handover.serve(
                    self._end_before_stop(request),
                    is_idempotent=route.is_idempotent,
                    reply_timeout=HANDOVER_TIMEOUT_GOALS * route.latency_goal,
                )
            finally:
                self._handover_scopes.discard(scope)
        log_fields["handed_over_to"] = peer
        if isinstance(result, Reply):
            return result
        remaining_time = self._remaining_time(request)
        return reply_to_failure(
            result, route.timeout if remaining_time is None else remaining_time
        )

    def _end_before_stop(self, request: CallerRequest) -> CallerRequest:
        """Return the request with a deadline before this host stops."""
        if self._planned_stop is None:
            return request
        answer_by = self._planned_stop.answer_by
        deadline = answer_by if request.deadline is None else request.deadline
        return replace(request, deadline=min(deadline, answer_by))

    def _ends_before_stop(self, route: Route) -> bool:
        """Return whether a request is likely to end before this host stops."""
        if self._planned_stop is None:
            return True
        now = self._context.timers.now()
        ages = [
            now - running.started_at
            for running in self._running_requests
            if running.route_name == route.name
        ]
        expected_time = max(self._route_latency(route).expected_time, *ages, 0.0)
        return self._planned_stop.accepts(
            now, expected_time, is_idempotent=route.is_idempotent
        )

    def _admit(self, request: CallerRequest) -> tuple[Route | None, Reply | None]:
        """Return the route, if found, and the reply if the request is refused."""
        configuration = self._configuration.configuration
        if configuration is None or not self._servers.seen_revision:
            return None, make_refusal(
                Cause.PLATFORM_UNAVAILABLE, self._remaining_time(request)
            )
        if not request.attempt_id:
            return None, Reply(STATUS_BAD_REQUEST, outcome="bad-request no id")
        route = configuration.find_route(request.host, request.path)
        if route is None:
            age = self._configuration.age(self._context.timers.now())
            if age > NOT_FOUND_MAX_AGE_SECONDS:
                return None, make_refusal(
                    Cause.PLATFORM_UNAVAILABLE, self._remaining_time(request)
                )
            return None, Reply(STATUS_NOT_FOUND, outcome="no-route")
        if not self._ends_before_stop(route):
            return route, make_refusal(
                Cause.HOST_LEAVING, self._remaining_time(request)
            )
        if not self._admission.admits(
            self.running_count + self.relay_server.running_count, route.priority
        ):
            return route, make_refusal(Cause.OVERLOAD, self._remaining_time(request))
        crashes = self._context.crash_monitor.track(request)
        if crashes.is_quarantined():
            self._context.log.warning(
                "quarantine-refusal",
                request=request.attempt_id,
                fingerprint=crashes.fingerprint,
            )
            return route, make_refusal(Cause.QUARANTINED)
        suspected = self._context.crash_monitor.suspected_count(crashes.fingerprint)
        if suspected:
            self._context.log.warning(
                "quarantine-refusal",
                request=request.attempt_id,
                fingerprint=crashes.fingerprint,
                suspected=suspected,
            )
            return route, make_refusal(
                Cause.QUARANTINED, retry_after=SUSPECTED_RETRY_SECONDS
            )
        return route, None

    def admit_relay(self, query: RelayQuery) -> tuple[Route, RouteLatency] | Cause:
        """Return the route of another host's query, or the cause of its refusal."""
        if self._context.registry.reachability.is_cut_off:
            return Cause.NO_CONNECTION
        configuration = self._configuration.configuration
        path = query.target.partition("?")[0]
        route = configuration and configuration.find_route(query.host, path)
        if route is None or not isinstance(route.target, ToShards):
            return Cause.NO_UPSTREAM
        if not self._ends_before_stop(route):
            return Cause.NO_CONNECTION
        if not self._admission.admits(
            self.running_count + self.relay_server.running_count, route.priority
        ):
            return Cause.OVERLOAD
        return route, self._route_latency(route)

    def _make_handler(
        self, request: CallerRequest, route: Route
    ) -> ScatterGatherHandler | ForwardHandler:
        handler = self._make_handler_of_target(request, route)
        if self._planned_stop is not None:
            handler.start_leaving(self._planned_stop)
        return handler

    def _make_handler_of_target(
        self, request: CallerRequest, route: Route
    ) -> ScatterGatherHandler | ForwardHandler:
        give_up_at = request.received_at + route.timeout
        if request.deadline is not None:
            give_up_at = min(give_up_at, request.deadline)
        give_up_at -= REPLY_MARGIN_SECONDS
        if self._planned_stop is not None:
            give_up_at = min(give_up_at, self._planned_stop.answer_by)
        latency = self._route_latency(route)
        match route.target:
            case ToShards():
                return self._make_scatter_gather(request, route, latency, give_up_at)
            case ToService(service):
                return ForwardHandler(
                    self._context, request, route, service, latency, give_up_at
                )
            case ToSplit(weighted_services):
                round_robin = self._round_robin_by_route.setdefault(
                    route.name, WeightedRoundRobin()
                )
                return ForwardHandler(
                    self._context,
                    request,
                    route,
                    round_robin.select(weighted_services),
                    latency,
                    give_up_at,
                )

    def _make_scatter_gather(
        self,
        request: CallerRequest,
        route: Route,
        latency: RouteLatency,
        give_up_at: float,
    ) -> ScatterGatherHandler:
        policy = PartialAnswerPolicy(
            partial_answer_at=request.received_at
            + route.latency_goal
            - CALLER_ROUND_TRIP_SECONDS,
            give_up_at=give_up_at,
            shard_count=len(route.target.services),
            min_parts=min_parts(route.target),
        )
        return ScatterGatherHandler(self._context, request, route, latency, policy)

    def _route_latency(self, route: Route) -> RouteLatency:
        latency = self._latency_by_route.get(route.name)
        if latency is None:
            latency = self._latency_by_route[route.name] = RouteLatency(
                route.latency_goal
            )
        return latency

    def _remaining_time(self, request: CallerRequest) -> float | None:
        if request.deadline is None:
            return None
        return request.deadline - self._context.timers.now()

    def _drop_removed_routes(self, configuration: Configuration) -> None:
        names = {route.name for route in configuration.routes}
        for by_route in (self._latency_by_route, self._round_robin_by_route):
            for name in by_route.keys() - names:
                del by_route[name]

    def _log_caller_left(
        self, request: CallerRequest, route: Route, log_fields: dict[str, object]
    ) -> None:
        elapsed = self._context.timers.now() - request.received_at
        self._context.metrics.latency.observe(elapsed, route.name, "caller-left")
        self._context.log.info(
            "caller-left",
            request=request.attempt_id,
            route=route.name,
            ms=round(elapsed * 1000, 1),
            **log_fields,
        )

    def _log_reply(
        self,
        request: CallerRequest,
        route: Route | None,
        reply: Reply,
        log_fields: dict[str, object],
    ) -> None:
        now = self._context.timers.now()
        elapsed = now - request.received_at
        name = route.name if route else ""
        outcome = reply.outcome.partition(" ")[0]
        self._context.metrics.latency.observe(elapsed, name, outcome)
        log_event: Callable = (
            self._context.log.info if reply.status < 400 else self._context.log.warning
        )
        configuration = self._configuration.configuration
        log_event(
            "request",
            request=request.attempt_id,
            route=name,
            status=reply.status,
            outcome=reply.outcome,
            ms=round(elapsed * 1000, 1),
            retry_after=reply.retry_after,
            version=configuration.version if configuration else None,
            view_age_ms=_milliseconds(self._configuration.age(now)),
            servers_revision=format_revision(self._servers.revision),
            servers_age_ms=_milliseconds(self._servers.age(now)),
            running=self.running_count,
            **log_fields,
        )


def _milliseconds(seconds: float) -> int | None:
    return None if seconds > 1e6 else round(seconds * 1000)
