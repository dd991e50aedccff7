"""Emulated deployment for tests: hosts, two servers of each service, and callers."""

import asyncio
import random
from dataclasses import replace

from crocusbay_gateway.state import Configuration
from crocusbay_standins.emulator.hosts import EmulatedHost
from crocusbay_standins.soak.callers import Caller, RequestKind
from crocusbay_standins.soak.deployment import (
    PATHS,
    SHARDS,
    make_routes,
    make_services,
)
from crocusbay_standins.soak.hosts import BOUNDS, make_hosts
from crocusbay_standins.soak.proxy import Proxy
from crocusbay_standins.soak.servers import StandInServer
from crocusbay_standins.soak.store import StandInStore

SERVERS_PER_SERVICE = 2
# The platform's bound after which a deployment without faults is stable.
STABLE_SECONDS = 4.0


class Deployment:
    """Emulated hosts and servers, and what callers and servers have observed.

    Hosts take the data centres in turn, and so do the servers of each service.
    """

    def __init__(
        self,
        folder,
        hosts=3,
        data_centres=("a", "b"),
        is_renamed_on_restart=True,
        shards=SHARDS,
        servers_per_service=SERVERS_PER_SERVICE,
        server_type=StandInServer,
        host_type=EmulatedHost,
        bounds=BOUNDS,
        configuration=None,
    ):
        self.folder = folder
        self.host_type = host_type
        self.configuration = configuration or Configuration(
            1, make_routes(0, shards), make_services(shards)
        )
        self.bounds = bounds
        self.host_count = hosts
        self.data_centres = list(data_centres)
        self.is_renamed_on_restart = is_renamed_on_restart
        self.servers_per_service = servers_per_service
        self.server_type = server_type
        self.store = StandInStore(random.Random(1))
        self.outcomes = []
        self.received_requests = []
        self._caller_count = 0

    async def start(self):
        address = await self.store.start()
        self.store.put_configuration(self.configuration)
        self.servers = [
            self.server_type(
                f"{service.name}/{number}",
                service.name,
                self.data_centres[(index + number) % len(self.data_centres)]
                if self.servers_per_service > SERVERS_PER_SERVICE
                else self.data_centres[number],
                self.store,
                self.received_requests,
                random.Random(f"{service.name} {number}"),
                is_renamed_on_restart=self.is_renamed_on_restart,
            )
            for index, service in enumerate(self.configuration.services)
            for number in range(self.servers_per_service)
        ]
        for server in self.servers:
            await server.start()
        self.proxies = [Proxy(address) for _ in range(self.host_count)]
        for proxy in self.proxies:
            await proxy.start()
        self.hosts = make_hosts(
            self.host_type,
            self.host_count,
            self.data_centres,
            self.folder,
            self.proxies,
            1,
        )
        for host in self.hosts:
            host.settings = replace(host.settings, bounds=self.bounds)
            host.start()
        await asyncio.sleep(STABLE_SECONDS)
        self.caller = self.make_caller()

    def close(self):
        """Kill the hosts and close everything else, as real processes need."""
        for host in self.hosts:
            host.kill()
        for each in (*self.proxies, self.store):
            each.close()
        for server in self.servers:
            server.crash()

    def make_caller(self):
        self._caller_count += 1
        name = f"c{self._caller_count}"
        return Caller(name, self.hosts, self.outcomes, random.Random(1), PATHS)

    async def send_load(self, seconds, rate, kinds, choose_host):
        """Send requests at a rate, each by a new caller, whatever the replies."""
        rng = random.Random(2)
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end:
                host = choose_host(rng)
                if host is not None and host.is_running:
                    tasks.create_task(self._send(host, rng.choice(kinds)))
                await asyncio.sleep(rng.expovariate(rate))

    async def _send(self, host, kind: RequestKind):
        caller = self.make_caller()
        await caller.send_request(host.settings.caller_address, kind)
        caller.close()

    def partition(self, groups):
        """Partition the hosts of each group from those of all others."""
        network = asyncio.get_running_loop().network
        for group in groups:
            for host in group:
                for other in (each for each in sum(groups, []) if each not in group):
                    network.partition(host.settings.ip, other.settings.ip)

    async def restart(self, hosts):
        for host in hosts:
            host.kill()
        await asyncio.sleep(1.0)
        for host in hosts:
            host.start()
        await asyncio.sleep(STABLE_SECONDS + 1.0)
