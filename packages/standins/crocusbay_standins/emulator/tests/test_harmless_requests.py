"""Copies of a harmless request are served while servers end for other reasons."""

import asyncio
import random

import pytest

from crocusbay_standins.emulator.tests.test_crashes_not_counted import (
    CrashingDeployment,
)
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.servers import CrashMode

COPIES = 200
COPY_INTERVAL_SECONDS = 0.1
CRASH_INTERVAL_SECONDS = 0.5


class EndingDeployment(CrashingDeployment):
    """Deployment whose servers end again and again, whatever they run."""

    async def end_servers(self):
        """End a random server at intervals; it starts again under a new name."""
        while True:
            server = self._rng.choice([each for each in self.servers if each.is_up])
            server.end_by_itself()
            await asyncio.sleep(CRASH_INTERVAL_SECONDS)

    async def send_copy(self, kind):
        caller = self.make_caller()
        host = self._rng.choice(self.hosts)
        await caller.send_request(host.settings.caller_address, kind, self.target)
        caller.close()


@pytest.mark.parametrize("is_partitioned", [False, True])
@pytest.mark.parametrize(
    ("target", "kind", "crash_mode", "lease", "seed"),
    [
        ("/all/harmless", RequestKind.GATHER, CrashMode.ACCEPTING, 0.5, 5),
        ("/all/harmless", RequestKind.GATHER, CrashMode.SILENT, 3.6, 1),
        ("/all/harmless", RequestKind.GATHER, CrashMode.SILENT, 3.6, 6),
        ("/one/harmless", RequestKind.FETCH, CrashMode.ACCEPTING, 0.5, 2),
        ("/one/harmless", RequestKind.FETCH, CrashMode.SILENT, 3.6, 2),
        ("/order/harmless", RequestKind.ORDER, CrashMode.SILENT, 3.6, 3),
    ],
)
def test_no_copy_is_refused_as_one_that_crashes_servers(
    loop, tmp_path, target, kind, crash_mode, lease, seed, is_partitioned
):
    async def main():
        deployment = EndingDeployment(
            tmp_path, target, crash_mode, lease, hosts=6, is_renamed_on_restart=True
        )
        deployment._rng = random.Random(seed)
        await deployment.start()
        if is_partitioned:
            deployment.partition([deployment.hosts[start::3] for start in range(3)])
        ending = asyncio.ensure_future(deployment.end_servers())
        async with asyncio.TaskGroup() as tasks:
            for _ in range(COPIES):
                tasks.create_task(deployment.send_copy(kind))
                await asyncio.sleep(COPY_INTERVAL_SECONDS)
        ending.cancel()
        refusals = [
            line
            for host in deployment.hosts
            for line in host.log.splitlines()
            if "quarantine-refusal" in line
        ]
        assert not refusals

    loop.run_until_complete(main())
