"""Limits for all hosts together hold while hosts are partitioned from each other."""

import asyncio

import pytest

from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.checks import Observations, check_connections, check_extras

RATE = 40.0
SECONDS = 16.0
# Of the requests that servers run or refuse, so many fail.
FAILED_SHARE = 0.7


async def keep_running(deployment):
    await asyncio.sleep(0.0)


async def restart_hosts(deployment):
    """Restart all hosts; none hears from another one that it knows."""
    await deployment.restart(deployment.hosts)


def observe(deployment):
    for server in deployment.servers:
        server.crash()
    peak_connections = {
        server.name: server.peak_connections for server in deployment.servers
    }
    return Observations(
        deployment.outcomes,
        deployment.received_requests,
        [(0.0, deployment.configuration)],
        [],
        lambda host, at: True,
        peak_connections,
    )


@pytest.mark.parametrize("disrupt", [keep_running, restart_hosts])
@pytest.mark.parametrize("failure", ["failed_share", "refused_share"])
@pytest.mark.parametrize("kind", [RequestKind.GATHER, RequestKind.FETCH])
@pytest.mark.parametrize(
    ("hosts", "data_centres"), [(6, ("a", "b", "c")), (12, ("a", "b"))]
)
def test_retries_and_connections_keep_to_limits_if_no_host_hears_another(
    loop, tmp_path, hosts, data_centres, kind, failure, disrupt
):
    async def main():
        deployment = Deployment(
            tmp_path, hosts, data_centres, shards=2, servers_per_service=3
        )
        await deployment.start()

        async def send_load(seconds):
            await deployment.send_load(
                seconds, RATE, [kind], lambda rng: rng.choice(deployment.hosts)
            )

        await send_load(4.0)
        deployment.partition([[host] for host in deployment.hosts])
        await disrupt(deployment)
        for server in deployment.servers:
            setattr(server.behaviour, failure, FAILED_SHARE)
        await send_load(SECONDS)
        observations = observe(deployment)
        assert not check_extras(observations)
        assert not check_connections(observations)

    loop.run_until_complete(main())
