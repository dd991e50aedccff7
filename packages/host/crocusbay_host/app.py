"""ASGI application: routes for host discovery, requests and operators."""

import math
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import logbook
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from crocusbay.coordination import (
    DeploymentRuntime,
    DocumentQuery,
    OrderIdConflictError,
    OrderRequest,
    Search,
    SearchQuery,
    SearchResult,
    fetch_document,
)
from crocusbay.protocol import to_json
from crocusbay.protocol.caller import (
    BadRequest,
    SearchReply,
)
from crocusbay.protocol.upstream import (
    CLOCK_HEADER,
    REQUEST_HEADER,
    STATUS_NOT_FOUND,
    STATUS_OK,
)
from crocusbay.state import (
    Cause,
    EventKind,
    MayHaveRun,
    NotRun,
    Ran,
    ServiceKind,
    Verdict,
    parse_stamp,
)
from crocusbay_host.host import Host, view_upstreams
from crocusbay_host.reply import (
    STATUS_UNAVAILABLE,
    Reply,
    json_reply,
    verdict_name,
    verdict_reply,
)
from crocusbay_host.request import (
    CallerDisconnected,
    CallerRequest,
    HostNotReadyError,
    Receive,
    RequestError,
    check_id,
    check_json,
    invalid_value_error,
    read_body,
    read_request,
)

STATUS_INTERNAL = 500
# A host reads the configuration within a second if the platform responds.
NOT_READY_RETRY_SECONDS = 1.0
NOT_READY_VERDICT = NotRun(
    Cause.PLATFORM_UNAVAILABLE, NOT_READY_RETRY_SECONDS, "no configuration read yet"
)

Send = Callable[[dict[str, Any]], Awaitable[None]]

_log = logbook.Logger("crocusbay.app")


