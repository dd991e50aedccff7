"""Replays a store that is slow while every host starts without state."""

import asyncio
import random

import pytest

from crocusbay_gateway.state import Configuration
from crocusbay_standins.emulator.hosts import EmulatedHost
from crocusbay_standins.emulator.loop import VirtualLoop
from crocusbay_standins.soak.deployment import make_routes, make_services
from crocusbay_standins.soak.hosts import make_hosts
from crocusbay_standins.soak.proxy import Proxy
from crocusbay_standins.soak.servers import StandInServer
from crocusbay_standins.soak.store import Outage, StandInStore

HOSTS = 3
# The platform's bound on the return of service once the store answers.
RECOVERY_SECONDS = 12.0


@pytest.fixture
def loop():
    loop = VirtualLoop(1)
    asyncio.set_event_loop(loop)
    yield loop
    asyncio.set_event_loop(None)
    loop.close()


async def start(folder, store):
    address = await store.start()
    store.put_configuration(Configuration(1, make_routes(0), make_services()))
    servers = [
        StandInServer(f"{each.name}/0", each.name, "a", store, [], random.Random(1))
        for each in make_services()
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


@pytest.mark.parametrize("answer_seconds", [0.0, 0.5, 1.2, 2.0])
def test_hosts_started_beside_a_slow_store_become_ready(loop, tmp_path, answer_seconds):
    async def main():
        store = StandInStore(random.Random(1))
        store.answer_seconds = answer_seconds
        hosts = await start(tmp_path, store)
        await asyncio.sleep(RECOVERY_SECONDS)
        assert all(host.gateway.is_ready for host in hosts)

    loop.run_until_complete(main())


@pytest.mark.parametrize("outage", [each for each in Outage if each != Outage.NONE])
def test_hosts_started_in_an_outage_become_ready_once_it_ends(loop, tmp_path, outage):
    async def main():
        store = StandInStore(random.Random(1))
        hosts = await start(tmp_path, store)
        for host in hosts:
            host.end()
        store.outage = outage
        for host in hosts:
            host.start()
        await asyncio.sleep(6.0)
        assert not any(host.gateway.is_ready for host in hosts)
        store.outage = Outage.NONE
        await asyncio.sleep(3.0)
        assert all(host.gateway.is_ready for host in hosts)

    loop.run_until_complete(main())
