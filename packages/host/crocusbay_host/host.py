"""One host: wires its components together and applies stored configuration."""

import errno
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import logbook

from crocusbay.coordination import (
    AdmissionControl,
    Context,
    DeploymentRuntime,
    Membership,
    Metrics,
    ObjectCache,
    OrderCoordinator,
    Peering,
    PeeringSetup,
    Quarantine,
    Replication,
    rank_entry_addresses,
)
from crocusbay.protocol import from_json
from crocusbay.protocol.caller import EntryReply, HostStatus, UpstreamView
from crocusbay.protocol.lists import decode_upstreams
from crocusbay.protocol.platform import StoredObject
from crocusbay.state import (
    Deployment,
    EventKind,
    HybridClock,
    IndexStatus,
    Load,
    Timeline,
    UpstreamStatus,
)
from crocusbay.state.keys import (
    CONFIG_PREFIX,
    INDEX_PREFIX,
    UPSTREAMS_PREFIX,
    index_key,
    upstreams_key,
)
from crocusbay.state.settings import Settings
from crocusbay.transport import (
    PlatformClient,
    Supervisor,
    TimerService,
    open_listener,
    serve,
)

HOST_COUNT_INTERVAL_SECONDS = 0.5
LISTEN_RETRY_SECONDS = 0.25
# Left for the replies when a planned stop cancels requests.
STOP_MARGIN_SECONDS = 0.2

_log = logbook.Logger("crocusbay.host")


