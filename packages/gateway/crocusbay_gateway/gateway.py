"""Assembly of one gateway process, and its run until a planned stop."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Protocol

import anyio

from crocusbay.transport.supervision import Supervisor
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.entry import (
    EntryCandidate,
    choose_entry_hosts,
    estimate_gather_time,
)
from crocusbay_gateway.coordination.handover_client import HandoverClient
from crocusbay_gateway.coordination.membership import (
    HEARTBEAT_INTERVAL_SECONDS,
    Membership,
)
from crocusbay_gateway.coordination.peering import Peering
from crocusbay_gateway.coordination.planned_stop import (
    PlannedStop,
    entry_lifetime,
    plan_stop,
)
from crocusbay_gateway.coordination.quarantine import Quarantine
from crocusbay_gateway.coordination.quarantine_store import QuarantineStore
from crocusbay_gateway.coordination.registry import Registry
from crocusbay_gateway.coordination.relay_client import RelayClients
from crocusbay_gateway.coordination.server_prober import ServerProber
from crocusbay_gateway.coordination.server_processes import ServerProcesses
from crocusbay_gateway.coordination.server_statements import ServerStatements
from crocusbay_gateway.coordination.service import RequestService
from crocusbay_gateway.coordination.sources import SOURCE_STORE
from crocusbay_gateway.coordination.store import Store
from crocusbay_gateway.coordination.store_era import StoreEra
from crocusbay_gateway.coordination.store_watcher import StoreWatcher
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import HttpConventions
from crocusbay_gateway.state import (
    GatewaySettings,
    HostStatus,
    Limits,
    Reply,
    format_revision,
)
from crocusbay_gateway.transport import CallerServer, ReceiveBudget, serve_pages
from crocusbay_gateway.unexpected_errors import UnexpectedErrors

# Weight of the newest sample, one per heartbeat, in the smoothed load.
LOAD_SMOOTHING = 0.2
STOP_CHECK_INTERVAL_SECONDS = 0.05
# For the last call to the store, of a host that suspects servers to have crashed.
HAND_ON_SECONDS = 0.15
# Between attempts to listen on an address that is in use.
LISTEN_RETRY_SECONDS = 0.25
TRAFFIC_LOG_INTERVAL_SECONDS = 10.0
# After which a caller asks again for hosts while none is ready.
NO_HOST_RETRY_SECONDS = 1.0


class EntryCodec(Protocol):
    """Parse queries for entry addresses and format the replies."""

    def data_centre_of(self, target: str) -> str:
        """Return the data centre of the querying caller; empty if not given."""

    def reply(self, addresses: tuple[str, ...], lifetime: float) -> Reply:
        """Return a reply with the addresses and their lifetime (seconds)."""


class Gateway:
    """Own the components of a gateway process and run them."""

    def __init__(
        self,
        settings: GatewaySettings,
        conventions: HttpConventions,
        store: Store,
        entry_codec: EntryCodec,
        log: EventLog,
        timers: TimerService,
        metrics: GatewayMetrics,
        errors: UnexpectedErrors,
        incarnation: int,
        receive_budget: ReceiveBudget,
    ) -> None:
        self._receive_budget = receive_budget
        self.settings = settings
        self.log = log
        self.timers = timers
        self.metrics = metrics
        self.errors = errors
        self.is_leaving = False
        self.configuration = ConfigurationView()
        self.servers = ServersView(settings.bounds.server_lease)
        self.store_era = StoreEra(log, metrics)
        store.subscribe_to_era(lambda era: self.store_era.observe(era, SOURCE_STORE))
        self.membership = Membership(settings.name, settings.data_centre, incarnation)
        self._conventions = conventions
        self._store = store
        self._entry_codec = entry_codec
        self._load = 0.0
        self._traffic_logged_at = timers.now()
        self._previous_received_count = 0
        self._gather_time = estimate_gather_time(settings.cores, settings.link_mbps)
        self._planned_stop: PlannedStop
        self._stop_requested = anyio.Event()
        self._has_been_ready = False
        self._is_listening = False

    @property
    def is_ready(self) -> bool:
        """Return whether this host can serve requests."""
        return self.configuration.configuration is not None and bool(
            self.servers.by_name
        )

    def start_leaving(self) -> None:
        """Start a planned stop, and report it to callers and other hosts.

        A host that doesn't listen yet ends at once.
        """
        if not self._is_listening:
            self._stop_requested.set()
        if self.is_leaving or not self._is_listening:
            return
        self.is_leaving = True
        self._planned_stop = plan_stop(
            self.timers.now(), self.settings.bounds.shutdown_timeout
        )
        self.log.info("leaving", running=self.request_service.running_count)
        self.request_service.start_leaving(self._planned_stop)
        self.caller_server.start_leaving()
        self.peering.send_heartbeat()
        self._stop_requested.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change at run time: seeds and bounds."""
        self.settings = replace(
            self.settings, seed_ips=settings.seed_ips, bounds=settings.bounds
        )
        self.registry.set_bounds(settings.bounds)
        self.servers.server_lease = settings.bounds.server_lease
        self.peering.seed_ips = settings.seed_ips
        self.log.info("settings-reloaded", seeds=len(settings.seed_ips))

    async def run(self) -> None:
        """Serve requests until a planned stop is complete."""
        async with anyio.create_task_group() as tasks:
            # An error of the timers themselves, or on the way to the start or the stop,
            # ends the process; every other one ends what it occurred in.
            tasks.start_soon(self.timers.run)
            supervisor = Supervisor(tasks.start_soon, self.timers, self.errors.record)
            self._build(supervisor)
            await self._listen(supervisor)
            if self._stop_requested.is_set():
                self.log.info("stopped")
                tasks.cancel_scope.cancel()
                return
            self._is_listening = True
            self.log.info(
                "started",
                place=self.settings.data_centre,
                callers=self.settings.caller_address,
                incarnation=self.membership.incarnation,
            )
            supervisor.start_service(self._send_heartbeats)
            supervisor.start_service(self.store_watcher.watch_configuration)
            supervisor.start_service(self.store_watcher.watch_servers)
            supervisor.start_service(self.peering.maintain_host_list, self._store)
            supervisor.start_service(self.quarantine_store.run)
            supervisor.start_service(self.server_prober.run)
            await self._stop_requested.wait()
            await self._finish_requests()
            self.log.info("stopped", left_out=self.log.dropped_lines)
            self.log.flush()
            tasks.cancel_scope.cancel()

    def _build(self, supervisor: Supervisor) -> None:
        settings = self.settings
        self.registry = Registry(
            settings.data_centre,
            self._conventions,
            settings.bounds,
            self.timers,
            supervisor.start_soon,
            lambda size: self.metrics.remote_bytes.add(size, "server"),
            self._receive_budget,
        )
        server_processes = ServerProcesses(self.registry, self.servers)
        self.crash_monitor = CrashMonitor(
            Quarantine(),
            self.log,
            self.metrics,
            self.timers,
            lambda: self.peering.send_heartbeat(),
            server_processes.find_state,
            server_processes.hidden_time,
        )
        self.server_statements = ServerStatements(
            self.registry, self.log, self.metrics, self.timers
        )
        self.quarantine_store = QuarantineStore(
            self.crash_monitor,
            self.membership,
            self._store,
            lambda: self.store_watcher.reaches_store,
            self.log,
            self.timers,
        )
        self.store_era.subscribe(self.quarantine_store.write_again)
        self.handover = HandoverClient(
            self.membership, self.log, self.timers, self._receive_budget
        )
        context = Context(
            self._conventions,
            self.timers,
            self.registry,
            self.crash_monitor,
            self.server_statements,
            self.log,
            self.metrics,
            RelayClients(
                self.membership,
                self.timers,
                self.log,
                supervisor.start_soon,
                self._receive_budget,
            ),
        )
        self.request_service = RequestService(
            context,
            self.configuration,
            self.servers,
            settings.cores,
            self.handover,
            supervisor.start_soon,
            self.errors.record,
        )
        self.server_prober = ServerProber(
            self.registry.reachability,
            self.registry,
            self._on_reachability,
            self.log,
            self.timers,
        )
        self.configuration.subscribe(self._on_configuration)
        self.servers.subscribe(self._on_servers)
        self.store_watcher = StoreWatcher(
            self._store,
            self.configuration,
            self.servers,
            self.membership,
            self.timers,
            lambda view: self.peering.send_heartbeat(),
            self._log_store_state,
            self.log,
            self.quarantine_store.observe_poll,
        )
        self.caller_server = CallerServer(
            self.request_service.handle,
            self._conventions,
            self.timers,
            self._limits,
            lambda status, reason: self.log.warning(
                "bad-request", status=status, reason=reason
            ),
            self._receive_budget,
        )
        self.peering = Peering(
            self.membership,
            self.configuration,
            self.servers,
            self.crash_monitor,
            self.server_statements,
            self.store_era,
            self._build_status,
            self._update_limit_shares,
            self.request_service.handle_peer_query,
            self.request_service.handle_peer_disconnect,
            self.log,
            self.metrics,
            self.timers,
            supervisor.start_soon,
            self._receive_budget,
        )
        self.peering.seed_ips = settings.seed_ips

    async def _listen(self, supervisor: Supervisor) -> None:
        """Listen for hosts, checks and callers, for callers last, until stopped."""
        settings = self.settings
        peer_address = f"{settings.ip}:{settings.peer_port}"
        await self._listen_on(
            peer_address, self.peering.start, settings.ip, settings.peer_port
        )
        for address, page in (
            (settings.entry_address, self._entry_page),
            (settings.readiness_address, self._readiness_page),
        ):
            await self._listen_on(address, serve_pages, address, page)
        if settings.metrics_port:
            # Nothing else depends on this address.
            address = f"{settings.ip}:{settings.metrics_port}"
            supervisor.start_soon(
                self._listen_on, address, serve_pages, address, self._metrics_page
            )
        address = settings.caller_address
        await self._listen_on(
            address, self.caller_server.start, address, supervisor.start_soon
        )

    async def _listen_on(
        self, address: str, listen: Callable[..., Awaitable], *args
    ) -> None:
        """Listen on an address, and try again while it is in use, until stopped."""
        while not self._stop_requested.is_set():
            try:
                await listen(*args)
                return
            except OSError as error:
                self.log.warning("not-listening", address=address, reason=str(error))
            await self.timers.sleep(LISTEN_RETRY_SECONDS)

    async def _finish_requests(self) -> None:
        """Serve while callers may use this host; then finish requests in flight."""
        stop = self._planned_stop
        while self.timers.now() < stop.listen_until:
            await self.timers.sleep(STOP_CHECK_INTERVAL_SECONDS)
        self.caller_server.close()
        await self._wait_for_requests(stop.answer_by)
        self.caller_server.stop_reading()
        await self._wait_for_requests(stop.end_by)
        await self._hand_on_suspicions()
        self.registry.close()
        # The last replies to other hosts may still be on their way.
        await self.timers.sleep(STOP_CHECK_INTERVAL_SECONDS)

    async def _hand_on_suspicions(self) -> None:
        """Tell other hosts and the store which servers may have crashed."""
        self.crash_monitor.report_now()
        with anyio.move_on_after(HAND_ON_SECONDS):
            await self.quarantine_store.flush()

    async def _wait_for_requests(self, until: float) -> None:
        while self._has_requests and self.timers.now() < until:
            await self.timers.sleep(STOP_CHECK_INTERVAL_SECONDS)

    @property
    def _has_requests(self) -> bool:
        """Return whether requests of callers or of other hosts are in progress."""
        return bool(
            self.caller_server.requests_in_progress
            or self.request_service.running_count
            or self.request_service.relay_server.running_count
        )

    def _limits(self) -> Limits:
        configuration = self.configuration.configuration
        return configuration.limits if configuration else Limits()

    def _on_configuration(self, configuration) -> None:
        self.log.info(
            "configuration-in-force",
            version=configuration.version,
            revision=format_revision(self.configuration.revision),
            routes=len(configuration.routes),
        )
        self.registry.set_configuration(configuration)
        self._log_first_ready()

    def _on_servers(self, entries) -> None:
        for entry in entries:
            self.log.info(
                "server-changed",
                server=entry.name,
                revision=format_revision(entry.revision),
                service=entry.service,
                address=entry.address,
                draining=entry.is_draining,
                gone=entry.is_removed,
            )
        unknown_for = self.servers.unknown_for(self.timers.now())
        self.registry.apply_entries(entries, unknown_for)
        self._log_first_ready()

    def _log_first_ready(self) -> None:
        if self.is_ready and not self._has_been_ready:
            self._has_been_ready = True
            self.log.info("ready", hosts=self.membership.host_count)

    def _on_reachability(self) -> None:
        """Tell other hosts whether this one reaches servers, and act on it."""
        self.peering.send_heartbeat()
        if self.registry.reachability.is_cut_off:
            self.request_service.hand_over_running()

    def _log_store_state(self, is_reached: bool, reason: str) -> None:
        if is_reached:
            self.log.info("store-regained")
        else:
            self.log.warning("store-lost", reason=reason)

    def _build_status(self, heartbeat_number: int, peer_address: str) -> HostStatus:
        now = self.timers.now()
        return HostStatus(
            name=self.settings.name,
            incarnation=self.membership.incarnation,
            heartbeat_number=heartbeat_number,
            data_centre=self.settings.data_centre,
            caller_address=self.settings.caller_address,
            peer_address=peer_address,
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            reaches_store=self.store_watcher.reaches_store,
            load=round(self._load, 1),
            gather_time=self._gather_time,
            configuration_revision=self.configuration.revision,
            configuration_age=self.configuration.age(now),
            servers_revision=self.servers.revision,
            servers_seen_revision=self.servers.seen_revision,
            servers_age=self.servers.age(now),
            servers_late_removals=self.servers.cursor[1],
            is_cut_off=self.registry.reachability.is_cut_off,
            accepts_handovers=True,
            configuration_version=self.configuration.version,
            store_era=self.store_era.current,
            crashes_seen_revision=max(0, self.crash_monitor.seen_revision),
        )

    async def _send_heartbeats(self) -> None:
        # The first one is sent without delay, so that hosts started together know each
        # other before the first call to the store.
        self.peering.send_heartbeat()
        async for now in self.timers.every(HEARTBEAT_INTERVAL_SECONDS, jitter=0.1):
            received_count = self.request_service.received_count
            rate = (
                received_count - self._previous_received_count
            ) / HEARTBEAT_INTERVAL_SECONDS
            self._previous_received_count = received_count
            self._load += LOAD_SMOOTHING * (rate - self._load)
            self.membership.own_load = self._load
            for status in self.membership.expire(now):
                self.log.warning(
                    "host-lost", peer=status.name, beat=status.heartbeat_number
                )
            self.handover.close_lost()
            self._log_remote_traffic(now)
            self._update_limit_shares()
            self.peering.send_heartbeat()
            self._set_gauges(now)
            self.log.flush()

    def _log_remote_traffic(self, now: float) -> None:
        """Log the bytes exchanged with other data centres, by purpose, at intervals."""
        if now < self._traffic_logged_at + TRAFFIC_LOG_INTERVAL_SECONDS:
            return
        self._traffic_logged_at = now
        by_labels = self.metrics.remote_bytes.by_labels
        self.log.info(
            "remote-traffic",
            **{purpose: int(size) for (purpose,), size in by_labels.items()},
        )

    def _update_limit_shares(self) -> None:
        """Set this host's share of limits by host count and load in the data centre."""
        membership = self.membership
        self.registry.set_limit_shares(
            membership.host_count,
            membership.local_load_share,
            membership.data_centre_count,
        )
        self.server_statements.set_share(self.membership.load_share)

    def _set_gauges(self, now: float) -> None:
        self.metrics.members.set(len(self.membership.live_hosts))
        self.metrics.running.set(self.request_service.running_count)
        self.metrics.server_silence.set(
            now - self.registry.reachability.last_response_at
        )
        self.metrics.view_age.set(self.configuration.age(now), "configuration")
        self.metrics.view_age.set(self.servers.age(now), "servers")

    def _readiness_page(self, target: str) -> Reply:
        return Reply(200 if self.is_ready and not self.is_leaving else 503)

    def _metrics_page(self, target: str) -> Reply:
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        return Reply(200, headers, self.metrics.render())

    def _entry_page(self, target: str) -> Reply:
        candidates = [
            EntryCandidate(
                status.caller_address,
                status.data_centre,
                status.load,
                status.gather_time,
                status.is_ready,
                status.is_leaving,
                status.is_cut_off,
            )
            for status in self.membership.known_hosts
        ]
        candidates.append(
            EntryCandidate(
                self.settings.caller_address,
                self.settings.data_centre,
                self._load,
                self._gather_time,
                self.is_ready,
                self.is_leaving,
                self.registry.reachability.is_cut_off,
            )
        )
        data_centre = self._entry_codec.data_centre_of(target)
        entries = choose_entry_hosts(
            candidates, data_centre, self.registry.server_counts_by_data_centre()
        )
        if not entries:
            return Reply(503, retry_after=NO_HOST_RETRY_SECONDS)
        lifetime = entry_lifetime(self.settings.bounds.shutdown_timeout)
        return self._entry_codec.reply(entries, lifetime)
