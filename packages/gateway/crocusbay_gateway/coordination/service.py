"""Request service: from a caller's request to its final reply."""

from asyncio import CancelledError
from collections.abc import Callable

from crocusbay.state import Cause
from crocusbay_gateway.coordination.admission import Split, admission_for
from crocusbay_gateway.coordination.attempt import RouteTiming
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.forward import Forward
from crocusbay_gateway.coordination.gather import Gather
from crocusbay_gateway.coordination.partial import (
    WAY_SECONDS,
    PartialPolicy,
    least_parts,
)
from crocusbay_gateway.coordination.quarantine import fingerprint
from crocusbay_gateway.coordination.refusal import refuse
from crocusbay_gateway.coordination.relayed import RelayedGathers
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView
from crocusbay_gateway.protocol import RelayQuery
from crocusbay_gateway.state import (
    CallerRequest,
    Configuration,
    Reply,
    Route,
    ToService,
    ToShards,
    ToSplit,
)

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
# Beyond this age of the configuration a route that is not there may be new.
UNSURE_SECONDS = 2.5
# A final answer is written this long before the caller stops waiting.
GIVE_UP_MARGIN_SECONDS = 0.02


class RequestService:
    """Serve requests by the configuration in force."""

    def __init__(
        self,
        context: Context,
        configuration: ConfigurationView,
        servers: ServersView,
        cores: float,
    ) -> None:
        self.running = 0
        self.served = 0
        self._context = context
        self._configuration = configuration
        self._servers = servers
        self._admission = admission_for(cores)
        self._timing_by_route: dict[str, RouteTiming] = {}
        self._split_by_route: dict[str, Split] = {}
        self.relayed = RelayedGathers(context, self.plan_relay)
        configuration.subscribe(self._drop_stale_routes)

    async def handle(self, request: CallerRequest) -> Reply:
        """Return the final reply to a request."""
        self.served += 1
        route, reply = self._admit(request)
        facts: dict[str, object] = {}
        if reply is None:
            job = self._make_job(request, route)
            self.running += 1
            try:
                reply = await job.run()
            except CancelledError:
                self._note_left(request, route, job.facts())
                raise
            finally:
                self.running -= 1
            facts = job.facts()
        self._note(request, route, reply, facts)
        return reply

    def _admit(self, request: CallerRequest) -> tuple[Route | None, Reply | None]:
        """Return the route of a request, and the refusal if it is not served."""
        configuration = self._configuration.configuration
        if configuration is None or not self._servers.seen:
            return None, refuse(Cause.PLATFORM_UNAVAILABLE, self._left(request))
        if not request.attempt:
            return None, Reply(STATUS_BAD_REQUEST, outcome="bad-request no id")
        route = configuration.find(request.host, request.path)
        if route is None:
            age = self._configuration.age(self._context.timers.now())
            if age > UNSURE_SECONDS:
                return None, refuse(Cause.PLATFORM_UNAVAILABLE, self._left(request))
            return None, Reply(STATUS_NOT_FOUND, outcome="no-route")
        if not self._admission.admits(self.running + self.relayed.running, route.rank):
            return route, refuse(Cause.OVERLOAD, self._left(request))
        now = self._context.timers.now()
        if self._context.quarantine.holds(fingerprint(request), now):
            return route, refuse(Cause.QUARANTINED)
        return route, None

    def plan_relay(self, query: RelayQuery) -> tuple[Route, RouteTiming] | Cause:
        """Return the route of another host's query, or why it is not taken."""
        configuration = self._configuration.configuration
        path = query.target.partition("?")[0]
        route = configuration and configuration.find(query.host, path)
        if route is None or not isinstance(route.target, ToShards):
            return Cause.NO_UPSTREAM
        if not self._admission.admits(self.running + self.relayed.running, route.rank):
            return Cause.OVERLOAD
        return route, self._timing(route)

    def _make_job(self, request: CallerRequest, route: Route) -> Gather | Forward:
        give_up_at = request.received_at + route.timeout
        if request.deadline is not None:
            give_up_at = min(give_up_at, request.deadline)
        give_up_at -= GIVE_UP_MARGIN_SECONDS
        timing = self._timing(route)
        match route.target:
            case ToShards():
                return self._gather(request, route, timing, give_up_at)
            case ToService(service):
                return Forward(
                    self._context, request, route, service, timing, give_up_at
                )
            case ToSplit(parts):
                split = self._split_by_route.setdefault(route.name, Split())
                return Forward(
                    self._context,
                    request,
                    route,
                    split.draw(parts),
                    timing,
                    give_up_at,
                )

    def _gather(
        self,
        request: CallerRequest,
        route: Route,
        timing: RouteTiming,
        give_up_at: float,
    ) -> Gather:
        policy = PartialPolicy(
            answer_by=request.received_at + route.goal - WAY_SECONDS,
            give_up_at=give_up_at,
            shards=len(route.target.services),
            least_parts=least_parts(route.target),
        )
        return Gather(self._context, request, route, timing, policy)

    def _timing(self, route: Route) -> RouteTiming:
        timing = self._timing_by_route.get(route.name)
        if timing is None:
            timing = self._timing_by_route[route.name] = RouteTiming(route.goal)
        return timing

    def _left(self, request: CallerRequest) -> float | None:
        if request.deadline is None:
            return None
        return request.deadline - self._context.timers.now()

    def _drop_stale_routes(self, configuration: Configuration) -> None:
        names = {route.name for route in configuration.routes}
        for by_route in (self._timing_by_route, self._split_by_route):
            for name in by_route.keys() - names:
                del by_route[name]

    def _note_left(
        self, request: CallerRequest, route: Route, facts: dict[str, object]
    ) -> None:
        elapsed = self._context.timers.now() - request.received_at
        self._context.metrics.latency.observe(elapsed, route.name, "caller-left")
        self._context.log.info(
            "caller-left",
            request=request.attempt,
            route=route.name,
            ms=round(elapsed * 1000, 1),
            **facts,
        )

    def _note(
        self,
        request: CallerRequest,
        route: Route | None,
        reply: Reply,
        facts: dict[str, object],
    ) -> None:
        now = self._context.timers.now()
        elapsed = now - request.received_at
        name = route.name if route else ""
        outcome = reply.outcome.partition(" ")[0]
        self._context.metrics.latency.observe(elapsed, name, outcome)
        write: Callable = (
            self._context.log.info if reply.status < 400 else self._context.log.warning
        )
        configuration = self._configuration.configuration
        write(
            "request",
            request=request.attempt,
            route=name,
            status=reply.status,
            outcome=reply.outcome,
            ms=round(elapsed * 1000, 1),
            retry_after=reply.retry_after,
            version=configuration.version if configuration else None,
            view_age_ms=_milliseconds(self._configuration.age(now)),
            servers_revision=self._servers.revision,
            servers_age_ms=_milliseconds(self._servers.age(now)),
            running=self.running,
            **facts,
        )


def _milliseconds(seconds: float) -> int | None:
    return None if seconds > 1e6 else round(seconds * 1000)
