"""Planned stops of real processes by real signals; times are those of the machine."""

import asyncio
import random
from dataclasses import replace

import pytest

from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.emulator.tests.stop import (
    STOP_BOUNDS,
    STOP_CONFIGURATION,
    StopCaller,
    stop_as_planned,
    wrong_ends,
)
from crocusbay_standins.soak import servers as servers_module
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.hosts import ProcessHost

SERVING_KINDS = [RequestKind.GATHER, RequestKind.FETCH, RequestKind.ORDER]
BOUNDS = replace(STOP_BOUNDS, shutdown_timeout=3.0)
# The process ends by itself; on a slow machine, it may do so later than it intended.
KILL_AFTER_SECONDS = 30.0
READINESS_TIMEOUT_SECONDS = 30.0
REQUESTS = 120


async def wait_until_ready(caller):
    async with asyncio.timeout(READINESS_TIMEOUT_SECONDS):
        while True:
            stream = await caller.connect()
            if stream is not None:
                await caller.send(stream, RequestKind.GATHER)
                if caller.sent[-1].status == 200:
                    break
            await asyncio.sleep(0.1)


async def send_in_some_way(caller, rng, after, stream):
    await asyncio.sleep(after)
    if rng.random() < 0.3:
        stream[1].close()
        stream = await caller.connect()
    if stream is not None:
        count = rng.choice([1, 1, 3])
        delay = rng.choice([0.0, 0.0, 0.05])
        await caller.send(stream, rng.choice(SERVING_KINDS), count, delay)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("work", [0.02, 1.5, 2.5])
def test_requests_during_a_planned_stop_are_answered(tmp_path, monkeypatch, work, seed):
    monkeypatch.setattr(servers_module, "CONCURRENCY_LIMIT", 200)

    async def main():
        rng = random.Random(seed)
        deployment = Deployment(
            tmp_path,
            host_type=ProcessHost,
            bounds=BOUNDS,
            configuration=STOP_CONFIGURATION,
        )
        try:
            await deployment.start()
            host = deployment.hosts[0]
            caller = StopCaller(host)
            await wait_until_ready(caller)
            for server in deployment.servers:
                server.behaviour.mean_processing_seconds = work
            # Further requests are numbered anew.
            caller.sent.clear()
            deployment.received_requests.clear()
            times = [rng.uniform(0.0, BOUNDS.shutdown_timeout) for _ in range(REQUESTS)]
            streams = [await caller.connect() for _ in times]
            caller.stopped_at = asyncio.get_running_loop().time()
            async with asyncio.TaskGroup() as tasks:
                for after, stream in zip(times, streams, strict=True):
                    tasks.create_task(send_in_some_way(caller, rng, after, stream))
                await stop_as_planned(host, KILL_AFTER_SECONDS)
                assert host.process.returncode == 0
            await asyncio.sleep(1.0)
        finally:
            deployment.close()
        # How soon a refusal or a close arrives depends on the machine.
        ends = wrong_ends(caller.sent, deployment.received_requests, float("inf"))
        assert ends == []
        assert any(each.status == 200 for each in caller.sent)

    asyncio.run(main())
