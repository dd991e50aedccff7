"""Peering: beats to other hosts, and the views that hosts hand to each other."""

from collections.abc import Callable

from crocusbay.state import split_address
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.quarantine import Quarantine
from crocusbay_gateway.coordination.relayed import RelayedGathers
from crocusbay_gateway.coordination.store import Store, StoreUnavailableError
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView
from crocusbay_gateway.log import DecisionLog
from crocusbay_gateway.protocol import Beat, KnownHost, ViewAnswer, ViewQuery
from crocusbay_gateway.state import HostStatus
from crocusbay_gateway.transport import PeerEndpoint, fetch_view

# Hearsay travels with one beat in so many.
KNOWN_EVERY_BEATS = 4
# Of a host that hears others and does not beat to other data centres.
SEEDS_EVERY_BEATS = 40
# One way between hosts, subtracted from what a peer says of its view's age.
PEER_WAY_SECONDS = 0.01
HOSTS_SECONDS = 2.0


class Peering:
    """Tell other hosts of this one, and learn from them.

    `describe` returns this host's status at a beat; `on_hosts` is called when a host is
    new or back.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationView,
        servers: ServersView,
        quarantine: Quarantine,
        describe: Callable[[int, str], HostStatus],
        on_hosts: Callable[[], None],
        relayed: RelayedGathers,
        log: DecisionLog,
        timers: TimerService,
        spawn: Callable,
    ) -> None:
        self.seed_ips: tuple[str, ...] = ()
        self.address = ""
        self._membership = membership
        self._configuration = configuration
        self._servers = servers
        self._quarantine = quarantine
        self._describe = describe
        self._on_hosts = on_hosts
        self._log = log
        self._timers = timers
        self._spawn = spawn
        self._beat = 0
        self._is_fetching = False
        self._endpoint = PeerEndpoint(
            self._take_beat,
            self._view_answer,
            lambda reason: log.warning("malformed-peer-message", reason=reason),
            relayed.take,
            relayed.lose,
        )

    async def start(self, ip: str, port: int) -> None:
        """Listen for other hosts."""
        self.address = await self._endpoint.start(ip, port)

    def send_beat(self) -> None:
        """Beat to the hosts whose turn it is, and now and then to silent seeds.

        A host that hears nobody tries the seeds each time. Later, those that beat to
        other data centres do so for all.
        """
        self._beat += 1
        self._send_beat_to(self._membership.addresses())
        every = KNOWN_EVERY_BEATS if self._membership.is_bridge else SEEDS_EVERY_BEATS
        if not self._membership.live or self._beat % every == 1:
            self._send_beat_to(self._seed_addresses())

    def _send_beat_to(self, addresses: list[str]) -> None:
        is_known_due = self._beat % KNOWN_EVERY_BEATS == 1
        beat = Beat(
            self._describe(self._beat, self.address),
            self._membership.known() if is_known_due else (),
            self._quarantine.recent(self._timers.now()),
            self._membership.hosts_by_place if is_known_due else {},
        )
        self._endpoint.send(beat, addresses)

    def _seed_addresses(self) -> list[str]:
        """Return the seeds that were not heard, as all are at a start."""
        heard = {status.peer_address for status in self._membership.live}
        port = split_address(self.address)[1]
        seeds = {f"{ip}:{port}" for ip in self.seed_ips}
        return sorted(seeds - heard - {self.address})

    def _take_beat(self, beat: Beat) -> None:
        now = self._timers.now()
        status = beat.sender
        if self._membership.take(status, now):
            self._log.info("host-found", peer=status.name, place=status.place)
            self._on_hosts()
            answer = Beat(
                self._describe(self._beat, self.address),
                self._membership.known(),
                (),
                self._membership.hosts_by_place,
            )
            self._endpoint.send(answer, [status.peer_address])
        for known in beat.known:
            self._membership.take_contact(known)
        self._membership.take_counts(status.place, beat.hosts_by_place)
        for strike in beat.strikes:
            if self._quarantine.strike(strike, now):
                self._log.warning("quarantined", fingerprint=strike.fingerprint)
        self._compare_views(status, now)

    def _compare_views(self, status: HostStatus, now: float) -> None:
        """Take a peer's word that a view is right, or fetch what is newer."""
        lacks = status.configuration_revision > self._configuration.revision
        if not lacks:
            self._configuration.offer(
                status.configuration_revision,
                None,
                now - status.configuration_age - PEER_WAY_SECONDS,
            )
        if status.servers_revision > self._servers.revision:
            lacks = True
        elif self._servers.seen:
            self._servers.confirm(
                status.servers_revision,
                status.servers_seen,
                now - status.servers_age - PEER_WAY_SECONDS,
            )
        if lacks and not self._is_fetching:
            self._is_fetching = True
            self._spawn(self._fetch, status)

    async def _fetch(self, status: HostStatus) -> None:
        query = ViewQuery(self._configuration.revision, self._servers.revision)
        try:
            answer = await fetch_view(status.peer_address, query)
        except (OSError, TimeoutError, ValueError) as error:
            self._log.warning("view-not-fetched", peer=status.name, reason=str(error))
            return
        finally:
            self._is_fetching = False
        now = self._timers.now()
        before = (self._configuration.revision, self._servers.revision)
        self._configuration.offer(
            answer.configuration_revision,
            answer.configuration,
            now - answer.configuration_age - PEER_WAY_SECONDS,
        )
        if answer.servers_seen:
            self._servers.merge(
                answer.servers,
                answer.servers_revision,
                answer.servers_seen,
                now - answer.servers_age - PEER_WAY_SECONDS,
            )
        if before != (self._configuration.revision, self._servers.revision):
            self.send_beat()

    def _view_answer(self, query: ViewQuery) -> ViewAnswer:
        now = self._timers.now()
        is_newer = self._configuration.revision > query.configuration_revision
        return ViewAnswer(
            self._configuration.revision,
            self._configuration.age(now),
            self._servers.revision,
            self._servers.seen,
            self._servers.age(now),
            self._configuration.configuration if is_newer else None,
            self._servers.changed_after(query.servers_revision),
        )

    async def follow_hosts(self, store: Store) -> None:
        """Leave a way to this data centre in the store, and find others there.

        The hosts that beat to other data centres suffice as a way in. They are looked
        up only by a host that the seeds lead to nobody.
        """
        is_announced = False
        own = KnownHost(self._membership.name, self.address, self._membership.place)
        async for _ in self._timers.every(HOSTS_SECONDS, jitter=0.2):
            try:
                if not is_announced and self._membership.is_bridge:
                    await store.announce(own)
                    is_announced = True
                if not self._membership.live:
                    for host in await store.list_hosts():
                        self._membership.take_contact(host)
                for name in self._membership.take_forgotten():
                    if self._membership.is_bridge:
                        await store.remove_host(name)
            except StoreUnavailableError as error:
                self._log.info("hosts-not-read", reason=str(error))