class App:
    """Route HTTP requests of callers and operators."""

    def __init__(self, host: Host) -> None:
        self._host = host

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI connection; ignore all but HTTP."""
        if scope["type"] != "http":
            return
        request_id = uuid.uuid4().hex
        try:
            reply = await self._dispatch(scope, receive, request_id)
        except RequestError as error:
            self._host.context.metrics.bad_requests.labels(
                error.bad_request.field
            ).inc()
            reply = Reply(error.status, to_json(error.bad_request))
        except HostNotReadyError:
            _log.warning("request-refused", request=request_id, cause="not ready")
            reply = verdict_reply(request_id, NOT_READY_VERDICT)
        except CallerDisconnected:
            return
        except Exception:
            _log.exception("request-failed", request=request_id)
            bad_request = BadRequest("internal error", "", "", "")
            reply = Reply(STATUS_INTERNAL, to_json(bad_request))
        await self._send(send, reply, request_id)

    async def _send(self, send: Send, reply: Reply, request_id: str) -> None:
        headers = [
            (b"content-type", reply.content_type.encode()),
            (b"content-length", str(len(reply.body)).encode()),
            (REQUEST_HEADER.encode(), request_id.encode()),
            (CLOCK_HEADER.encode(), str(self._host.context.clock.now()).encode()),
        ]
        if reply.retry_after:
            seconds = math.ceil(reply.retry_after)
            headers.append((b"retry-after", str(seconds).encode()))
        await send(
            {"type": "http.response.start", "status": reply.status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": reply.body})

    async def _dispatch(
        self, scope: dict[str, Any], receive: Receive, request_id: str
    ) -> Reply:
        request = read_request(scope)
        stamp = request.header_by_name.get(CLOCK_HEADER, "")
        self._host.context.clock.observe(parse_stamp(stamp))
        match request.method, request.path_segments:
            case "GET", ("entry",):
                return json_reply(
                    self._host.entry_reply(request.query_by_name.get("place", ""))
                )
            case "GET", ("health",):
                return self._health()
            case "GET", ("status",):
                return json_reply(self._host.status())
            case "GET", ("timeline",):
                return self._timeline(request)
            case "GET", ("metrics",):
                return self._metrics()
            case "GET", ("deployments", name, "upstreams"):
                return json_reply(view_upstreams(self._runtime(name)))
            case "GET", ("deployments", name, "search"):
                return await self._search(request, receive, request_id, name)
            case "GET", ("deployments", name, "services", service, "documents", doc):
                return await self._document(
                    request, receive, request_id, name, service, doc
                )
            case "POST", ("deployments", name, "services", service, "orders", order):
                return await self._order(
                    request, receive, request_id, name, service, order
                )
        path = "/" + "/".join(request.path_segments)
        raise invalid_value_error(
            "path", f"{request.method} {path}", "a known path", 404
        )

    def _health(self) -> Reply:
        status = STATUS_OK if self._host.is_ready else STATUS_UNAVAILABLE
        return Reply(status, to_json({"host": self._host.context.host}))

    def _timeline(self, request: CallerRequest) -> Reply:
        request_id = request.query_by_name.get("request", "")
        return json_reply(self._host.context.timeline.events(request_id))

    def _metrics(self) -> Reply:
        body = generate_latest(self._host.context.metrics.registry)
        return Reply(STATUS_OK, body, content_type=CONTENT_TYPE_LATEST)

    def _runtime(self, deployment: str) -> DeploymentRuntime:
        runtime = self._host.runtime_by_name.get(deployment)
        if runtime is None and not self._host.is_ready:
            raise HostNotReadyError
        if runtime is None:
            known = ", ".join(sorted(self._host.runtime_by_name)) or "none"
            raise invalid_value_error(
                "deployment", deployment, f"one of: {known}", STATUS_NOT_FOUND
            )
        return runtime

    def _check_service(
        self,
        runtime: DeploymentRuntime,
        service_name: str,
        kinds: tuple[ServiceKind, ...],
    ) -> str:
        service = runtime.config.by_service.get(service_name)
        if service is None:
            raise invalid_value_error(
                "service", service_name, "a service of the deployment", 404
            )
        if service.kind not in kinds:
            raise invalid_value_error(
                "service", service_name, f"a service of kind {'/'.join(kinds)}"
            )
        return service_name

    async def _search(
        self, request: CallerRequest, receive: Receive, request_id: str, deployment: str
    ) -> Reply:
        runtime = self._runtime(deployment)
        query = request.query_parameter("q")
        seconds = request.deadline_seconds(runtime.config.policy.deadline)
        now = self._host.context.timers.now
        started = now()
        search = Search(
            runtime,
            self._host.quarantine,
            SearchQuery(request_id, query, started + seconds),
        )
        verdict = await self._run_admitted(
            runtime, "search", request_id, _cancel_on_disconnect(search.run, receive)
        )
        if not isinstance(verdict, Ran):
            return verdict_reply(request_id, verdict)
        result: SearchResult = verdict.response
        self._host.context.metrics.coverage.labels(deployment).observe(
            result.coverage.ratio
        )
        return json_reply(
            SearchReply(
                request=request_id,
                deployment=deployment,
                snapshot=result.snapshot,
                coverage=result.coverage,
                coverage_ratio=result.coverage.ratio,
                is_complete=result.coverage.is_complete,
                deadline_ms=int(seconds * 1000),
                elapsed_ms=round((now() - started) * 1000, 3),
                hits=result.hits,
            )
        )

    async def _document(
        self,
        request: CallerRequest,
        receive: Receive,
        request_id: str,
        deployment: str,
        service: str,
        document: str,
    ) -> Reply:
        runtime = self._runtime(deployment)
        self._check_service(runtime, service, tuple(ServiceKind))
        seconds = request.deadline_seconds(runtime.config.policy.deadline)
        query = DocumentQuery(
            request_id,
            service,
            check_id("document", document),
            self._host.context.timers.now() + seconds,
        )

        async def fetch() -> Verdict:
            return await fetch_document(runtime, self._host.quarantine, query)

        verdict = await self._run_admitted(
            runtime, "document", request_id, _cancel_on_disconnect(fetch, receive)
        )
        return verdict_reply(request_id, verdict)

    async def _order(
        self,
        request: CallerRequest,
        receive: Receive,
        request_id: str,
        deployment: str,
        service: str,
        order: str,
    ) -> Reply:
        runtime = self._runtime(deployment)
        self._check_service(runtime, service, (ServiceKind.ORDER,))
        check_id("order", order)
        seconds = request.deadline_seconds(runtime.config.policy.deadline)
        body = check_json(await read_body(receive))
        order_request = OrderRequest(
            request_id,
            service,
            order,
            body,
            self._host.context.timers.now() + seconds,
        )

        async def run() -> Verdict:
            return await self._host.orders.run(runtime, order_request)

        try:
            verdict = await self._run_admitted(runtime, "order", request_id, run)
        except OrderIdConflictError:
            expected = "a new id, or the content first sent with this one"
            raise invalid_value_error("order", order, expected, 409) from None
        return verdict_reply(request_id, verdict)

    async def _run_admitted(
        self,
        runtime: DeploymentRuntime,
        kind: str,
        request_id: str,
        run: Callable[[], Awaitable[Verdict]],
    ) -> Verdict:
        """Run a request under admission control and record its outcome."""
        admission = self._host.admission(runtime)
        if not admission.try_acquire():
            verdict = NotRun(Cause.OVERLOAD, admission.retry_after)
            self._count_verdict(runtime, kind, verdict)
            return verdict
        now = self._host.context.timers.now
        started = now()
        timeline = self._host.context.timeline
        timeline.record(
            EventKind.REQUEST_STARTED,
            request=request_id,
            deployment=runtime.name,
            detail=kind,
        )
        verdict: Verdict = MayHaveRun(Cause.CANCELLED)
        try:
            with self._host.end_before_stop() as scope:
                verdict = await run()
            if scope.cancelled_caught:
                verdict = MayHaveRun(Cause.HOST_LEAVING)
        finally:
            seconds = now() - started
            admission.release(seconds)
            self._count_verdict(runtime, kind, verdict)
            metrics = self._host.context.metrics
            metrics.latency.labels(runtime.name, kind).observe(seconds)
            _log.debug(
                EventKind.REQUEST_ENDED.value,
                request=request_id,
                deployment=runtime.name,
                kind=kind,
                verdict=verdict_name(verdict),
                milliseconds=round(seconds * 1000, 1),
            )
            timeline.record(
                EventKind.REQUEST_ENDED,
                request=request_id,
                deployment=runtime.name,
                detail=f"{kind} {verdict_name(verdict)} {seconds * 1000:.1f} ms",
            )
        return verdict

    def _count_verdict(
        self, runtime: DeploymentRuntime, kind: str, verdict: Verdict
    ) -> None:
        name = verdict_name(verdict)
        self._host.context.metrics.verdicts.labels(runtime.name, kind, name).inc()


def _cancel_on_disconnect(
    run: Callable[[], Awaitable[Verdict]], receive: Receive
) -> Callable[[], Awaitable[Verdict]]:
    """Wrap `run` so that it is cancelled when the caller disconnects."""

    async def cancel_on_disconnect(scope: anyio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def run_watched() -> Verdict:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, tasks.cancel_scope)
            verdict = await run()
            tasks.cancel_scope.cancel()
            return verdict
        raise CallerDisconnected

    return run_watched
