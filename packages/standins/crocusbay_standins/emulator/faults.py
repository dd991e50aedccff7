"""Further faults: links between hosts, clocks, and more of the store and servers.

Those of links and clocks need an emulation, since one machine has one of each.
"""

import asyncio
from dataclasses import replace

from crocusbay.state import split_address
from crocusbay_standins.soak.faults import Fault, Faults
from crocusbay_standins.soak.servers import Behaviour
from crocusbay_standins.soak.store import Outage

MOST_LOSS = 0.5
MOST_CLOCK_STEP_SECONDS = 3_600.0
# Longer than hosts take to notice, and shorter than they keep entries without a store.
OUTAGE_SECONDS = 6.0
SLOW_STORE_SECONDS = 0.5
LOST_SHARE = 0.5
PAUSE_SECONDS = 0.4


class EmulatedFaults(Faults):
    """Harm an emulated deployment."""

    def kinds(self) -> list[Fault]:
        """Return what may be drawn."""
        return [
            *super().kinds(),
            self._cut_hosts,
            self._isolate_host,
            self._lose_datagrams,
            self._step_clock,
            self._end_all_hosts,
            self._store_away,
            self._store_lapse,
            self._store_slow,
            self._store_loses_answers,
            self._pause_servers,
            self._garble_server,
            self._swap_servers,
        ]

    async def mend(self) -> None:
        """End every fault."""
        self._network.heal()
        self._network.loss = 0.0
        self._store.outage = Outage.NONE
        self._store.answer_seconds = self._store.lost_share = 0.0
        await super().mend()

    @property
    def _network(self):
        return asyncio.get_running_loop().network

    async def _cut_hosts(self, seconds: float) -> None:
        """Cut two hosts from each other; both still reach everything else."""
        one, other = self._rng.sample(self._hosts, 2)
        self._note(
            f"cut {one.name} from {other.name}", one.name, other.name, seconds=seconds
        )
        self._network.cut(one.settings.ip, other.settings.ip)
        await asyncio.sleep(seconds)
        self._network.heal()

    async def _isolate_host(self, seconds: float) -> None:
        """Cut a host from all others."""
        host = self._rng.choice(self._hosts)
        self._note(f"cut {host.name} from all hosts", seconds=seconds)
        for other in self._hosts:
            if other is not host:
                self._network.cut(host.settings.ip, other.settings.ip)
        await asyncio.sleep(seconds)
        self._network.heal()

    async def _lose_datagrams(self, seconds: float) -> None:
        self._note("lose datagrams", seconds=seconds)
        self._network.loss = self._rng.uniform(0.0, MOST_LOSS)
        await asyncio.sleep(seconds)
        self._network.loss = 0.0

    async def _step_clock(self, seconds: float) -> None:
        """Set a host's time of day; it keeps it beyond this fault."""
        host = self._rng.choice(self._hosts)
        error = self._rng.uniform(-MOST_CLOCK_STEP_SECONDS, MOST_CLOCK_STEP_SECONDS)
        self.log.append(
            f"{self._now():.1f} step the clock of {host.name} {error:.0f} s"
        )
        host.clock_error = error

    async def _end_all_hosts(self, seconds: float) -> None:
        """Kill every host at once, as when a data centre loses power."""
        self._note("end all hosts", seconds=seconds + 1.0)
        for host in self._hosts:
            host.end()
        await asyncio.sleep(seconds)
        for host in self._hosts:
            host.start()

    async def _store_away(self, seconds: float) -> None:
        outage = self._rng.choice([each for each in Outage if each is not Outage.NONE])
        seconds = self._rng.uniform(seconds, OUTAGE_SECONDS)
        self._note(f"store {outage}", seconds=seconds)
        self._store.outage = outage
        await asyncio.sleep(seconds)
        self._store.outage = Outage.NONE

    async def _store_lapse(self, seconds: float) -> None:
        """Let the entries of all servers run out while the store is away."""
        await self._store_away(seconds)
        self._note("entries of servers lapse", seconds=1.0)
        self._store.lapse()

    async def _store_slow(self, seconds: float) -> None:
        self._note("store slow", seconds=seconds)
        self._store.answer_seconds = SLOW_STORE_SECONDS
        await asyncio.sleep(seconds)
        self._store.answer_seconds = 0.0

    async def _store_loses_answers(self, seconds: float) -> None:
        self._note("store loses answers to writes", seconds=seconds)
        self._store.lost_share = LOST_SHARE
        await asyncio.sleep(seconds)
        self._store.lost_share = 0.0

    async def _pause_servers(self, seconds: float) -> None:
        """Let one server of each service pause, one after the other."""
        self.log.append(f"{self._now():.1f} pause servers")
        for server in self.servers[::2]:
            if server.is_up:
                await server.pause(self._rng.uniform(0.0, PAUSE_SECONDS))

    async def _garble_server(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        self.log.append(f"{self._now():.1f} garble {server.name}")
        name = self._rng.choice(["garbled_share", "silent_share"])
        server.behaviour = replace(server.behaviour, **{name: 0.4})
        await asyncio.sleep(seconds)
        server.behaviour = Behaviour()

    async def _swap_servers(self, seconds: float) -> None:
        """Start two servers anew, each at the address that the other had."""
        pair = self._rng.sample(self.servers, 2)
        if not all(server.is_up and not server.is_draining for server in pair):
            return
        self.log.append(f"{self._now():.1f} swap {pair[0].name} and {pair[1].name}")
        ports = [split_address(server.proxy.address)[1] for server in pair]
        for server in pair:
            server.crash()
        for server, port in zip(pair, reversed(ports), strict=True):
            await server.start(port)
