"""What hosts suspect of silent servers outlives the hosts."""

import asyncio
import random
import signal

import pytest

from crocusbay_standins.emulator.tests.deployment import STABLE_SECONDS
from crocusbay_standins.emulator.tests.test_crashes_not_counted import (
    FETCH,
    GATHER,
    ORDER,
    CrashingDeployment,
)
from crocusbay_standins.emulator.tests.test_crashing_request import MAX_LATE_RETRIES
from crocusbay_standins.soak.servers import CrashMode
from crocusbay_standins.soak.store import Outage

COPIES_BEFORE = 3
COPIES_AFTER = 14
COPY_INTERVAL_SECONDS = 0.5
ENTRY_LEASE_SECONDS = 3.6
# From the third crash to the event.
EVENT_DELAY_SECONDS = 0.5
# From the event to the next copy: no copy comes while a host is out of touch.
CALM_SECONDS = 8.0
RARE_COPIES = 14


class LosingDeployment(CrashingDeployment):
    """Deployment whose hosts are lost while they only suspect crashes."""

    def late_copies(self):
        """Return how many copies reached a server after none should."""
        runs = [each for each in self.received_requests if each.has_run]
        crashed_at = sorted(each.received_at for each in runs)
        stable_at = crashed_at[COPIES_BEFORE - 1] + STABLE_SECONDS
        return len({e.attempt_id for e in runs if e.received_at > stable_at})

    def hosts_in_touch(self):
        """Return the hosts that have run for long enough to count."""
        started_by = asyncio.get_running_loop().time() - STABLE_SECONDS
        return [
            each
            for each in self.hosts
            if each.is_running and each.start_times[-1] <= started_by
        ]

    def start_copy(self, host):
        return asyncio.ensure_future(self._send_copy(host, None))

    async def stop(self, host):
        """Stop a host as planned, and start it when it has ended."""
        host.send_signal(signal.SIGTERM)
        while host.is_running:
            await asyncio.sleep(0.1)
        host.start()


async def kill_all(deployment):
    for host in deployment.hosts:
        host.kill()
    await asyncio.sleep(0.1)
    for host in deployment.hosts:
        host.start()


async def kill_all_twice(deployment):
    await kill_all(deployment)
    await asyncio.sleep(0.5)
    await kill_all(deployment)


async def kill_each(deployment):
    for host in deployment.hosts:
        host.kill()
        await asyncio.sleep(0.1)
        host.start()
        await asyncio.sleep(0.3)


async def kill_each_without_contact(deployment):
    deployment.partition([[host] for host in deployment.hosts])
    await kill_each(deployment)
    asyncio.get_running_loop().network.heal()


async def kill_all_and_restore(deployment):
    await kill_all(deployment)
    deployment.store.restore(4.0)


async def kill_all_in_outage(deployment):
    deployment.store.outage = Outage.UNAVAILABLE
    await kill_all(deployment)
    await asyncio.sleep(2.0)
    deployment.store.outage = Outage.NONE


async def stop_all(deployment):
    async with asyncio.TaskGroup() as tasks:
        for host in deployment.hosts:
            tasks.create_task(deployment.stop(host))
            await asyncio.sleep(0.3)


async def stop_each(deployment):
    for host in deployment.hosts:
        await deployment.stop(host)


@pytest.mark.parametrize(
    "lose_hosts",
    [
        kill_all,
        kill_all_twice,
        kill_each,
        kill_each_without_contact,
        kill_all_and_restore,
        kill_all_in_outage,
        stop_all,
        stop_each,
    ],
)
@pytest.mark.parametrize("crash_mode", [CrashMode.SILENT, CrashMode.ACCEPTING])
@pytest.mark.parametrize("target", [GATHER, FETCH, ORDER])
def test_crashes_count_if_hosts_are_lost_while_they_are_suspected(
    loop, tmp_path, target, crash_mode, lose_hosts
):
    async def main():
        deployment = LosingDeployment(
            tmp_path,
            target,
            crash_mode,
            ENTRY_LEASE_SECONDS,
            data_centres=("a", "b", "c"),
            shards=3,
            servers_per_service=8,
        )
        await deployment.start()
        copies = []
        for _ in range(COPIES_BEFORE):
            copies.append(
                deployment.start_copy(deployment._rng.choice(deployment.hosts))
            )
            await asyncio.sleep(COPY_INTERVAL_SECONDS)
        await asyncio.sleep(EVENT_DELAY_SECONDS - COPY_INTERVAL_SECONDS)
        await lose_hosts(deployment)
        await asyncio.sleep(CALM_SECONDS)
        for _ in range(COPIES_AFTER):
            copies.append(
                deployment.start_copy(deployment._rng.choice(deployment.hosts))
            )
            await asyncio.sleep(COPY_INTERVAL_SECONDS)
        await asyncio.gather(*copies)
        assert deployment.late_copies() <= MAX_LATE_RETRIES

    loop.run_until_complete(main())


@pytest.mark.parametrize("is_planned", [False, True], ids=["killed", "stopped"])
@pytest.mark.parametrize("crash_mode", [CrashMode.SILENT, CrashMode.ACCEPTING])
@pytest.mark.parametrize("target", [GATHER, FETCH, ORDER])
def test_crashes_count_if_each_host_is_lost_beside_its_copy(
    loop, tmp_path, target, crash_mode, is_planned
):
    """Copies are rare, and the host that has one is lost soon after."""

    async def main():
        deployment = LosingDeployment(
            tmp_path,
            target,
            crash_mode,
            ENTRY_LEASE_SECONDS,
            hosts=6,
            data_centres=("a", "b", "c"),
            shards=3,
            servers_per_service=4,
        )
        await deployment.start()
        rng = random.Random(4)
        await asyncio.sleep(STABLE_SECONDS)
        copies = []
        for _ in range(RARE_COPIES):
            host = rng.choice(deployment.hosts_in_touch())
            copies.append(deployment.start_copy(host))
            await asyncio.sleep(rng.uniform(0.05, 2.5))
            if is_planned:
                copies.append(asyncio.ensure_future(deployment.stop(host)))
            else:
                host.kill()
                await asyncio.sleep(0.1)
                host.start()
            await asyncio.sleep(rng.uniform(3.0, 6.0))
        await asyncio.gather(*copies)
        assert deployment.late_copies() <= MAX_LATE_RETRIES

    loop.run_until_complete(main())
