"""A request that crashes each server that runs it is not sent again and again."""

import asyncio
import contextlib

import pytest

from crocusbay_standins.emulator.tests.deployment import STABLE_SECONDS, Deployment
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.store import Outage

HOSTS = 3
# The platform's bound on retries once the deployment is stable after the third crash.
MAX_LATE_RETRIES = 3
GATHER = "/all/crash"
FETCH = "/one/crash"


class CrashingDeployment(Deployment):
    """Deployment whose caller repeats requests."""

    async def send_copies(self, targets, hosts=None, rounds=3):
        """Send each target to each host in turn, a second apart."""
        for _ in range(rounds):
            for host in hosts or self.hosts:
                for target in targets:
                    await self.caller.send_request(
                        host.settings.caller_address, RequestKind.CRASHING, target
                    )
                await asyncio.sleep(1.0)

    def late_retries(self, target):
        """Return how often the target was sent to servers after they should not be."""
        attempt_ids = {o.attempt_id for o in self.outcomes if o.path == target}
        received_at = sorted(
            each.received_at
            for each in self.received_requests
            if each.attempt_id in attempt_ids and each.has_run
        )
        if len(received_at) < MAX_LATE_RETRIES:
            return 0
        stable_at = received_at[2] + STABLE_SECONDS
        return sum(at > stable_at for at in received_at)


async def do_nothing(deployment):
    pass


async def restart_each_host(deployment):
    """Restart one host after the other, long after the crashes."""
    for host in deployment.hosts:
        await deployment.restart([host])


async def restart_all_hosts(deployment):
    await deployment.restart(deployment.hosts)


async def restart_all_hosts_during_store_outage(deployment):
    deployment.store.outage = Outage.UNAVAILABLE
    for host in deployment.hosts:
        host.kill()
    await asyncio.sleep(1.0)
    for host in deployment.hosts:
        host.start()
    await asyncio.sleep(3.0)
    deployment.store.outage = Outage.NONE
    await asyncio.sleep(STABLE_SECONDS + 2.0)


@pytest.mark.parametrize("is_renamed_on_restart", [True, False], ids=["new", "same"])
@pytest.mark.parametrize("target", [GATHER, FETCH, f"{GATHER}@shard1"])
@pytest.mark.parametrize(
    "disrupt",
    [
        do_nothing,
        restart_each_host,
        restart_all_hosts,
        restart_all_hosts_during_store_outage,
    ],
)
def test_crashing_request_is_not_sent_again(
    loop, tmp_path, disrupt, target, is_renamed_on_restart
):
    async def main():
        deployment = CrashingDeployment(
            tmp_path, is_renamed_on_restart=is_renamed_on_restart
        )
        await deployment.start()
        await deployment.send_copies([target], rounds=2)
        await disrupt(deployment)
        await deployment.send_copies([target], rounds=4)
        assert deployment.late_retries(target) <= MAX_LATE_RETRIES

    loop.run_until_complete(main())


@pytest.mark.parametrize("prefix", [GATHER, FETCH])
def test_host_cut_off_during_the_crashes_learns_of_them(loop, tmp_path, prefix):
    async def main():
        deployment = CrashingDeployment(tmp_path)
        await deployment.start()
        isolated, *others = deployment.hosts
        for other in others:
            loop.network.partition(isolated.settings.ip, other.settings.ip)
        await deployment.send_copies([prefix], others)
        await asyncio.sleep(STABLE_SECONDS)
        loop.network.heal()
        await asyncio.sleep(STABLE_SECONDS + 1.0)
        await deployment.send_copies([prefix], [isolated], rounds=4)
        assert deployment.late_retries(prefix) <= MAX_LATE_RETRIES

    loop.run_until_complete(main())


@pytest.mark.parametrize("prefix", [GATHER, FETCH])
def test_each_of_several_crashing_requests_is_reported(loop, tmp_path, prefix):
    async def main():
        deployment = CrashingDeployment(tmp_path)
        await deployment.start()
        targets = [f"{prefix}-{number}" for number in range(6)]
        first, *others = deployment.hosts
        for target in targets:
            # The servers that the previous request crashed are back.
            await deployment.send_copies([target], [first], rounds=3)
            await asyncio.sleep(STABLE_SECONDS)
        await deployment.restart(others)
        await deployment.send_copies(targets, others, rounds=2)
        for target in targets:
            assert deployment.late_retries(target) <= MAX_LATE_RETRIES

    loop.run_until_complete(main())


def test_crashes_count_if_the_caller_leaves(loop, tmp_path):
    """Simulate a shard that does not respond, and a caller that doesn't wait for it."""

    async def main():
        deployment = CrashingDeployment(tmp_path)
        await deployment.start()
        for _ in range(8):
            for server in deployment.servers:
                if server.service == "shard0":
                    server._not_paused.clear()
            address = deployment.hosts[0].settings.caller_address
            caller = deployment.make_caller()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await caller.send_request(address, RequestKind.CRASHING, GATHER)
            caller.close()
            await asyncio.sleep(3.0)
        # A caller that left has no outcome.
        crashes = [each.received_at for each in deployment.received_requests]
        stable_at = sorted(crashes)[2] + STABLE_SECONDS
        assert sum(at > stable_at for at in crashes) <= MAX_LATE_RETRIES

    loop.run_until_complete(main())


@pytest.mark.parametrize("prefix", ["/all/harmless", "/one/harmless"])
def test_request_with_lost_responses_is_not_quarantined(loop, tmp_path, prefix):
    """Simulate servers that reset the connections of all requests, but keep running."""

    async def main():
        deployment = CrashingDeployment(tmp_path)
        await deployment.start()
        for server in deployment.servers:
            server.behaviour.lost_share = 1.0
        await deployment.send_copies([prefix])
        for server in deployment.servers:
            server.behaviour.lost_share = 0.0
        deployment.outcomes.clear()
        await deployment.send_copies([prefix], rounds=1)
        assert [outcome.status for outcome in deployment.outcomes] == [200] * HOSTS

    loop.run_until_complete(main())
