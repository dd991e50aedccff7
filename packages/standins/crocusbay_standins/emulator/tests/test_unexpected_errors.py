"""An error of the program ends what it occurs in, not the host."""

import asyncio

import pytest

from crocusbay_gateway.coordination.forward import ForwardHandler
from crocusbay_gateway.coordination.store_watcher import StoreWatcher
from crocusbay_gateway.coordination.views import ServersView
from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.soak.callers import RequestKind

HOSTS = 3
ERROR_SECONDS = 3.0
RECOVERY_SECONDS = 2.0


def fail(*args, **options):
    raise AttributeError("an error of the program")


async def send(deployment, kind):
    outcomes = []
    for host in deployment.hosts:
        caller = deployment.make_caller()
        outcomes.append(await caller.send_request(host.settings.caller_address, kind))
        caller.close()
    return [outcome.status for outcome in outcomes]


@pytest.mark.parametrize(
    ("owner", "method", "kind", "status"),
    [
        # The request may have run; its caller is told so, others are served.
        (ForwardHandler, "run", RequestKind.ORDER, 502),
        (ServersView, "update", RequestKind.FETCH, 200),
        (StoreWatcher, "_poll_configuration", RequestKind.GATHER, 200),
    ],
)
def test_host_outlives_an_error(
    loop, tmp_path, monkeypatch, owner, method, kind, status
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        with monkeypatch.context() as patched:
            patched.setattr(owner, method, fail)
            await asyncio.sleep(ERROR_SECONDS)
            assert await send(deployment, kind) == [status] * HOSTS
        assert any("an error of the program" in each for each in loop.unhandled_errors)
        await asyncio.sleep(RECOVERY_SECONDS)
        assert all(host.is_running for host in deployment.hosts)
        assert await send(deployment, kind) == [200] * HOSTS
        ages = [host.gateway.servers.age(loop.time()) for host in deployment.hosts]
        assert max(ages) < RECOVERY_SECONDS

    loop.run_until_complete(main())
