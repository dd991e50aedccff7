"""Faults of a soak, drawn from its seed: signals, harmed links, servers and store."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from crocusbay_gateway.state import Configuration
from crocusbay_standins.soak.checks import CALM_SECONDS, Leaving
from crocusbay_standins.soak.deployment import make_routes, make_services
from crocusbay_standins.soak.hosts import SoakHost
from crocusbay_standins.soak.proxy import Harm
from crocusbay_standins.soak.servers import Behaviour, StandInServer
from crocusbay_standins.soak.store import Outage, StandInStore

# Takes how long it lasts (seconds).
Fault = Callable[[float], Awaitable[None]]


class Faults:
    """Harm a running deployment, and note what was done and when."""

    def __init__(
        self, rng: random.Random, hosts: list[SoakHost], store: StandInStore
    ) -> None:
        self.log: list[str] = []
        self.configurations: list[tuple[float, Configuration]] = []
        self.leaving: list[Leaving] = []
        self.servers: list[StandInServer] = []
        self._rng = rng
        self._hosts = hosts
        self._store = store
        self._touched: dict[str, list[tuple[float, float]]] = {}
        self._now = asyncio.get_running_loop().time

    def kinds(self) -> list[Fault]:
        """Return what may be drawn; one listed twice comes twice as often."""
        return [
            self._kill_host,
            self._pause_host,
            self._stop_host,
            self._harm_store_link,
            self._harm_server_link,
            self._crash_server,
            self._spoil_server,
            self._drain_server,
            self._store_busy,
            self._forget_history,
            self._change_configuration,
            self._change_configuration,
        ]

    async def inject(self, seconds: float) -> None:
        """Inject faults that overlap, each for a while, for so many seconds."""
        until = self._now() + seconds
        kinds = self.kinds()
        async with asyncio.TaskGroup() as tasks:
            while self._now() < until:
                fault = self._rng.choice(kinds)
                seconds = self._rng.uniform(0.3, 3.0)
                tasks.create_task(fault(seconds))
                await asyncio.sleep(self._rng.uniform(0.2, 1.5))

    async def mend(self) -> None:
        """End every fault."""
        for host in self._hosts:
            host.signal(signal.SIGCONT)
            host.store_proxy.set_harm(Harm.NONE)
            if not host.is_running:
                host.start()
        for server in self.servers:
            server.behaviour = Behaviour()
            if server.is_draining and server.is_up:
                await self._restart_server(server)
            server.proxy.set_harm(Harm.NONE)

    def _note(self, text: str, *names: str, seconds: float = 0.0) -> None:
        now = self._now()
        self.log.append(f"{now:.1f} {text} for {seconds:.1f} s")
        for name in names or [host.name for host in self._hosts]:
            self._touched.setdefault(name, []).append((now, now + seconds))

    def is_calm(self, host: str, at: float) -> bool:
        """Return whether nothing was done to a host for a while before a moment."""
        return not any(
            start <= at and at <= end + CALM_SECONDS
            for start, end in self._touched.get(host, ())
        )

    def _running(self) -> list[SoakHost]:
        return [h for h in self._hosts if h.is_running and not h.is_paused]

    async def _kill_host(self, seconds: float) -> None:
        if len(self._running()) < 2:
            return
        host = self._rng.choice(self._running())
        self._note(f"kill {host.name}", seconds=seconds + 1.0)
        host.end()
        await asyncio.sleep(seconds)
        host.start()

    async def _pause_host(self, seconds: float) -> None:
        if len(self._running()) < 2:
            return
        host = self._rng.choice(self._running())
        self._note(f"pause {host.name}", seconds=seconds)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.signal(signal.SIGCONT)

    async def _stop_host(self, seconds: float) -> None:
        """Stop a host as planned, and start it again once it has ended."""
        if len(self._running()) < 2:
            return
        host = self._rng.choice(self._running())
        self.log.append(f"{self._now():.1f} stop {host.name}")
        host.signal(signal.SIGTERM)
        while host.is_running:
            await asyncio.sleep(0.1)
        await asyncio.sleep(seconds)
        self._note(f"start {host.name}", host.name)
        if not host.is_running:
            host.start()

    async def _harm_store_link(self, seconds: float) -> None:
        host = self._rng.choice(self._hosts)
        harm = self._rng.choice([each for each in Harm if each is not Harm.NONE])
        self._note(
            f"{harm} between {host.name} and the store", host.name, seconds=seconds
        )
        host.store_proxy.set_harm(harm)
        await asyncio.sleep(seconds)
        host.store_proxy.set_harm(Harm.NONE)

    async def _harm_server_link(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        harm = self._rng.choice([each for each in Harm if each is not Harm.NONE])
        self.log.append(f"{self._now():.1f} {harm} before {server.name}")
        server.proxy.set_harm(harm)
        await asyncio.sleep(seconds)
        server.proxy.set_harm(Harm.NONE)

    async def _crash_server(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        if not server.is_up:
            return
        self.log.append(f"{self._now():.1f} crash {server.name}")
        await self._restart_server(server, seconds)

    async def _restart_server(self, server: StandInServer, pause: float = 0.0) -> None:
        server.crash()
        if self._rng.random() < 0.5:
            server.forget()
        await asyncio.sleep(pause)
        # From here on the server takes work again, under the name that it had.
        self.leaving = [
            replace(each, until=min(each.until, self._now()))
            if each.server == server.name
            else each
            for each in self.leaving
        ]
        await server.start()

    async def _spoil_server(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        self.log.append(f"{self._now():.1f} spoil {server.name}")
        name = self._rng.choice(
            ["lost_share", "cut_share", "extra_share", "refused_share", "failed_share"]
        )
        server.behaviour = replace(server.behaviour, work_seconds=0.03, **{name: 0.4})
        await asyncio.sleep(seconds)
        server.behaviour = Behaviour()

    async def _drain_server(self, seconds: float) -> None:
        server = self._rng.choice(self.servers)
        if not server.is_up or server.is_draining:
            return
        self.log.append(f"{self._now():.1f} drain {server.name}")
        server.drain()
        self.leaving.append(Leaving(server.name, server.drained_at))
        await asyncio.sleep(4.0 + seconds)
        if server.is_draining and server.is_up:
            await self._restart_server(server)

    async def _store_busy(self, seconds: float) -> None:
        self._note("store busy", seconds=seconds)
        self._store.outage = Outage.BUSY
        await asyncio.sleep(seconds)
        self._store.outage = Outage.NONE

    async def _forget_history(self, seconds: float) -> None:
        self._note("store forgets its history")
        self._store.forget_history()

    async def _change_configuration(self, seconds: float) -> None:
        version = self.configurations[-1][1].version + self._rng.randint(1, 4)
        number = len(self.configurations)
        self.put_configuration(
            Configuration(version, make_routes(number), make_services())
        )
        self.log.append(f"{self._now():.1f} configuration {version}")

    def put_configuration(self, configuration: Configuration) -> None:
        """Write a configuration and note when."""
        self._store.put_configuration(configuration)
        self.configurations.append((self._now(), configuration))
