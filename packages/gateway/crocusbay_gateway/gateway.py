"""Gateway: wires one process together and runs it until it is told to stop."""

from dataclasses import replace
from typing import Protocol

import anyio

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.entry import (
    EntryCandidate,
    choose_entries,
    gather_time,
)
from crocusbay_gateway.coordination.membership import BEAT_SECONDS, Membership
from crocusbay_gateway.coordination.peering import Peering
from crocusbay_gateway.coordination.quarantine import Quarantine
from crocusbay_gateway.coordination.registry import Registry
from crocusbay_gateway.coordination.relaying import Relays
from crocusbay_gateway.coordination.service import RequestService
from crocusbay_gateway.coordination.store import Store
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView
from crocusbay_gateway.coordination.watching import Watching
from crocusbay_gateway.log import DecisionLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import Dialect
from crocusbay_gateway.state import GatewaySettings, HostStatus, Limits, Reply
from crocusbay_gateway.transport import CallerServer, serve_pages

# Weight of the newest beat in the smoothed load.
LOAD_GAIN = 0.2
# Before a stop the callers' answers must lapse, and then what is under way must end.
SERVE_ON_SHARE_OF_STOP = 0.7
END_MARGIN_SECONDS = 0.5
STOP_CHECK_SECONDS = 0.05
# Callers keep an answer up to three times as long; a short life frees them of a host
# that is leaving, and a question costs little.
ENTRY_LIFETIME_SECONDS = 1.0


class EntryCodec(Protocol):
    """Read questions for entry addresses and write the answers."""

    def place_of(self, target: str) -> str:
        """Return the data centre of the caller that asks, or an empty name."""

    def reply(self, addresses: tuple[str, ...], lifetime: float) -> Reply:
        """Return the answer and how long it holds (seconds)."""


