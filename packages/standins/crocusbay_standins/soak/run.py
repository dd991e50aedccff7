"""Run of a soak: hosts, stand-ins and callers under faults drawn from a seed."""

import asyncio
import random
from dataclasses import dataclass, field
from pathlib import Path

from crocusbay_gateway.state import Configuration
from crocusbay_standins.soak.callers import Caller, Outcome, RequestKind
from crocusbay_standins.soak.checks import (
    Observations,
    Violation,
    check_all,
    check_host_logs,
)
from crocusbay_standins.soak.deployment import PATHS, make_routes, make_services
from crocusbay_standins.soak.faults import FaultInjector
from crocusbay_standins.soak.hosts import ProcessHost, SoakHost, make_hosts
from crocusbay_standins.soak.proxy import Proxy
from crocusbay_standins.soak.servers import CRASH_MARK, CrashMode, StandInServer
from crocusbay_standins.soak.store import SERVER_LEASE_SECONDS, StandInStore
from crocusbay_standins.soak.versions import extract_version

DATA_CENTRES = ["a", "b", "c"]
WARM_UP_SECONDS = 4.0
READINESS_TIMEOUT_SECONDS = 20.0
# A run ends without faults; service must have recovered by the second half of that.
FAULT_FREE_END_SECONDS = 10.0
RECOVERY_CHECK_SECONDS = 5.0
MIN_SERVED_RATIO = 0.9
PROBE_INTERVAL_SECONDS = 0.4
MAX_CRASHING_PAUSE_SECONDS = 0.6
SERVERS_PER_SERVICE = 2


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Size of a soak and the time during which faults start (seconds)."""

    seed: int
    hosts: int = 4
    callers: int = 6
    fault_seconds: float = 10.0
    # With three, each shard has no server in one of them.
    data_centres: int = 2
    # Requests that crash the servers that run them; each is sent again and again.
    crashing_requests: int = 0
    crashing_orders: int = 0
    # Whether servers also crash in silence, or while their address accepts connections.
    has_varied_crashes: bool = False
    # Restores of the store from older copies; they may overlap.
    restores: int = 0
    # Commit of the version that hosts run at first; they are upgraded under faults.
    production: str = ""


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a soak: injected faults, request counts and violations."""

    plan: SoakPlan
    faults: tuple[str, ...]
    requests: int
    served: int
    violations: tuple[Violation, ...]


