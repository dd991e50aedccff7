"""Faults of a soak, drawn from its seed: hosts, links, servers and store."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from crocusbay_gateway.state import Configuration
from crocusbay_standins.soak.checks import FAULT_FREE_SECONDS
from crocusbay_standins.soak.deployment import make_routes, make_services
from crocusbay_standins.soak.hosts import SoakHost
from crocusbay_standins.soak.proxy import LinkFault
from crocusbay_standins.soak.servers import ServerBehaviour, StandInServer
from crocusbay_standins.soak.store import Outage, StandInStore

# Age of the copy from which the store is restored, at the beginning of the outage.
MAX_COPY_AGE_SECONDS = 8.0
MAX_RESTORE_SECONDS = 2.0

# Injects a fault that lasts for the given time (seconds).
Fault = Callable[[float], Awaitable[None]]


class FaultInjector:
    """Inject faults into a running deployment and record them with their times."""

    def __init__(
        self, rng: random.Random, hosts: list[SoakHost], store: StandInStore
    ) -> None:
        self.log: list[str] = []
        self.configurations: list[tuple[float, Configuration]] = []
        self.servers: list[StandInServer] = []
        self._rng = rng
        self._hosts = hosts
        self._store = store
        self._fault_intervals: dict[str, list[tuple[float, float]]] = {}
        self._now = asyncio.get_running_loop().time

    def available_faults(self) -> list[Fault]:
        """Return the faults to draw from; one listed twice is twice as likely."""
        return [
            self._kill_host,
            self._pause_host,
            self._shut_down_host,
            self._impair_store_link,
            self._impair_server_link,
            self._crash_server,
            self._degrade_server,
            self._drain_server,
            self._overload_store,
            self._drop_store_history,
            self._change_configuration,
            self._change_configuration,
        ]

    async def inject(self, seconds: float) -> None:
        """Start overlapping faults for a time (seconds); return once all have ended."""
        deadline = self._now() + seconds
        available_faults = self.available_faults()
        async with asyncio.TaskGroup() as tasks:
            while self._now() < deadline:
                fault = self._rng.choice(available_faults)
                seconds = self._rng.uniform(0.3, 3.0)
                tasks.create_task(fault(seconds))
                await asyncio.sleep(self._rng.uniform(0.2, 1.5))

    async def clear(self) -> None:
        """End every fault; restart hosts that are down and servers that drain."""
        for host in self._hosts:
            host.send_signal(signal.SIGCONT)
            host.store_proxy.set_fault(LinkFault.NONE)
            if not host.is_running:
                host.start()
        for server in self.servers:
            server.behaviour = ServerBehaviour()
            if server.is_draining and server.is_up:
                await self._restart_server(server)
            server.proxy.set_fault(LinkFault.NONE)

    def _record(self, text: str, *names: str, seconds: float = 0.0) -> None:
        now = self._now()
        self.log.append(f"{now:.1f} {text} for {seconds:.1f} s")
        for name in names or [host.name for host in self._hosts]:
            self._fault_intervals.setdefault(name, []).append((now, now + seconds))

    def is_fault_free(self, host: str, at: float) -> bool:
        """Return whether no fault hit a host for FAULT_FREE_SECONDS before a time."""
        return not any(
            start <= at and at <= end + FAULT_FREE_SECONDS
            for start, end in self._fault_intervals.get(host, ())
        )

    def _running_hosts(self) -> list[SoakHost]:
        return [h for h in self._hosts if h.is_running and not h.is_paused]

    async def _kill_host(self, seconds: float) -> None:
        if len(self._running_hosts()) < 2:
            return
        host = self._rng.choice(self._running_hosts())
        self._record(f"kill {host.name}", seconds=seconds + 1.0)
        host.kill()
        await asyncio.sleep(seconds)
        host.start()

    async def _pause_host(self, seconds: float) -> None:
        if len(self._running_hosts()) < 2:
            return
        host = self._rng.choice(self._running_hosts())
        self._record(f"pause {host.name}", seconds=seconds)
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.send_signal(signal.SIGCONT)

    async def _shut_down_host(self, seconds: float) -> None:
        """Shut a host down gracefully and restart it once it has exited."""
        if len(self._running_hosts()) < 2:
            return
        host = self._rng.choice(self._running_hosts())
        self.log.append(f"{self._now():.1f} stop {host.name}")
        host.send_signal(signal.SIGTERM)
        await self._wait_for_exit(host)
        await asyncio.sleep(seconds)
        self._record(f"start {host.name}", host.name)
        if not host.is_running:
            host.start()

    @staticmethod
    async def _wait_for_exit(host: SoakHost) -> None:
        """Wait until a host has exited; another fault may start it again first."""
        starts = len(host.start_times)
        while host.is_running and len(host.start_times) == starts:
            await asyncio.sleep(0.1)

    async def _impair_store_link(self, seconds: float) -> None:
        host = self._rng.choice(self._hosts)
        link_fault = self._rng.choice(
            [each for each in LinkFault if each is not LinkFault.NONE]
        )
        self._record(
            f"{link_fault} on the link between {host.name} and the store",
            host.name,
            seconds=seconds,
        )
        host.store_proxy.set_fault(link_fault)
        await asyncio.sleep(seconds)
        host.store_proxy.set_fault(LinkFault.NONE)

    async def _impair_server_link(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        link_fault = self._rng.choice(
            [each for each in LinkFault if each is not LinkFault.NONE]
        )
        self.log.append(f"{self._now():.1f} {link_fault} on the link to {server.name}")
        server.proxy.set_fault(link_fault)
        await asyncio.sleep(seconds)
        server.proxy.set_fault(LinkFault.NONE)

    async def _crash_server(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        if not server.is_up:
            return
        self.log.append(f"{self._now():.1f} crash {server.name}")
        await self._restart_server(server, seconds)

    async def _restart_server(self, server: StandInServer, pause: float = 0.0) -> None:
        server.crash()
        if self._rng.random() < 0.5:
            server.deregister()
        await asyncio.sleep(pause)
        await server.start()

    async def _degrade_server(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        self.log.append(f"{self._now():.1f} degrade {server.name}")
        name = self._rng.choice(
            ["lost_share", "cut_share", "extra_share", "refused_share", "failed_share"]
        )
        server.behaviour = replace(
            server.behaviour, mean_processing_seconds=0.03, **{name: 0.4}
        )
        await asyncio.sleep(seconds)
        server.behaviour = ServerBehaviour()

    async def _drain_server(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        if not server.is_up or server.is_draining:
            return
        self.log.append(f"{self._now():.1f} drain {server.name}")
        server.drain()
        await asyncio.sleep(4.0 + seconds)
        if server.is_draining and server.is_up:
            await self._restart_server(server)

    async def _overload_store(self, seconds: float) -> None:
        self._record("store busy", seconds=seconds)
        self._store.outage = Outage.UNAVAILABLE
        await asyncio.sleep(seconds)
        self._store.outage = Outage.NONE

    async def _drop_store_history(self, seconds: float) -> None:
        self._record("store drops its event history")
        self._store.compact()

    async def restore_store(self, rng: random.Random, within: float) -> None:
        """Restore the store from an older copy at some time within the next seconds.

        The operator writes again later.
        """
        await asyncio.sleep(rng.uniform(0.0, within))
        outage = rng.uniform(0.0, MAX_RESTORE_SECONDS)
        rewrite_after = rng.uniform(0.0, 1.0)
        self._record("store restored", seconds=outage + rewrite_after)
        self._store.outage = Outage.RESET
        await asyncio.sleep(outage)
        self._store.restore(outage + rng.uniform(0.0, MAX_COPY_AGE_SECONDS))
        self._store.outage = Outage.NONE
        await asyncio.sleep(rewrite_after)
        self._store.put_configuration(self.configurations[-1][1])

    async def upgrade_hosts(self, seconds: float) -> None:
        """Replace hosts of another version by ones of this, one after the other."""
        pause = seconds / len(self._hosts)
        for host in self._hosts:
            await asyncio.sleep(pause * self._rng.uniform(0.0, 1.0))
            self.log.append(f"{self._now():.1f} upgrade {host.name}")
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGTERM)
            host.version_folder = None
            await self._wait_for_exit(host)
            self._record(f"start {host.name}", host.name)
            host.start()

    async def _change_configuration(self, seconds: float) -> None:
        version = self.configurations[-1][1].version + self._rng.randint(1, 4)
        number = len(self.configurations)
        self.put_configuration(
            Configuration(version, make_routes(number), make_services())
        )
        self.log.append(f"{self._now():.1f} configuration {version}")

    def put_configuration(self, configuration: Configuration) -> None:
        """Write a configuration to the store and record the time."""
        self._store.put_configuration(configuration)
        self.configurations.append((self._now(), configuration))