class Gateway:
    """Hold the parts of one process."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: Store,
        entry_codec: EntryCodec,
        log: DecisionLog,
        timers: TimerService,
        metrics: GatewayMetrics,
        incarnation: int,
    ) -> None:
        self.settings = settings
        self.log = log
        self.timers = timers
        self.metrics = metrics
        self.is_leaving = False
        self.configuration = ConfigurationView()
        self.servers = ServersView()
        self.membership = Membership(settings.name, settings.place, incarnation)
        self._dialect = dialect
        self._store = store
        self._entry_codec = entry_codec
        self._load = 0.0
        self._served_before = 0
        self._gather_time = gather_time(settings.cores, settings.link_mbps)
        self._stop = anyio.Event()
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Return whether this host can serve requests."""
        return self.configuration.configuration is not None and bool(
            self.servers.by_name
        )

    def leave(self) -> None:
        """Begin a planned stop."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self.log.info("leaving", running=self.requests.running)
        self.callers.leave()
        self.peering.send_beat()
        self._stop.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Take settings that may change while the process runs: seeds and bounds."""
        self.settings = replace(
            self.settings, seed_ips=settings.seed_ips, bounds=settings.bounds
        )
        self.registry.set_bounds(settings.bounds)
        self.peering.seed_ips = settings.seed_ips
        self.log.info("settings-reloaded", seeds=len(settings.seed_ips))

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.timers.run)
            self._build(tasks)
            await self._listen(tasks)
            self.log.info(
                "started",
                place=self.settings.place,
                callers=self.settings.caller_address,
                incarnation=self.membership.incarnation,
            )
            tasks.start_soon(self._beat_always)
            tasks.start_soon(self.watching.watch_configuration)
            tasks.start_soon(self.watching.watch_servers)
            tasks.start_soon(self.peering.follow_hosts, self._store)
            await self._stop.wait()
            await self._drain()
            self.log.info("stopped", left_out=self.log.left_out)
            self.log.flush()
            tasks.cancel_scope.cancel()

    def _build(self, tasks: anyio.abc.TaskGroup) -> None:
        settings = self.settings
        self.registry = Registry(
            settings.place,
            self._dialect,
            settings.bounds,
            self.timers,
            tasks.start_soon,
        )
        self.quarantine = Quarantine()
        context = Context(
            self._dialect,
            self.timers,
            self.registry,
            self.quarantine,
            self.log,
            self.metrics,
            Relays(self.membership, self.timers, self.log, tasks.start_soon),
        )
        self.requests = RequestService(
            context, self.configuration, self.servers, settings.cores
        )
        self.configuration.subscribe(self._take_configuration)
        self.servers.subscribe(self._take_servers)
        self.watching = Watching(
            self._store,
            self.configuration,
            self.servers,
            self.membership,
            self.timers,
            lambda view: self.peering.send_beat(),
            self._note_store,
        )
        self.callers = CallerServer(
            self.requests.handle,
            self._dialect,
            self.timers,
            self._limits,
            lambda status, reason: self.log.warning(
                "bad-request", status=status, reason=reason
            ),
        )
        self.peering = Peering(
            self.membership,
            self.configuration,
            self.servers,
            self.quarantine,
            self._describe,
            self._set_hosts,
            self.requests.relayed,
            self.log,
            self.timers,
            tasks.start_soon,
        )
        self.peering.seed_ips = settings.seed_ips

    async def _listen(self, tasks: anyio.abc.TaskGroup) -> None:
        settings = self.settings
        await self.callers.start(settings.caller_address, tasks)
        await self.peering.start(settings.ip, settings.peer_port)
        await serve_pages(settings.ready_address, self._ready_page)
        await serve_pages(settings.entry_address, self._entry_page)
        if settings.metrics_port:
            address = f"{settings.ip}:{settings.metrics_port}"
            await serve_pages(address, self._metrics_page)

    async def _drain(self) -> None:
        """Serve on while callers still know this host, then end what is under way."""
        left_at = self.timers.now()
        stop_time = self.settings.bounds.stop_time
        serve_until = left_at + SERVE_ON_SHARE_OF_STOP * stop_time
        end_by = left_at + stop_time - END_MARGIN_SECONDS
        while self.timers.now() < serve_until:
            await self.timers.sleep(STOP_CHECK_SECONDS)
        self.callers.close()
        while self.callers.running and self.timers.now() < end_by:
            await self.timers.sleep(STOP_CHECK_SECONDS)
        self.registry.close()

    def _limits(self) -> Limits:
        configuration = self.configuration.configuration
        return configuration.limits if configuration else Limits()

    def _take_configuration(self, configuration) -> None:
        self.log.info(
            "configuration-in-force",
            version=configuration.version,
            revision=self.configuration.revision,
            routes=len(configuration.routes),
        )
        self.registry.set_configuration(configuration)
        self._note_ready()

    def _take_servers(self, entries) -> None:
        for entry in entries:
            self.log.info(
                "server-changed",
                server=entry.name,
                revision=entry.revision,
                service=entry.service,
                address=entry.address,
                draining=entry.is_draining,
                gone=entry.is_gone,
            )
        self.registry.take(entries)
        self._note_ready()

    def _note_ready(self) -> None:
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self.log.info("ready", hosts=self.membership.host_count)

    def _note_store(self, is_reached: bool, reason: str) -> None:
        if is_reached:
            self.log.info("store-regained")
        else:
            self.log.warning("store-lost", reason=reason)

    def _describe(self, beat: int, peer_address: str) -> HostStatus:
        now = self.timers.now()
        return HostStatus(
            name=self.settings.name,
            incarnation=self.membership.incarnation,
            beat=beat,
            place=self.settings.place,
            caller_address=self.settings.caller_address,
            peer_address=peer_address,
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            reaches_store=self.watching.reaches_store,
            load=round(self._load, 1),
            gather_time=self._gather_time,
            configuration_revision=self.configuration.revision,
            configuration_age=self.configuration.age(now),
            servers_revision=self.servers.revision,
            servers_seen=self.servers.seen,
            servers_age=self.servers.age(now),
        )

    async def _beat_always(self) -> None:
        # At once, so that hosts started together know each other before the first
        # call to the store.
        self.peering.send_beat()
        async for now in self.timers.every(BEAT_SECONDS, jitter=0.1):
            served = self.requests.served
            rate = (served - self._served_before) / BEAT_SECONDS
            self._served_before = served
            self._load += LOAD_GAIN * (rate - self._load)
            for status in self.membership.tick(now):
                self.log.warning("host-lost", peer=status.name, beat=status.beat)
            self._set_hosts()
            self.peering.send_beat()
            self._set_gauges(now)
            self.log.flush()

    def _set_hosts(self) -> None:
        """Divide limits by the hosts there are, and by the load of those beside."""
        beside = [
            status.load
            for status in self.membership.live
            if status.place == self.settings.place
        ]
        total = self._load + sum(beside)
        part = self._load / total if total else 0.0
        places = len(self.membership.hosts_by_place)
        self.registry.set_hosts(self.membership.host_count, part, places)

    def _set_gauges(self, now: float) -> None:
        self.metrics.members.set(len(self.membership.live))
        self.metrics.running.set(self.requests.running)
        self.metrics.view_age.set(self.configuration.age(now), "configuration")
        self.metrics.view_age.set(self.servers.age(now), "servers")

    def _ready_page(self, target: str) -> Reply:
        return Reply(200 if self.is_ready and not self.is_leaving else 503)

    def _metrics_page(self, target: str) -> Reply:
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        return Reply(200, headers, self.metrics.text())

    def _entry_page(self, target: str) -> Reply:
        candidates = [
            EntryCandidate(
                status.caller_address,
                status.place,
                status.load,
                status.gather_time,
                status.is_ready,
                status.is_leaving,
            )
            for status in self.membership.live
        ]
        candidates.append(
            EntryCandidate(
                self.settings.caller_address,
                self.settings.place,
                self._load,
                self._gather_time,
                self.is_ready,
                self.is_leaving,
            )
        )
        place = self._entry_codec.place_of(target)
        entries = choose_entries(candidates, place, self.registry.servers_by_place())
        if not entries:
            return Reply(503, retry_after=ENTRY_LIFETIME_SECONDS)
        return self._entry_codec.reply(entries, ENTRY_LIFETIME_SECONDS)
