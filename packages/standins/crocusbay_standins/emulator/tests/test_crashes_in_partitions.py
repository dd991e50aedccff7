"""Crashes count at all hosts that reach the store, whichever hosts they hear."""

import asyncio
import random

import msgspec
import pytest

from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.emulator.tests.test_crashes_not_counted import (
    FETCH,
    GATHER,
    ORDER,
    CrashingDeployment,
)
from crocusbay_standins.emulator.tests.test_crashing_request import MAX_LATE_RETRIES
from crocusbay_standins.soak.servers import CrashMode


def alone(hosts):
    return [[host] for host in hosts]


def pairs(hosts):
    """Return pairs of hosts, each from two data centres."""
    return [hosts[start : start + 2] for start in range(0, len(hosts), 2)]


def halves(hosts):
    return [hosts[: len(hosts) // 2], hosts[len(hosts) // 2 :]]


def data_centres(hosts):
    groups = {}
    for host in hosts:
        groups.setdefault(host.settings.data_centre, []).append(host)
    return list(groups.values())


@pytest.mark.parametrize("crash_mode", [CrashMode.RESET, CrashMode.SILENT])
@pytest.mark.parametrize("target", [GATHER, FETCH, ORDER, f"{GATHER}@shard1"])
@pytest.mark.parametrize("make_groups", [alone, pairs, halves, data_centres])
def test_crashes_count_in_all_groups_of_partitioned_hosts(
    loop, tmp_path, make_groups, target, crash_mode
):
    async def main():
        deployment = CrashingDeployment(
            tmp_path,
            target,
            crash_mode,
            0.5,
            hosts=8,
            data_centres=("a", "b", "c", "d"),
            is_renamed_on_restart=True,
        )
        await deployment.start()
        deployment.partition(make_groups(deployment.hosts))
        await deployment.send_copies(24, interval=1.0)
        assert deployment.late_retries() <= MAX_LATE_RETRIES

    loop.run_until_complete(main())


async def change_groups(deployment):
    """Partition the hosts into two groups, others each time."""
    rng = random.Random(4)
    while True:
        hosts = rng.sample(deployment.hosts, len(deployment.hosts))
        deployment.partition(halves(hosts))
        await asyncio.sleep(5.5)
        asyncio.get_running_loop().network.heal()
        await asyncio.sleep(0.2)


async def restart_in_groups(deployment):
    """Restart one host after the other while they are partitioned into pairs."""
    deployment.partition(pairs(deployment.hosts))
    for host in deployment.hosts:
        await asyncio.sleep(2.0)
        host.kill()
        await asyncio.sleep(1.0)
        host.start()


async def silence_hosts(deployment):
    """Let no other host hear from all hosts but one, which they hear."""
    network = asyncio.get_running_loop().network
    for source in deployment.hosts[1:]:
        for target in deployment.hosts:
            if target is not source:
                network.drop_datagrams(source.settings.ip, target.settings.ip)


@pytest.mark.parametrize("target", [ORDER, f"{GATHER}@shard1"])
@pytest.mark.parametrize("disrupt", [change_groups, restart_in_groups, silence_hosts])
def test_crashes_count_while_links_between_hosts_change(
    loop, tmp_path, disrupt, target
):
    async def main():
        deployment = CrashingDeployment(
            tmp_path, target, hosts=6, is_renamed_on_restart=True
        )
        await deployment.start()
        disruption = asyncio.ensure_future(disrupt(deployment))
        await deployment.send_copies(24, interval=1.0)
        disruption.cancel()
        assert deployment.late_retries() <= MAX_LATE_RETRIES

    loop.run_until_complete(main())


def test_crashes_are_not_read_for_changes_of_servers_and_configuration(loop, tmp_path):
    """Each call to the store has a price."""

    async def main():
        deployment = Deployment(tmp_path)
        await deployment.start()

        def read_count():
            return sum(host.log.count('"crashes-read"') for host in deployment.hosts)

        reads = read_count()
        for version in range(2, 6):
            server = deployment.servers[version]
            server.drain()
            deployment.store.put_configuration(
                msgspec.structs.replace(deployment.configuration, version=version)
            )
            await asyncio.sleep(0.4)
            server.deregister()
            await asyncio.sleep(1.1)
        assert read_count() == reads

    loop.run_until_complete(main())
