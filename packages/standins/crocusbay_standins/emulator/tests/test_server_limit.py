"""A server that states a limit gets no more from all hosts together."""

import asyncio
from dataclasses import replace

import pytest

from crocusbay_standins.emulator.tests.deployment import STABLE_SECONDS, Deployment
from crocusbay_standins.soak.callers import RequestKind

HOSTS = 4
DATA_CENTRES = ("a", "b", "c")
# The platform's bound: requests to a server in any window.
WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE_RATIO = 1.5
LIMIT_TOLERANCE_REQUESTS = 5
CALLER_RATE = 30.0
LOAD_SECONDS = 12.0
GATHERS = [RequestKind.GATHER]
FETCHES = [RequestKind.FETCH]


def state_limit(servers, limit):
    for server in servers:
        server.behaviour = replace(server.behaviour, stated_limit=limit)


def most_in_window(deployment, server, since):
    """Return the most requests that a server got in any window."""
    times = sorted(
        each.received_at
        for each in deployment.received_requests
        if each.server == server.name and each.received_at >= since
    )
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in times[index:])
            for index, start in enumerate(times)
        ),
        default=0,
    )


def served(outcomes):
    return [outcome for outcome in outcomes if outcome.status == 200]


async def do_nothing(deployment):
    await asyncio.sleep(LOAD_SECONDS)


async def restart_hosts_in_turn(deployment):
    for host in deployment.hosts:
        host.kill()
        await asyncio.sleep(0.5)
        host.start()
        await asyncio.sleep(2.5)


async def cut_off_one_host(deployment):
    """Cut a host off from the other hosts while it still reaches the servers."""
    network = asyncio.get_running_loop().network
    isolated, *others = deployment.hosts
    await asyncio.sleep(STABLE_SECONDS)
    for other in others:
        network.partition(isolated.settings.ip, other.settings.ip)
    await asyncio.sleep(6.0)
    network.heal()
    await asyncio.sleep(STABLE_SECONDS)


def any_host(deployment):
    return lambda rng: rng.choice(deployment.hosts)


def mostly_one_host(deployment):
    return lambda rng: deployment.hosts[min(3, int(rng.expovariate(1.0)))]


@pytest.mark.parametrize(
    ("disrupt", "callers", "kinds", "limited_copies", "limit"),
    [
        (do_nothing, any_host, GATHERS, 1, 8.0),
        (do_nothing, any_host, GATHERS, 2, 8.0),
        (do_nothing, any_host, GATHERS, 2, 0.0),
        (do_nothing, any_host, FETCHES, 1, 8.0),
        (do_nothing, any_host, FETCHES, 2, 2.5),
        (do_nothing, mostly_one_host, GATHERS, 2, 8.0),
        (do_nothing, mostly_one_host, FETCHES, 2, 8.0),
        (restart_hosts_in_turn, any_host, GATHERS, 2, 8.0),
        (restart_hosts_in_turn, any_host, FETCHES, 1, 2.5),
        (cut_off_one_host, any_host, GATHERS, 2, 8.0),
        (cut_off_one_host, any_host, FETCHES, 1, 2.5),
    ],
)
def test_requests_of_all_hosts_keep_to_the_limit_of_a_server(
    loop, tmp_path, disrupt, callers, kinds, limited_copies, limit
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        limited = [
            server
            for server in deployment.servers
            if int(server.name.rpartition("/")[2]) < limited_copies
        ]
        state_limit(limited, limit)
        stable_at = loop.time() + STABLE_SECONDS
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                deployment.send_load(
                    LOAD_SECONDS, CALLER_RATE, kinds, callers(deployment)
                )
            )
            tasks.create_task(disrupt(deployment))
        allowed = (
            LIMIT_TOLERANCE_RATIO * limit * WINDOW_SECONDS + LIMIT_TOLERANCE_REQUESTS
        )
        for server in limited:
            assert most_in_window(deployment, server, stable_at) <= allowed

    loop.run_until_complete(main())


@pytest.mark.parametrize("kinds", [GATHERS, FETCHES])
def test_requests_go_to_the_copies_that_state_no_limit(loop, tmp_path, kinds):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        state_limit(deployment.servers[::2], 2.5)
        await deployment.send_load(
            LOAD_SECONDS, CALLER_RATE, kinds, any_host(deployment)
        )
        complete = [
            outcome
            for outcome in served(deployment.outcomes)
            if outcome.headers.get(b"missing-parts", b"0") == b"0"
        ]
        assert len(complete) >= 0.98 * len(deployment.outcomes)

    loop.run_until_complete(main())


@pytest.mark.parametrize("kinds", [GATHERS, FETCHES])
def test_requests_beyond_the_limits_of_all_copies_are_refused_at_once(
    loop, tmp_path, kinds
):
    """Simulate limits that allow half of the load: half of it must be served."""

    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        state_limit(deployment.servers, CALLER_RATE / 4)
        # The limits become known.
        await deployment.send_load(2.0, CALLER_RATE, kinds, any_host(deployment))
        deployment.outcomes.clear()
        await deployment.send_load(
            LOAD_SECONDS, CALLER_RATE, kinds, any_host(deployment)
        )
        outcomes = deployment.outcomes
        assert len(served(outcomes)) >= 0.4 * len(outcomes)
        refused = [outcome for outcome in outcomes if outcome.status != 200]
        assert {outcome.status for outcome in refused} == {503}
        for outcome in refused:
            assert float(outcome.headers[b"retry-after"]) > 0.0
            assert outcome.ended_at - outcome.sent_at < 0.1

    loop.run_until_complete(main())


@pytest.mark.parametrize("is_stated_to_the_end", [True, False])
def test_limit_ends_when_the_server_states_it_no_more(
    loop, tmp_path, is_stated_to_the_end
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS, DATA_CENTRES)
        await deployment.start()
        state_limit(deployment.servers, 0.0)
        load = any_host(deployment)
        await deployment.send_load(LOAD_SECONDS, CALLER_RATE, FETCHES, load)
        if not is_stated_to_the_end:
            state_limit(deployment.servers, None)
            # With no request allowed, only one every some seconds tells of the end.
            await deployment.send_load(LOAD_SECONDS, CALLER_RATE, FETCHES, load)
        deployment.outcomes.clear()
        await deployment.send_load(LOAD_SECONDS, CALLER_RATE, FETCHES, load)
        served_ratio = len(served(deployment.outcomes)) / len(deployment.outcomes)
        if is_stated_to_the_end:
            assert served_ratio < 0.1
        else:
            assert served_ratio > 0.98

    loop.run_until_complete(main())
