"""Exchange of heartbeats and views of the store with other hosts."""

from collections import deque
from collections.abc import Callable

import msgspec

from crocusbay.state import split_address
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.server_statements import ServerStatements
from crocusbay_gateway.coordination.sources import SOURCE_PEER
from crocusbay_gateway.coordination.store import Store, StoreUnavailableError
from crocusbay_gateway.coordination.store_era import StoreEra
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import Heartbeat, KnownHost, ViewQuery, ViewResponse
from crocusbay_gateway.state import HostStatus
from crocusbay_gateway.transport import (
    FrameConnection,
    PeerEndpoint,
    ReceiveBudget,
    fetch_view,
)

# Contacts and host counts are included in one heartbeat out of this many.
CONTACTS_INTERVAL_HEARTBEATS = 4
# Between data centres, contacts take half of the bytes, and are rarely new.
BRIDGE_CONTACTS_INTERVAL_HEARTBEATS = 16
MAX_BRIDGE_CONTACTS = 8
# A host that receives heartbeats and sends none to other data centres sends one in
# this many to the seeds as well.
SEEDS_INTERVAL_HEARTBEATS = 40
# One-way delay between hosts, added to the age that a peer reports for its view.
PEER_DELAY_SECONDS = 0.01
HOST_LIST_INTERVAL_SECONDS = 2.0
# Removals of lost hosts that are repeated after a restore of the store.
MAX_REMOVED_NAMES = 64


