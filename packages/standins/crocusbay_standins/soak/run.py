"""Run of a soak: hosts, stand-ins and callers, with faults drawn from a seed."""

import asyncio
import random
import signal
from dataclasses import dataclass, field, replace
from pathlib import Path

from crocusbay_gateway.state import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ToService,
    ToShards,
)
from crocusbay_standins.soak.callers import Caller, Kind, Outcome
from crocusbay_standins.soak.checks import CALM_SECONDS, Broken, Observed, check_all
from crocusbay_standins.soak.hosts import SoakHost, make_hosts
from crocusbay_standins.soak.proxy import Harm, Proxy
from crocusbay_standins.soak.servers import Behaviour, StandInServer
from crocusbay_standins.soak.store import StandInStore

PLACES = ["a", "b"]
SHARDS = 6
WARM_UP_SECONDS = 4.0
READY_SECONDS = 20.0
# The last part of a run has no faults, and service must be back by its second half.
CALM_END_SECONDS = 10.0
BACK_SECONDS = 5.0
BACK_SHARE = 0.9
PROBE_SECONDS = 0.4
SERVERS_PER_SERVICE = 2
PATHS = {Kind.GATHER: "/all/", Kind.FETCH: "/one/", Kind.ORDER: "/order/"}
GOAL_SECONDS = 0.3
TIMEOUT_SECONDS = 1.8


