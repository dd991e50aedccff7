"""Callers keep the addresses of hosts for as long as they are told."""

import asyncio
from dataclasses import replace

import pytest

from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.hosts import BOUNDS

HOSTS = 3
PLATFORM_BOUNDS = replace(BOUNDS, shutdown_timeout=6.0, entry_lifetime=5.0)
PERIOD_SECONDS = 12.0
# Each look-up delays the request that it is for.
MAX_LOOK_UPS = 4
REQUEST_INTERVAL_SECONDS = 0.1


def test_most_requests_need_no_look_up(loop, tmp_path):
    """A caller that sends all the time asks for hosts whenever its answer expires."""

    async def main():
        deployment = Deployment(tmp_path, HOSTS, bounds=PLATFORM_BOUNDS)
        await deployment.start()
        look_ups, expires_at = 0, 0.0
        end = loop.time() + PERIOD_SECONDS
        while loop.time() < end:
            if loop.time() >= expires_at:
                resolution = await deployment.caller.look_up(deployment.hosts[0])
                expires_at = loop.time() + resolution.lifetime
                look_ups += 1
            outcome = await deployment.caller.send_request(
                resolution.addresses[0], RequestKind.FETCH
            )
            assert outcome.status == 200
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        assert look_ups <= MAX_LOOK_UPS

    loop.run_until_complete(main())


@pytest.mark.parametrize("asked_at_seconds", [-3.0, -1.0, -0.1, 0.05])
def test_addresses_can_be_used_until_they_expire(loop, tmp_path, asked_at_seconds):
    """One of the hosts stops as planned around the time at which callers ask."""

    async def main():
        deployment = Deployment(tmp_path, HOSTS, bounds=PLATFORM_BOUNDS)
        await deployment.start()
        leaving = deployment.hosts[0]
        stop_at = loop.time() + 4.0
        loop.call_at(stop_at, leaving.gateway.start_leaving)
        await asyncio.sleep(stop_at + asked_at_seconds - loop.time())
        resolution = await deployment.caller.look_up(deployment.hosts[1])
        expires_at = loop.time() + resolution.lifetime
        while loop.time() < expires_at:
            for address in resolution.addresses:
                caller = deployment.make_caller()
                outcome = await caller.send_request(address, RequestKind.FETCH)
                caller.close()
                assert outcome is not None, f"{address} refused a connection"
                assert outcome.status in (200, 503)
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    loop.run_until_complete(main())
