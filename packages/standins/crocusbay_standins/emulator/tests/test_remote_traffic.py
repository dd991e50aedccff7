"""What hosts of many data centres send each other while nothing changes."""

import asyncio

from crocusbay_standins.emulator.tests.deployment import Deployment

DATA_CENTRES = tuple(f"data-centre-{letter}" for letter in "abcdef")
HOSTS = 48
BRIDGES = 2 * len(DATA_CENTRES)
SETTLING_SECONDS = 6.0
PERIOD_SECONDS = 16.0
# Of each host that sends to other data centres: half of what the target for 195 hosts,
# 0.012 GB in 55 s, leaves it.
MAX_BYTES_PER_SECOND = 9_000


def heartbeat_bytes(deployment):
    return sum(
        host.gateway.metrics.remote_bytes.by_labels.get(("heartbeat",), 0)
        for host in deployment.hosts
    )


def test_heartbeats_between_data_centres_are_small(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, data_centres=DATA_CENTRES)
        await deployment.start()
        await asyncio.sleep(SETTLING_SECONDS)
        start = heartbeat_bytes(deployment)
        await asyncio.sleep(PERIOD_SECONDS)
        rate = (heartbeat_bytes(deployment) - start) / PERIOD_SECONDS
        assert rate / BRIDGES <= MAX_BYTES_PER_SECOND
        # Each host knows a host of each other data centre, to ask if others end.
        for host in deployment.hosts:
            contacts = host.gateway.membership.contacts_by_name.values()
            assert {each.data_centre for each in contacts} == set(DATA_CENTRES)

    loop.run_until_complete(main())