class Host:
    """Own the components, deployments and background tasks of one host."""

    def __init__(self, settings: Settings, clock: HybridClock) -> None:
        self.settings = settings
        self.runtime_by_name: dict[str, DeploymentRuntime] = {}
        self.context = Context(
            settings.name,
            settings.place,
            clock,
            TimerService(),
            Timeline(settings.name, clock),
            Metrics(),
        )
        self.context.timers.on_error = self._report_error
        self.quarantine = Quarantine(self.context.timers.now)
        self.orders: OrderCoordinator
        self.caller_address = ""
        self._admission_by_name: dict[str, AdmissionControl] = {}
        self._cache = ObjectCache()
        self._cache.subscribe(self._apply_object)
        self._membership = Membership(settings.name, self.context.timers.now)
        self._platform = PlatformClient(settings.platform_address, clock)
        self._listener: socket.socket
        self._peering: Peering | None = None
        self._replication: Replication
        self._tasks: Supervisor
        self._leaving = anyio.Event()
        self._request_scopes: set[anyio.CancelScope] = set()
        # Time of the event loop by which requests are answered (seconds).
        self._answer_by = float("inf")

    async def run(self, app, on_started) -> None:
        """Serve until `leave` is called and requests in progress have been drained.

        `on_started` receives the bound caller and peer addresses. An address that is in
        use is tried again; `leave` ends a host that still waits for one.
        """
        is_listening = await self._listen_on(
            self.settings.caller_address, self._listen_for_callers
        ) and await self._listen_on(self.settings.peer_address, self._listen_for_peers)
        if not is_listening:
            self._record(EventKind.HOST_STOPPED)
            await self._platform.close()
            return
        async with anyio.create_task_group() as tasks:
            self._tasks = Supervisor(
                tasks.start_soon, self.context.timers, self._report_error
            )
            # An error of the timers themselves ends the process, others their task.
            tasks.start_soon(self.context.timers.run)
            self.orders = OrderCoordinator(self._platform, self.context, self._tasks)
            self._start_tasks()
            self._record(EventKind.HOST_STARTED)
            on_started(self.caller_address, self._peering.address)
            await serve(
                app, self._listener, self._wait_for_shutdown, self.settings.drain_limit
            )
            self._record(EventKind.HOST_STOPPED)
            tasks.cancel_scope.cancel()
        await self._platform.close()

    @property
    def is_ready(self) -> bool:
        """Return whether this host has read the configuration, or received it."""
        return self._cache.revision > 0

    def leave(self) -> None:
        """Start a planned shutdown: notify peers and drop out of /entry replies."""
        if self._leaving.is_set():
            return
        self._record(EventKind.HOST_LEAVING)
        self._leaving.set()
        if self._peering is None:
            return
        settings = self.settings
        stop_time = settings.entry_lifetime + settings.drain_limit
        self._answer_by = anyio.current_time() + max(
            0.0, stop_time - STOP_MARGIN_SECONDS
        )
        for scope in self._request_scopes:
            scope.deadline = self._answer_by
        self._peering.is_leaving = True
        self._peering.send_heartbeats()

    def entry_reply(self, place: str) -> EntryReply:
        """Return host addresses in order of preference for a caller in `place`."""
        members = self._membership.serving
        if not self._leaving.is_set():
            members.append(self._peering.local_member)
        return EntryReply(
            rank_entry_addresses(members, place),
            int(self.settings.entry_lifetime * 1000),
        )

    def admission(self, runtime: DeploymentRuntime) -> AdmissionControl:
        """Return the admission control of a deployment, with its configured limit."""
        limit = runtime.config.policy.concurrent_requests
        admission = self._admission_by_name.setdefault(
            runtime.name, AdmissionControl(limit)
        )
        admission.limit = limit
        return admission

    @contextmanager
    def end_before_stop(self) -> Iterator[anyio.CancelScope]:
        """Cancel a request that would not end before this host stops."""
        with anyio.CancelScope(deadline=self._answer_by) as scope:
            self._request_scopes.add(scope)
            try:
                yield scope
            finally:
                self._request_scopes.discard(scope)

    def status(self) -> HostStatus:
        """Return the state of this host, as shown to operators."""
        member = self._peering.local_member
        versions = {key: each.version for key, each in self._cache.by_key.items()}
        return HostStatus(
            name=member.name,
            place=member.place,
            caller_address=member.caller_address,
            incarnation=member.incarnation,
            is_leaving=member.is_leaving,
            revision=member.revision,
            running=member.load.running,
            limit=member.load.limit,
            config_versions=versions,
            members=tuple(self._membership.live),
            is_platform_up=self._replication.is_platform_up,
            cpu_seconds=time.process_time(),
        )

    async def _listen_on(self, address: str, listen: Callable[[], None]) -> bool:
        """Listen once the address isn't in use; return False if `leave` comes first."""
        while not self._leaving.is_set():
            try:
                listen()
                return True
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                _log.warning("not-listening", address=address, fault=str(error))
            with anyio.move_on_after(LISTEN_RETRY_SECONDS):
                await self._leaving.wait()
        return False

    def _listen_for_callers(self) -> None:
        self._listener, self.caller_address = open_listener(
            self.settings.caller_address
        )

    def _listen_for_peers(self) -> None:
        setup = PeeringSetup(
            self.caller_address, self.settings.peer_address, self.settings.seeds
        )
        self._peering = Peering(
            setup,
            self.context,
            self._membership,
            self._cache,
            self.quarantine,
            self._current_load,
        )

    def _start_tasks(self) -> None:
        self._replication = Replication(
            self._platform,
            self._cache,
            self._membership,
            self._peering,
            self.context,
        )
        # It closes its sockets at its end, so it is not started again.
        self._tasks.start_soon(self._peering.run)
        for service in (
            self._replication.replicate_objects,
            self._replication.poll_host_list,
            self._update_host_count,
        ):
            self._tasks.start_service(service)

    async def _update_host_count(self) -> None:
        """Divide connection limits among the known hosts, at regular intervals."""
        async for _ in self.context.timers.every(HOST_COUNT_INTERVAL_SECONDS):
            for runtime in self.runtime_by_name.values():
                runtime.set_host_count(self._membership.host_count)

    async def _wait_for_shutdown(self) -> None:
        """Wait for `leave`, then until /entry replies that name this host expire."""
        await self._leaving.wait()
        await self.context.timers.sleep(self.settings.entry_lifetime)

    def _current_load(self) -> Load:
        admissions = self._admission_by_name.values()
        running = sum(admission.running for admission in admissions)
        limit = sum(admission.limit for admission in admissions)
        return Load(running, max(1, limit))

    def _record(self, kind: EventKind, deployment: str = "", detail: str = "") -> None:
        self.context.timeline.record(kind, deployment=deployment, detail=detail)
        _log.info(kind.value, deployment=deployment, detail=detail)

    def _apply_object(self, stored: StoredObject) -> None:
        """Apply a newer object version; keep the previous one if it is malformed."""
        if stored.key.startswith(CONFIG_PREFIX):
            self._decode_and_apply(stored, Deployment, self._set_config)
        elif stored.key.startswith(UPSTREAMS_PREFIX):
            self._apply_upstreams(stored)
        elif stored.key.startswith(INDEX_PREFIX):
            self._decode_and_apply(stored, IndexStatus, self._set_index)
        self.context.metrics.revision.set(stored.version)

    def _apply_upstreams(self, stored: StoredObject) -> None:
        """Apply a list of servers without those that can't be used."""
        try:
            status, problems = decode_upstreams(bytes(stored.value))
        except ValueError as error:
            self._reject_object(stored, str(error))
            return
        for problem in problems:
            _log.error("upstream-ignored", key=stored.key, fault=problem)
            self.context.metrics.bad_messages.inc()
        self._set_upstreams(stored, status)
        self._record_applied(stored)

    def _reject_object(self, stored: StoredObject, fault: str) -> None:
        _log.error("object-malformed", key=stored.key, fault=fault)
        self.context.metrics.bad_messages.inc()

    def _record_applied(self, stored: StoredObject) -> None:
        detail = f"{stored.key} version {stored.version}"
        self._record(EventKind.CONFIG_APPLIED, detail=detail)

    def _report_error(self, task: str, error: Exception) -> None:
        """Report an error that ended a task, a message or a timer."""
        self.context.metrics.unexpected_errors.labels(task).inc()
        _log.error(
            "unexpected-error",
            task=task,
            fault=repr(error),
            exc_info=(type(error), error, error.__traceback__),
        )

    def _decode_and_apply(self, stored: StoredObject, target_type: type, apply) -> None:
        decoded = from_json(bytes(stored.value), target_type)
        if decoded.is_error():
            self._reject_object(stored, decoded.error)
            return
        apply(stored, decoded.ok)
        self._record_applied(stored)

    def _set_config(self, stored: StoredObject, config: Deployment) -> None:
        runtime = self.runtime_by_name.get(config.name)
        if runtime is not None:
            runtime.set_config(config)
            return
        runtime = DeploymentRuntime(config, self.context, self._tasks)
        self.runtime_by_name[config.name] = runtime
        runtime.set_host_count(self._membership.host_count)
        for key in (upstreams_key(config.name), index_key(config.name)):
            if key in self._cache.by_key:
                self._apply_object(self._cache.by_key[key])

    def _set_upstreams(self, stored: StoredObject, status: UpstreamStatus) -> None:
        runtime = self.runtime_by_name.get(stored.key.removeprefix(UPSTREAMS_PREFIX))
        if runtime is not None:
            runtime.set_upstreams(status)

    def _set_index(self, stored: StoredObject, index: IndexStatus) -> None:
        runtime = self.runtime_by_name.get(stored.key.removeprefix(INDEX_PREFIX))
        if runtime is not None:
            runtime.set_index(index)


def view_upstreams(runtime: DeploymentRuntime) -> list[UpstreamView]:
    """Return the state of each upstream of a deployment, as seen by this host."""
    return [
        UpstreamView(
            name=server.upstream.name,
            service=server.upstream.service,
            place=server.upstream.place,
            is_up=server.is_up,
            is_leaving=server.is_draining,
            latency_ms=round(server.latency.mean * 1000, 3),
            in_flight=server.in_flight,
            waiting=server.pool.waiting,
            connections=server.pool.open_connections,
            connecting=server.pool.connecting,
            share=server.pool.connection_limit,
            pings=server.pool.pings,
            closed_by_cause=server.pool.closed_by_cause,
        )
        for server in runtime.servers_by_name.values()
    ]
