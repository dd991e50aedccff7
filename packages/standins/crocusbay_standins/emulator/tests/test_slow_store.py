"""Every host starts without state while the store is slow or fails."""

import asyncio
import random

import pytest

from crocusbay_gateway.state import Configuration
from crocusbay_standins.emulator.hosts import EmulatedHost
from crocusbay_standins.emulator.loop import VirtualClockLoop
from crocusbay_standins.soak.deployment import make_routes, make_services
from crocusbay_standins.soak.hosts import make_hosts
from crocusbay_standins.soak.proxy import Proxy
from crocusbay_standins.soak.servers import StandInServer
from crocusbay_standins.soak.store import Outage, StandInStore

HOSTS = 3
# The platform's bound on service recovery once the store responds.
RECOVERY_SECONDS = 12.0


@pytest.fixture
def loop():
    loop = VirtualClockLoop(1)
    asyncio.set_event_loop(loop)
    yield loop
    asyncio.set_event_loop(None)
    loop.close()


async def start_deployment(folder, store):
    address = await store.start()
    store.put_configuration(Configuration(1, make_routes(0), make_services()))
    servers = [
        StandInServer(
            f"{service.name}/0", service.name, "a", store, [], random.Random(1)
        )
        for service in make_services()
    ]
    for server in servers:
        await server.start()
    proxies = [Proxy(address) for _ in range(HOSTS)]
    for proxy in proxies:
        await proxy.start()
    hosts = make_hosts(EmulatedHost, HOSTS, ["a"], folder, proxies, 1)
    for host in hosts:
        host.start()
    return hosts


@pytest.mark.parametrize("delay_seconds", [0.0, 0.5, 1.2, 2.0])
def test_hosts_become_ready_with_slow_store(loop, tmp_path, delay_seconds):
    async def main():
        store = StandInStore(random.Random(1))
        store.response_delay_seconds = delay_seconds
        hosts = await start_deployment(tmp_path, store)
        await asyncio.sleep(RECOVERY_SECONDS)
        assert all(host.gateway.is_ready for host in hosts)

    loop.run_until_complete(main())


@pytest.mark.parametrize("outage", [each for each in Outage if each != Outage.NONE])
def test_hosts_become_ready_after_store_outage(loop, tmp_path, outage):
    async def main():
        store = StandInStore(random.Random(1))
        hosts = await start_deployment(tmp_path, store)
        for host in hosts:
            host.kill()
        store.outage = outage
        for host in hosts:
            host.start()
        await asyncio.sleep(6.0)
        assert not any(host.gateway.is_ready for host in hosts)
        store.outage = Outage.NONE
        await asyncio.sleep(3.0)
        assert all(host.gateway.is_ready for host in hosts)

    loop.run_until_complete(main())
