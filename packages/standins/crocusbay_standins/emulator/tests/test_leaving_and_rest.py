"""Servers state in their responses that they leave, or ask for a rest."""

import asyncio
import math
from dataclasses import replace

import pytest

from crocusbay.state import split_address
from crocusbay_standins.emulator.tests.deployment import STABLE_SECONDS, Deployment
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.hosts import BOUNDS
from crocusbay_standins.soak.store import Outage

HOSTS = 6
DATA_CENTRES = ("a", "b", "c")
CALLER_RATE = 40.0
LOAD_SECONDS = 12.0
GATHERS = [RequestKind.GATHER]
FETCHES = [RequestKind.FETCH]
# Hosts hear of a leaving server from others within this time of its first response.
SPREADING_SECONDS = 1.0
# The platform's bounds on requests to a server that rests, for each host.
REST_GRACE_SECONDS = 0.5
MAX_REQUESTS_IN_REST = 2
REST_SECONDS = 3.0
# Requests that a host may send before it has heard of the rest.
MAX_REQUESTS_IN_GRACE = math.ceil(REST_GRACE_SECONDS * CALLER_RATE)


def state(servers, **behaviour):
    for server in servers:
        server.behaviour = replace(server.behaviour, **behaviour)


def any_host(deployment):
    return lambda rng: rng.choice(deployment.hosts)


def one_host(deployment):
    return lambda rng: deployment.hosts[0]


def received_by(deployment, server, since=0.0, until=float("inf")):
    return [
        request
        for request in deployment.received_requests
        if request.server == server.name and since <= request.received_at < until
    ]


def servers_of(deployment, *services):
    return [server for server in deployment.servers if server.service in services]


def unwanted_attempts(deployment):
    """Return how many attempts hosts made to servers of which they knew better."""
    return sum(
        sum(host.gateway.metrics.unwanted_attempts.by_labels.values())
        for host in deployment.hosts
    )


async def do_nothing(deployment):
    pass


async def silence_store(deployment):
    deployment.store.outage = Outage.SILENT


async def restart_hosts_in_turn(deployment):
    for host in deployment.hosts:
        host.kill()
        await asyncio.sleep(0.5)
        host.start()
        await asyncio.sleep(1.5)


async def expire_and_return_entries(deployment):
    """Have the store remove the entries of servers, which write them again."""
    await asyncio.sleep(STABLE_SECONDS)
    for server in deployment.servers[::2]:
        deployment.store.remove_server(server.name)


@pytest.mark.parametrize("kinds", [GATHERS, FETCHES])
@pytest.mark.parametrize("choose_host", [any_host, one_host])
@pytest.mark.parametrize(
    "disturb",
    [do_nothing, silence_store, restart_hosts_in_turn, expire_and_return_entries],
)
def test_server_that_says_it_leaves_gets_no_requests(
    loop, tmp_path, kinds, choose_host, disturb
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        leaving = deployment.servers[::2]
        started_at = loop.time()
        state(leaving, states_leaving=True)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(disturb(deployment))
            load = choose_host(deployment)
            await deployment.send_load(LOAD_SECONDS, CALLER_RATE, kinds, load)
        for server in leaving:
            told_at = min(
                (request.received_at for request in received_by(deployment, server)),
                default=started_at,
            )
            since = told_at + SPREADING_SECONDS + BOUNDS.drain_time
            assert not received_by(deployment, server, since)
        served = [each for each in deployment.outcomes if each.status == 200]
        unfinished = [each for each in deployment.outcomes if each.status <= 0]
        assert len(served) >= 0.95 * (len(deployment.outcomes) - len(unfinished))

    loop.run_until_complete(main())


def test_successor_of_a_server_that_said_it_leaves_is_used(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        servers = servers_of(deployment, "single")
        state(servers[:1], states_leaving=True)
        load = any_host(deployment)
        await deployment.send_load(LOAD_SECONDS, CALLER_RATE, FETCHES, load)
        port = split_address(servers[0].proxy.address)[1]
        servers[0].crash()
        state(servers[:1], states_leaving=False)
        await servers[0].start(port)
        started_at = loop.time()
        await deployment.send_load(LOAD_SECONDS, CALLER_RATE, FETCHES, load)
        assert received_by(deployment, servers[0], started_at)

    loop.run_until_complete(main())


def test_requests_are_refused_at_once_if_all_copies_leave(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        state(servers_of(deployment, "single"), states_leaving=True)
        load = any_host(deployment)
        await deployment.send_load(2.0, CALLER_RATE, FETCHES, load)
        deployment.outcomes.clear()
        await deployment.send_load(2.0, CALLER_RATE, FETCHES, load)
        for outcome in deployment.outcomes:
            assert outcome.status == 503
            assert float(outcome.headers[b"retry-after"]) > 0.0
            assert outcome.ended_at - outcome.sent_at < 0.1

    loop.run_until_complete(main())


@pytest.mark.parametrize("kinds", [GATHERS, FETCHES])
@pytest.mark.parametrize("choose_host", [any_host, one_host])
@pytest.mark.parametrize("copies", [1, 2])
def test_server_that_asks_for_rest_gets_almost_no_requests(
    loop, tmp_path, kinds, choose_host, copies
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        resting = [
            s for s in deployment.servers if s.name.endswith(("0", "1")[:copies])
        ]
        state(resting, refused_share=1.0, rest_seconds=REST_SECONDS)
        load = choose_host(deployment)
        await deployment.send_load(LOAD_SECONDS, CALLER_RATE, kinds, load)
        rests = math.ceil(LOAD_SECONDS / REST_SECONDS)
        allowed = MAX_REQUESTS_IN_GRACE + HOSTS * rests * (1 + MAX_REQUESTS_IN_REST)
        for server in resting:
            assert len(received_by(deployment, server)) <= allowed
        assert unwanted_attempts(deployment) == 0

    loop.run_until_complete(main())


@pytest.mark.parametrize("rest", [0.0, 0.4, REST_SECONDS])
def test_server_is_used_again_after_its_rest(loop, tmp_path, rest):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        resting = servers_of(deployment, "single")
        state(resting, refused_share=1.0, rest_seconds=rest)
        load = any_host(deployment)
        await deployment.send_load(2.0, CALLER_RATE, FETCHES, load)
        state(resting, refused_share=0.0, rest_seconds=None)
        await deployment.send_load(rest + 1.0, CALLER_RATE, FETCHES, load)
        deployment.outcomes.clear()
        await deployment.send_load(2.0, CALLER_RATE, FETCHES, load)
        served = [each for each in deployment.outcomes if each.status == 200]
        assert len(served) >= 0.98 * len(deployment.outcomes)

    loop.run_until_complete(main())


def test_requests_are_refused_at_once_while_all_copies_rest(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        resting = servers_of(deployment, "single")
        state(resting, refused_share=1.0, rest_seconds=10.0)
        load = any_host(deployment)
        await deployment.send_load(3.0, CALLER_RATE, FETCHES, load)
        rests_until = loop.time() + 10.0
        deployment.outcomes.clear()
        await deployment.send_load(2.0, CALLER_RATE, FETCHES, load)
        for outcome in deployment.outcomes:
            assert outcome.status == 503
            assert outcome.ended_at - outcome.sent_at < 0.1
            # The rest is longer than a third of the time that the callers have.
            assert 0.5 < float(outcome.headers[b"retry-after"]) < rests_until

    loop.run_until_complete(main())
