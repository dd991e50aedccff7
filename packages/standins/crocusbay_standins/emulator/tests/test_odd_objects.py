"""Another writer leaves an odd object among those that hosts read from the store."""

import asyncio
import random

import pytest

from crocusbay_platform.names import (
    CONFIGURATION_KIND,
    HOSTS_KIND,
    QUARANTINES_KIND,
    SERVERS_KIND,
)
from crocusbay_platform.tests.odd_objects import (
    DEEP,
    HUGE,
    ODD_OTHERS,
    ODD_SERVERS,
    nested,
    server,
)
from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.hosts import BOUNDS
from crocusbay_standins.soak.servers import StandInServer

HOSTS = 4
# In the order of names, before and after those of the servers.
ODD_NAMES = ("!odd", "~odd")


async def add_server(deployment):
    """Start one more server of a service; return its name."""
    server = StandInServer(
        "added",
        deployment.servers[0].service,
        "a",
        deployment.store,
        deployment.received_requests,
        random.Random(3),
    )
    await server.start()
    deployment.servers.append(server)
    return server.name


async def check_deployment(deployment, loop):
    """Check that hosts live, follow the lists, and serve requests."""
    name = await add_server(deployment)
    await asyncio.sleep(BOUNDS.configuration_apply_time)
    assert [host.is_running for host in deployment.hosts] == [True] * HOSTS
    for host in deployment.hosts:
        assert name in host.gateway.servers.by_name
        assert host.gateway.store_watcher.reaches_store
    usable = {
        entry.address
        for host in deployment.hosts
        for entry in host.gateway.servers.by_name.values()
        if entry.is_usable and entry.service != "nowhere"
    }
    assert usable == {each.proxy.address for each in deployment.servers}
    for host in deployment.hosts:
        await deployment.caller.send_request(
            host.settings.caller_address, RequestKind.GATHER
        )
    assert all(outcome.status == 200 for outcome in deployment.outcomes)
    assert len(deployment.outcomes) == HOSTS
    assert loop.unhandled_errors == []


@pytest.mark.parametrize("is_written_before_the_start", [False, True])
@pytest.mark.parametrize(
    ("kind", "spec"),
    [
        *[
            pytest.param(SERVERS_KIND, spec, id=f"server {name}")
            for name, spec in ODD_SERVERS.items()
        ],
        *[
            pytest.param(kind, spec, id=f"{kind} {name}")
            for kind in (HOSTS_KIND, QUARANTINES_KIND, CONFIGURATION_KIND)
            for name, spec in ODD_OTHERS.items()
        ],
    ],
)
def test_odd_object_costs_itself_alone(
    loop, tmp_path, kind, spec, is_written_before_the_start
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        if not is_written_before_the_start:
            await deployment.start()
        for name in ODD_NAMES:
            deployment.store.put_raw(kind, name, spec)
        if is_written_before_the_start:
            await deployment.start()
        await asyncio.sleep(1.0)
        await check_deployment(deployment, loop)

    loop.run_until_complete(main())


@pytest.mark.parametrize("is_listed_again", [False, True])
@pytest.mark.parametrize(
    "spec", [nested(DEEP), server(service='"\\ud800"'), server(slots=HUGE), b"null"]
)
def test_odd_object_in_place_of_a_server_removes_it(
    loop, tmp_path, spec, is_listed_again
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        replaced = deployment.servers.pop(0)
        replaced.crash()
        deployment.store.put_raw(SERVERS_KIND, replaced.name, spec)
        if is_listed_again:
            deployment.store.compact()
        await asyncio.sleep(1.0)
        for host in deployment.hosts:
            assert not host.gateway.servers.by_name[replaced.name].is_usable
        await check_deployment(deployment, loop)

    loop.run_until_complete(main())


def test_odd_configuration_leaves_the_valid_one_in_force(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        for spec in ODD_OTHERS.values():
            deployment.store.put_raw_configuration(spec)
            await asyncio.sleep(0.5)
        for host in deployment.hosts:
            assert host.gateway.configuration.version == 1
        await check_deployment(deployment, loop)

    loop.run_until_complete(main())