@dataclass(frozen=True, slots=True)
class Plan:
    """Say how large a soak is and how long its faults go on (seconds)."""

    seed: int
    hosts: int = 4
    callers: int = 6
    fault_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what a soak found."""

    plan: Plan
    faults: tuple[str, ...]
    requests: int
    served: int
    broken: tuple[Broken, ...]


@dataclass
class Soak:
    """Hold one soak."""

    plan: Plan
    folder: Path
    outcomes: list[Outcome] = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    async def run(self) -> Report:
        """Play the soak and check what was seen."""
        self._rng = random.Random(self.plan.seed)
        self._touched: dict[str, list[tuple[float, float]]] = {}
        self._configurations: list[tuple[float, Configuration]] = []
        self._drained: list[tuple[str, float]] = []
        self._now = asyncio.get_running_loop().time
        self._store = StandInStore()
        address = await self._store.start()
        proxies = [Proxy(address) for _ in range(self.plan.hosts)]
        for proxy in proxies:
            await proxy.start()
        self._hosts = make_hosts(
            self.plan.hosts, PLACES, self.folder, proxies, self.plan.seed % 250 + 1
        )
        try:
            await self._play()
        finally:
            for host in self._hosts:
                host.end()
            for proxy in proxies:
                proxy.close()
            self._store.close()
        return self._report()

    async def _play(self) -> None:
        self._put_configuration(Configuration(1, _routes(0), _services()))
        self._servers = await self._start_servers()
        for host in self._hosts:
            host.start()
        await self._wait_ready()
        async with asyncio.TaskGroup() as tasks:
            running = [tasks.create_task(caller.run()) for caller in self._callers()]
            running.append(tasks.create_task(self._probe()))
            await asyncio.sleep(WARM_UP_SECONDS)
            await self._harm()
            await self._mend()
            await asyncio.sleep(CALM_END_SECONDS)
            for task in running:
                task.cancel()
        for server in self._servers:
            if server.is_up:
                server.crash()

    def _callers(self) -> list[Caller]:
        return [
            Caller(
                f"c{number}",
                self._hosts,
                self.outcomes,
                random.Random(self.plan.seed * 1_000 + number),
                PATHS,
            )
            for number in range(self.plan.callers)
        ]

    async def _start_servers(self) -> list[StandInServer]:
        servers = [
            StandInServer(
                f"{service.name}/{number}",
                service.name,
                PLACES[number % len(PLACES)],
                self._store,
                self.arrivals,
                random.Random(f"{self.plan.seed} {service.name} {number}"),
            )
            for service in _services()
            for number in range(SERVERS_PER_SERVICE)
        ]
        for server in servers:
            await server.start()
        return servers

    async def _wait_ready(self) -> None:
        probe = Caller("warm", self._hosts, self.outcomes, self._rng, PATHS)
        async with asyncio.timeout(READY_SECONDS):
            for host in self._hosts:
                while True:
                    outcome = await probe.ask(host.settings.caller_address, Kind.FETCH)
                    if outcome is not None and outcome.status == 200:
                        break
                    await asyncio.sleep(0.1)
        self.outcomes.clear()
        self.arrivals.clear()

    async def _probe(self) -> None:
        """Ask each running host for the newest and the last removed route."""
        count = 0
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            for host in self._hosts:
                if not host.is_running or host.is_paused:
                    continue
                count += 1
                changes = len(self._configurations) - 1
                number = max(0, changes - count % 2)
                prober = Caller(
                    f"p{count}",
                    self._hosts,
                    self.outcomes,
                    self._rng,
                    {Kind.PROBE: f"/v{number}/"},
                )
                await prober.ask(host.settings.caller_address, Kind.PROBE)

    async def _harm(self) -> None:
        """Inject faults that overlap, each for a while."""
        until = self._now() + self.plan.fault_seconds
        faults = [
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
        async with asyncio.TaskGroup() as tasks:
            while self._now() < until:
                fault = self._rng.choice(faults)
                seconds = self._rng.uniform(0.3, 3.0)
                tasks.create_task(fault(seconds))
                await asyncio.sleep(self._rng.uniform(0.2, 1.5))

    async def _mend(self) -> None:
        for host in self._hosts:
            host.signal(signal.SIGCONT)
            host.store_proxy.set_harm(Harm.NONE)
            if not host.is_running:
                host.start()
        for server in self._servers:
            server.behaviour = Behaviour()
            if server.is_draining and server.is_up:
                await self._restart_server(server)
            server.proxy.set_harm(Harm.NONE)

    def _note(self, text: str, *names: str, seconds: float = 0.0) -> None:
        now = self._now()
        self.faults.append(f"{now:.1f} {text} for {seconds:.1f} s")
        for name in names or [host.name for host in self._hosts]:
            self._touched.setdefault(name, []).append((now, now + seconds))

    def _is_calm(self, host: str, at: float) -> bool:
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
        self.faults.append(f"{self._now():.1f} stop {host.name}")
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
        server = self._rng.choice(self._servers)
        harm = self._rng.choice([each for each in Harm if each is not Harm.NONE])
        self.faults.append(f"{self._now():.1f} {harm} before {server.name}")
        server.proxy.set_harm(harm)
        await asyncio.sleep(seconds)
        server.proxy.set_harm(Harm.NONE)

    async def _crash_server(self, seconds: float) -> None:
        server = self._rng.choice(self._servers)
        if not server.is_up:
            return
        self.faults.append(f"{self._now():.1f} crash {server.name}")
        await self._restart_server(server, seconds)

    async def _restart_server(self, server: StandInServer, pause: float = 0.0) -> None:
        server.crash()
        if self._rng.random() < 0.5:
            server.forget()
        await asyncio.sleep(pause)
        await server.start()

    async def _spoil_server(self, seconds: float) -> None:
        server = self._rng.choice(self._servers)
        self.faults.append(f"{self._now():.1f} spoil {server.name}")
        name = self._rng.choice(
            ["lost_share", "cut_share", "extra_share", "refused_share", "failed_share"]
        )
        server.behaviour = replace(server.behaviour, work_seconds=0.03, **{name: 0.4})
        await asyncio.sleep(seconds)
        server.behaviour = Behaviour()

    async def _drain_server(self, seconds: float) -> None:
        server = self._rng.choice(self._servers)
        if not server.is_up or server.is_draining:
            return
        self.faults.append(f"{self._now():.1f} drain {server.name}")
        server.drain()
        self._drained.append((server.name, server.drained_at))
        await asyncio.sleep(4.0 + seconds)
        if server.is_draining and server.is_up:
            self._drained.remove((server.name, server.drained_at))
            await self._restart_server(server)

    async def _store_busy(self, seconds: float) -> None:
        self._note("store busy", seconds=seconds)
        self._store.is_busy = True
        await asyncio.sleep(seconds)
        self._store.is_busy = False

    async def _forget_history(self, seconds: float) -> None:
        self._note("store forgets its history")
        self._store.forget_history()

    async def _change_configuration(self, seconds: float) -> None:
        version = self._configurations[-1][1].version + self._rng.randint(1, 4)
        number = len(self._configurations)
        self._put_configuration(Configuration(version, _routes(number), _services()))
        self.faults.append(f"{self._now():.1f} configuration {version}")

    def _put_configuration(self, configuration: Configuration) -> None:
        self._store.put_configuration(configuration)
        self._configurations.append((self._now(), configuration))

    def _report(self) -> Report:
        observed = Observed(
            self.outcomes,
            self.arrivals,
            self._configurations,
            self._drained,
            self._is_calm,
        )
        broken = check_all(observed)
        since = max(outcome.ended_at for outcome in self.outcomes) - BACK_SECONDS
        last = [
            o for o in self.outcomes if o.sent_at > since and o.kind is not Kind.PROBE
        ]
        back = sum(outcome.status == 200 for outcome in last)
        if back < BACK_SHARE * len(last) or not last:
            broken.append(Broken("service is back", "", f"{back} of {len(last)}"))
        served = sum(outcome.status == 200 for outcome in self.outcomes)
        return Report(
            self.plan, tuple(self.faults), len(self.outcomes), served, tuple(broken)
        )


def _services() -> tuple[Service, ...]:
    names = [f"shard{number}" for number in range(SHARDS)]
    return tuple(Service(name, 25) for name in (*names, "single", "orders"))


def _routes(change: int) -> tuple[Route, ...]:
    """Return the routes after so many changes; each adds one and drops the last."""
    shards = tuple(f"shard{number}" for number in range(SHARDS))
    targets = {
        PATHS[Kind.GATHER]: (RouteKind.IDEMPOTENT, ToShards(shards, 5, 0.6)),
        PATHS[Kind.FETCH]: (RouteKind.IDEMPOTENT, ToService("single")),
        PATHS[Kind.ORDER]: (RouteKind.NON_IDEMPOTENT, ToService("orders")),
        f"/v{change}/": (RouteKind.IDEMPOTENT, ToService("single")),
    }
    return tuple(
        Route(
            prefix.strip("/"),
            "soak.example",
            prefix,
            kind,
            target,
            TIMEOUT_SECONDS,
            GOAL_SECONDS,
            max_attempts=2,
        )
        for prefix, (kind, target) in targets.items()
    )