@dataclass
class Soak:
    """One soak, for a given type of hosts and of faults."""

    plan: SoakPlan
    folder: Path
    host_type: type[SoakHost] = ProcessHost
    fault_injector_type: type[FaultInjector] = FaultInjector
    outcomes: list[Outcome] = field(default_factory=list)
    received_requests: list = field(default_factory=list)

    async def run(self) -> SoakReport:
        """Run the soak and check what callers and servers observed.

        Raise TimeoutError if a host does not become ready.
        """
        self._rng = random.Random(self.plan.seed)
        self._store = StandInStore(random.Random(f"{self.plan.seed} store"))
        address = await self._store.start()
        proxies = [Proxy(address) for _ in range(self.plan.hosts)]
        for proxy in proxies:
            await proxy.start()
        self._hosts = make_hosts(
            self.host_type,
            self.plan.hosts,
            DATA_CENTRES[: self.plan.data_centres],
            self.folder,
            proxies,
            self.plan.seed % 250 + 1,
        )
        if self.plan.production:
            older = extract_version(self.plan.production, self.folder / "production")
            for host in self._hosts:
                host.version_folder = older
        self._fault_injector = self.fault_injector_type(
            self._rng, self._hosts, self._store
        )
        try:
            await self._run_deployment()
        finally:
            for host in self._hosts:
                host.kill()
            for proxy in proxies:
                proxy.close()
            self._store.close()
        return self._report()

    async def _run_deployment(self) -> None:
        first = Configuration(1, make_routes(0), make_services())
        self._fault_injector.put_configuration(first)
        self._fault_injector.servers = await self._start_servers()
        for host in self._hosts:
            host.start()
        await self._wait_until_ready()
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(caller.run()) for caller in self._make_callers()
            ]
            running.append(tasks.create_task(self._run_probes()))
            if self.plan.crashing_requests or self.plan.crashing_orders:
                running.append(tasks.create_task(self._send_crashing_requests()))
            await asyncio.sleep(WARM_UP_SECONDS)
            await self._inject_faults()
            await self._fault_injector.clear()
            await asyncio.sleep(FAULT_FREE_END_SECONDS)
            self._violations_at_end = self.check_final_state()
            for task in running:
                task.cancel()
        for server in self._fault_injector.servers:
            if server.is_up:
                server.crash()

    async def _inject_faults(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            if self.plan.production:
                upgrade = self._fault_injector.upgrade_hosts(self.plan.fault_seconds)
                tasks.create_task(upgrade)
            rng = random.Random(f"{self.plan.seed} restores")
            for _ in range(self.plan.restores):
                tasks.create_task(
                    self._fault_injector.restore_store(rng, self.plan.fault_seconds)
                )
            await self._fault_injector.inject(self.plan.fault_seconds)

    def check_final_state(self) -> list[Violation]:
        """Return violations seen at the end, while hosts still run without faults."""
        return []

    def _make_callers(self) -> list[Caller]:
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
                self._data_centre(index, number),
                self._store,
                self.received_requests,
                random.Random(f"{self.plan.seed} {service.name} {number}"),
                is_renamed_on_restart=number == 0,
            )
            for index, service in enumerate(make_services())
            for number in range(SERVERS_PER_SERVICE)
        ]
        rng = random.Random(f"{self.plan.seed} crash modes")
        for server in servers:
            if self.plan.has_varied_crashes:
                server.crash_mode = rng.choice(list(CrashMode))
                server.entry_lease_seconds = rng.uniform(0.0, SERVER_LEASE_SECONDS)
            await server.start()
        return servers

    def _data_centre(self, service: int, number: int) -> str:
        """Return the data centre of a server; with three, each lacks some services."""
        data_centres = DATA_CENTRES[: self.plan.data_centres]
        return data_centres[
            (number + service * (len(data_centres) - 2)) % len(data_centres)
        ]

    async def _wait_until_ready(self) -> None:
        probe = Caller("warm", self._hosts, self.outcomes, self._rng, PATHS)
        async with asyncio.timeout(READINESS_TIMEOUT_SECONDS):
            for host in self._hosts:
                while True:
                    outcome = await probe.send_request(
                        host.settings.caller_address, RequestKind.FETCH
                    )
                    if outcome is not None and outcome.status == 200:
                        break
                    await asyncio.sleep(0.1)
        self.outcomes.clear()
        self.received_requests.clear()

    async def _run_probes(self) -> None:
        """Request the newest and the last removed route from each running host."""
        count = 0
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            for host in self._hosts:
                if not host.is_running or host.is_paused:
                    continue
                count += 1
                changes = len(self._fault_injector.configurations) - 1
                number = max(0, changes - count % 2)
                prober = Caller(
                    f"p{count}",
                    self._hosts,
                    self.outcomes,
                    self._rng,
                    {RequestKind.PROBE: f"/v{number}/"},
                )
                await prober.send_request(
                    host.settings.caller_address, RequestKind.PROBE
                )

    async def _send_crashing_requests(self) -> None:
        rng = random.Random(f"{self.plan.seed} crashing")
        paths = [PATHS[RequestKind.GATHER], PATHS[RequestKind.FETCH]]
        targets = [
            (RequestKind.CRASHING, f"{paths[number % 2]}{CRASH_MARK}-{number}")
            for number in range(self.plan.crashing_requests)
        ]
        targets += [
            (
                RequestKind.CRASHING_ORDER,
                f"{PATHS[RequestKind.ORDER]}{CRASH_MARK}-{number}",
            )
            for number in range(self.plan.crashing_orders)
        ]
        caller = Caller("crashing", self._hosts, self.outcomes, rng, PATHS)
        while True:
            await asyncio.sleep(rng.uniform(0.0, MAX_CRASHING_PAUSE_SECONDS))
            host = rng.choice(self._hosts)
            if host.is_running and not host.is_paused:
                await caller.send_request(
                    host.settings.caller_address, *rng.choice(targets)
                )

    def _report(self) -> SoakReport:
        observations = Observations(
            self.outcomes,
            self.received_requests,
            self._fault_injector.configurations,
            [p for s in self._fault_injector.servers for p in s.drain_periods],
            self._fault_injector.is_fault_free,
            {s.name: s.peak_connections for s in self._fault_injector.servers},
            {host.name: host.start_times for host in self._hosts},
        )
        violations = check_all(observations) + self._violations_at_end
        violations += check_host_logs({host.name: host.log for host in self._hosts})
        since = (
            max(outcome.ended_at for outcome in self.outcomes) - RECOVERY_CHECK_SECONDS
        )
        recent = [
            o
            for o in self.outcomes
            if o.sent_at > since
            and o.kind is not RequestKind.PROBE
            and not o.kind.is_crashing
        ]
        succeeded = sum(outcome.status == 200 for outcome in recent)
        if succeeded < MIN_SERVED_RATIO * len(recent) or not recent:
            violations.append(
                Violation("service recovered", "", f"{succeeded} of {len(recent)}")
            )
        served = sum(outcome.status == 200 for outcome in self.outcomes)
        return SoakReport(
            self.plan,
            tuple(self._fault_injector.log),
            len(self.outcomes),
            served,
            tuple(violations),
        )