class Peering:
    """Report this host's status to other hosts, and process theirs.

    `build_status` returns this host's status for a heartbeat number and peer address;
    `on_host_joined` is called when a host is new or was lost before. `on_query` is
    called with each query other than for a view, and its connection.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationView,
        servers: ServersView,
        crash_monitor: CrashMonitor,
        server_statements: ServerStatements,
        store_era: StoreEra,
        build_status: Callable[[int, str], HostStatus],
        on_host_joined: Callable[[], None],
        on_query: Callable[[FrameConnection, msgspec.Struct], None],
        on_disconnect: Callable[[FrameConnection], None],
        log: EventLog,
        metrics: GatewayMetrics,
        timers: TimerService,
        spawn: Callable,
        budget: ReceiveBudget,
    ) -> None:
        self.seed_ips: tuple[str, ...] = ()
        self._membership = membership
        self._configuration = configuration
        self._servers = servers
        self._crash_monitor = crash_monitor
        self._server_statements = server_statements
        self._store_era = store_era
        self._is_written = False
        # Names of lost hosts whose entries this host has removed from the store.
        self._removed_names: deque[str] = deque(maxlen=MAX_REMOVED_NAMES)
        store_era.subscribe(self._write_again)
        self._build_status = build_status
        self._on_host_joined = on_host_joined
        self._log = log
        self._metrics = metrics
        self._timers = timers
        self._spawn = spawn
        self._heartbeat_number = 0
        self._is_fetching = False
        self._endpoint = PeerEndpoint(
            self._on_heartbeat,
            self._answer_view_query,
            lambda reason: log.warning("malformed-peer-message", reason=reason),
            on_query,
            on_disconnect,
            self._count_view,
            budget,
        )

    @property
    def address(self) -> str:
        """Return the address at which other hosts reach this one (ip:port)."""
        return self._endpoint.address

    async def start(self, ip: str, port: int) -> None:
        """Listen for messages of other hosts."""
        await self._endpoint.start(ip, port)

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the next hosts, and regularly to seeds that are not live.

        A host that knows no live host sends to the seeds each time. Later, mainly hosts
        that send heartbeats to other data centres do this, on behalf of all.
        """
        self._heartbeat_number += 1
        heartbeat = self._next_heartbeat()
        self._send_to(heartbeat, self._membership.local_targets())
        self._send_to(
            self._without_most_contacts(heartbeat), self._membership.bridge_targets()
        )
        seeds_interval = (
            CONTACTS_INTERVAL_HEARTBEATS
            if self._membership.is_bridge
            else SEEDS_INTERVAL_HEARTBEATS
        )
        if (
            not self._membership.live_hosts
            or self._heartbeat_number % seeds_interval == 1
        ):
            self._send_to(self._next_heartbeat(), self._seed_addresses())

    def _without_most_contacts(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return a heartbeat for other data centres, where contacts are rarely new."""
        includes_contacts = (
            self._heartbeat_number % BRIDGE_CONTACTS_INTERVAL_HEARTBEATS == 1
        )
        count = MAX_BRIDGE_CONTACTS if includes_contacts else 0
        return msgspec.structs.replace(
            heartbeat, known_hosts=heartbeat.known_hosts[:count]
        )

    def _next_heartbeat(self) -> Heartbeat:
        includes_contacts = self._heartbeat_number % CONTACTS_INTERVAL_HEARTBEATS == 1
        return self._make_heartbeat(includes_contacts=includes_contacts)

    def _send_to(self, heartbeat: Heartbeat, addresses: list[str]) -> None:
        size = self._endpoint.send_heartbeat(heartbeat, addresses)
        remote_count = len(self._membership.remote_addresses().intersection(addresses))
        self._metrics.remote_bytes.add(size * remote_count, "heartbeat")

    def _count_view(self, ip: str, size: int) -> None:
        remote = self._membership.remote_addresses()
        if any(address.startswith(f"{ip}:") for address in remote):
            self._metrics.remote_bytes.add(size, "view")

    def _make_heartbeat(self, *, includes_contacts: bool) -> Heartbeat:
        membership = self._membership
        status = self._build_status(self._heartbeat_number, self.address)
        return Heartbeat(
            status,
            membership.sample_contacts() if includes_contacts else (),
            self._crash_monitor.quarantine.reports_to_share(self._timers.now()),
            membership.host_counts_by_data_centre if includes_contacts else {},
            self._server_statements.reports_to_share(),
            membership.loads_by_data_centre if includes_contacts else {},
            membership.remote_hosts_to_share(is_cut_off=status.is_cut_off),
            self._crash_monitor.quarantine.dismissals_to_share(self._timers.now()),
            self._crash_monitor.suspicions.to_share(self._timers.now()),
        )

    def _seed_addresses(self) -> list[str]:
        """Return the seeds that are not live hosts; at startup, all of them."""
        live_addresses = {status.peer_address for status in self._membership.live_hosts}
        port = split_address(self.address)[1]
        seeds = {f"{ip}:{port}" for ip in self.seed_ips}
        return sorted(seeds - live_addresses - {self.address})

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self._timers.now()
        status = heartbeat.sender
        if self._membership.update(status, now):
            self._log.info("host-found", peer=status.name, place=status.data_centre)
            self._on_host_joined()
            self._crash_monitor.share_again()
            response = self._make_heartbeat(includes_contacts=True)
            self._send_to(response, [status.peer_address])
        for contact in heartbeat.known_hosts:
            self._membership.add_contact(contact)
        self._membership.update_data_centres(
            status.data_centre,
            heartbeat.host_counts_by_data_centre,
            heartbeat.loads_by_data_centre,
        )
        self._membership.learn_remote_hosts(
            status.data_centre, heartbeat.remote_hosts, now
        )
        self._server_statements.record_reports(heartbeat.server_limits)
        self._crash_monitor.record_reports(heartbeat.crash_reports, SOURCE_PEER)
        self._crash_monitor.record_dismissals(heartbeat.dismissed_crashes)
        self._crash_monitor.record_suspicions(heartbeat.suspected_crashes, SOURCE_PEER)
        self._crash_monitor.confirm(status.crashes_seen_revision)
        self._compare_views(status, now)

    def _compare_views(self, status: HostStatus, now: float) -> None:
        """Confirm own views by those of a peer, or fetch the peer's if newer.

        Hosts that don't notice a restore of the store confirm nothing.
        """
        if status.store_era:
            self._store_era.observe(status.store_era, SOURCE_PEER)
        is_behind = self._is_configuration_behind(status)
        if status.knows_eras and not is_behind:
            self._configuration.update(
                status.configuration_revision,
                None,
                now - status.configuration_age - PEER_DELAY_SECONDS,
            )
        cursor = status.servers_revision, status.servers_late_removals
        if cursor > self._servers.cursor:
            is_behind = True
        elif status.knows_eras and self._servers.seen_revision:
            self._servers.confirm(
                status.servers_revision,
                status.servers_seen_revision,
                now - status.servers_age - PEER_DELAY_SECONDS,
            )
        if is_behind and not self._is_fetching:
            self._is_fetching = True
            self._spawn(self._fetch_view, status)

    def _is_configuration_behind(self, status: HostStatus) -> bool:
        if not status.knows_eras:
            return status.configuration_revision > self._configuration.revision
        if status.configuration_version is None:
            return False
        order = status.configuration_version, status.configuration_revision
        return order > self._configuration.order

    async def _fetch_view(self, status: HostStatus) -> None:
        query = ViewQuery(
            self._configuration.revision,
            self._servers.revision,
            self._configuration.version,
        )
        try:
            response, problems = await fetch_view(status.peer_address, query)
        except (OSError, TimeoutError, ValueError) as error:
            self._log.warning("view-not-fetched", peer=status.name, reason=str(error))
            return
        finally:
            self._is_fetching = False
        if problems:
            self._log.warning(
                "view-entries-ignored",
                peer=status.name,
                entries=len(problems),
                reason=problems[0],
            )
        now = self._timers.now()
        previous = self._configuration.revision, self._servers.cursor
        self._configuration.update(
            response.configuration_revision,
            response.configuration,
            now - response.configuration_age - PEER_DELAY_SECONDS,
        )
        if response.servers_seen_revision:
            self._servers.merge(
                response.servers,
                (response.servers_revision, response.servers_late_removals),
                response.servers_seen_revision,
                now - response.servers_age - PEER_DELAY_SECONDS,
            )
        if previous != (self._configuration.revision, self._servers.cursor):
            self.send_heartbeat()

    def _answer_view_query(self, query: ViewQuery) -> ViewResponse:
        now = self._timers.now()
        if query.configuration_version is None:
            is_newer = self._configuration.revision > query.configuration_revision
        else:
            order = query.configuration_version, query.configuration_revision
            is_newer = self._configuration.order > order
        return ViewResponse(
            self._configuration.revision,
            self._configuration.age(now),
            self._servers.revision,
            self._servers.seen_revision,
            self._servers.age(now),
            self._configuration.configuration if is_newer else None,
            self._servers.changed_since(query.servers_revision),
            self._servers.cursor[1],
        )

    def _write_again(self) -> None:
        """Write what a restored store has lost, and remove what it has again."""
        self._is_written = False
        self._membership.forget_again(self._removed_names)
        self._removed_names.clear()

    async def maintain_host_list(self, store: Store) -> None:
        """Write this host's entry to the store and read those of other hosts.

        Only hosts that send heartbeats to other data centres write an entry, which is
        enough to reach a data centre. A host reads the list only while it receives no
        heartbeats, that is, when the seeds do not respond.
        """
        contact = KnownHost(
            self._membership.name, self.address, self._membership.data_centre
        )
        async for _ in self._timers.every(HOST_LIST_INTERVAL_SECONDS, jitter=0.2):
            try:
                if not self._is_written and self._membership.is_bridge:
                    # Set first: a restore during the call makes it due again.
                    self._is_written = True
                    await self._write_host(store, contact)
                if not self._membership.live_hosts:
                    for host in await store.list_hosts():
                        self._membership.add_contact(host)
                for name in self._membership.pop_deleted():
                    if self._membership.is_bridge:
                        await store.remove_host(name)
                        self._removed_names.append(name)
            except StoreUnavailableError as error:
                self._log.info("hosts-not-read", reason=str(error))

    async def _write_host(self, store: Store, contact: KnownHost) -> None:
        try:
            await store.write_host(contact)
        except StoreUnavailableError:
            self._is_written = False
            raise
