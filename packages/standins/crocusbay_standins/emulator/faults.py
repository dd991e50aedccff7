"""Faults of the emulator: links between hosts, clocks, store and servers.

Link and clock faults are possible only here: the hosts of a process soak share the
network and the clock of one machine.
"""

import asyncio
from dataclasses import replace

from crocusbay.state import split_address
from crocusbay_standins.soak.faults import Fault, FaultInjector
from crocusbay_standins.soak.servers import ServerBehaviour
from crocusbay_standins.soak.store import Outage

MAX_LOSS_RATIO = 0.5
MAX_CLOCK_OFFSET_SECONDS = 3_600.0
# Longer than hosts need to detect an outage, shorter than they keep entries
# without a store.
MAX_OUTAGE_SECONDS = 6.0
MIN_GROUPS_SECONDS = 3.0
SLOW_STORE_DELAY_SECONDS = 0.5
LOST_RESPONSE_RATIO = 0.5
MAX_PAUSE_SECONDS = 0.4


class EmulatedFaultInjector(FaultInjector):
    """Inject faults into an emulated deployment."""

    def available_faults(self) -> list[Fault]:
        """Return the faults to draw from, including those of a process soak."""
        return [
            *super().available_faults(),
            self._partition_two_hosts,
            self._isolate_host,
            self._partition_groups,
            self._drop_datagrams,
            self._offset_clock,
            self._kill_all_hosts,
            self._fail_store,
            self._expire_server_entries,
            self._slow_store,
            self._drop_store_responses,
            self._pause_servers,
            self._corrupt_server_responses,
            self._swap_server_addresses,
        ]

    async def clear(self) -> None:
        """End every fault, including those of links and the store."""
        self._network.heal()
        self._network.loss_ratio = 0.0
        self._store.outage = Outage.NONE
        self._store.response_delay_seconds = self._store.lost_share = 0.0
        await super().clear()

    @property
    def _network(self):
        return asyncio.get_running_loop().network

    async def _partition_two_hosts(self, seconds: float) -> None:
        """Partition two hosts; both still reach everything else."""
        one, other = self._rng.sample(self._hosts, 2)
        self._log_partition(f"{one.name} and {other.name}", seconds)
        self._network.partition(one.settings.ip, other.settings.ip)
        await asyncio.sleep(seconds)
        self._network.heal()

    async def _isolate_host(self, seconds: float) -> None:
        """Partition a host from all other hosts."""
        host = self._rng.choice(self._hosts)
        self._log_partition(f"{host.name} from all hosts", seconds)
        for other in self._hosts:
            if other is not host:
                self._network.partition(host.settings.ip, other.settings.ip)
        await asyncio.sleep(seconds)
        self._network.heal()

    async def _partition_groups(self, seconds: float) -> None:
        """Partition the hosts into two groups, for longer than a host is missed."""
        seconds += MIN_GROUPS_SECONDS
        group = self._rng.sample(self._hosts, len(self._hosts) // 2)
        names = ", ".join(sorted(host.name for host in group))
        self._log_partition(f"{names} from all others", seconds)
        for host in group:
            for other in self._hosts:
                if other not in group:
                    self._network.partition(host.settings.ip, other.settings.ip)
        await asyncio.sleep(seconds)
        self._network.heal()

    def _log_partition(self, text: str, seconds: float) -> None:
        """Log a fault that excuses nothing: the hosts reach store and servers."""
        self.log.append(f"{self._now():.1f} partition {text} for {seconds:.1f} s")

    async def _drop_datagrams(self, seconds: float) -> None:
        self._record("drop datagrams", seconds=seconds)
        self._network.loss_ratio = self._rng.uniform(0.0, MAX_LOSS_RATIO)
        await asyncio.sleep(seconds)
        self._network.loss_ratio = 0.0

    async def _offset_clock(self, seconds: float) -> None:
        """Offset a host's wall clock; the offset outlasts this fault."""
        host = self._rng.choice(self._hosts)
        offset = self._rng.uniform(-MAX_CLOCK_OFFSET_SECONDS, MAX_CLOCK_OFFSET_SECONDS)
        self.log.append(
            f"{self._now():.1f} set the clock of {host.name} off by {offset:.0f} s"
        )
        host.clock_offset = offset

    async def _kill_all_hosts(self, seconds: float) -> None:
        """Kill every host at once, as in a power failure of a data centre."""
        self._record("kill all hosts", seconds=seconds + 1.0)
        for host in self._hosts:
            host.kill()
        await asyncio.sleep(seconds)
        for host in self._hosts:
            host.start()

    async def _fail_store(self, seconds: float) -> None:
        outage = self._rng.choice([each for each in Outage if each is not Outage.NONE])
        seconds = self._rng.uniform(seconds, MAX_OUTAGE_SECONDS)
        self._record(f"store outage {outage}", seconds=seconds)
        self._store.outage = outage
        await asyncio.sleep(seconds)
        self._store.outage = Outage.NONE

    async def _expire_server_entries(self, seconds: float) -> None:
        """Expire the entries of all servers during a store outage."""
        await self._fail_store(seconds)
        self._record("server entries expire", seconds=1.0)
        self._store.expire_servers()

    async def _slow_store(self, seconds: float) -> None:
        self._record("store slow", seconds=seconds)
        self._store.response_delay_seconds = SLOW_STORE_DELAY_SECONDS
        await asyncio.sleep(seconds)
        self._store.response_delay_seconds = 0.0

    async def _drop_store_responses(self, seconds: float) -> None:
        self._record("store drops responses to writes", seconds=seconds)
        self._store.lost_share = LOST_RESPONSE_RATIO
        await asyncio.sleep(seconds)
        self._store.lost_share = 0.0

    async def _pause_servers(self, seconds: float) -> None:
        """Pause one server of each service, one after the other."""
        self.log.append(f"{self._now():.1f} pause servers")
        for server in self.servers[::2]:
            if server.is_up:
                await server.pause(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    async def _corrupt_server_responses(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        self.log.append(f"{self._now():.1f} corrupt or drop responses of {server.name}")
        name = self._rng.choice(["garbled_share", "silent_share"])
        server.behaviour = replace(server.behaviour, **{name: 0.4})
        await asyncio.sleep(seconds)
        server.behaviour = ServerBehaviour()

    async def _swap_server_addresses(self, seconds: float) -> None:
        """Restart two servers with their addresses exchanged."""
        pair = self._rng.sample(self.servers, 2)
        if not all(server.is_up and not server.is_draining for server in pair):
            return
        self.log.append(
            f"{self._now():.1f} swap addresses of {pair[0].name} and {pair[1].name}"
        )
        ports = [split_address(server.proxy.address)[1] for server in pair]
        for server in pair:
            server.crash()
        for server, port in zip(pair, reversed(ports), strict=True):
            await server.start(port)
