"""Each request read by a host that stops as planned gets a complete answer."""

import asyncio

import pytest

from crocusbay.state import Cause
from crocusbay_gateway.protocol import RelayQuery
from crocusbay_standins.emulator.tests.deployment import STABLE_SECONDS, Deployment
from crocusbay_standins.emulator.tests.stop import (
    GRACE_SECONDS,
    MAY_HAVE_RUN,
    STOP_BOUNDS,
    STOP_CONFIGURATION,
    TIMEOUT_SECONDS,
    SteadyRandom,
    StopCaller,
    replace_routes,
    stop_as_planned,
    wrong_ends,
)
from crocusbay_standins.soak import servers as servers_module
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.deployment import PATHS
from crocusbay_standins.soak.servers import SERVERS_IP

SERVING_KINDS = [RequestKind.GATHER, RequestKind.FETCH, RequestKind.ORDER]
# Of the servers: quick, longer than the last sixth of the grace, longer than is left
# when the host stops to listen, and nearly the whole grace.
WORK_SECONDS = [0.02, 1.2, 3.0, 5.0]
BEFORE_STOP_SECONDS = 6.0
SEND_INTERVAL_SECONDS = 0.25
# Around the time at which the host stops to listen.
CLOSING_SECONDS = 0.7 * GRACE_SECONDS
CLOSE_TIMES = [CLOSING_SECONDS + step * 0.005 for step in range(-8, 20)]
# What ends by then is answered with its result.
LAST_SECONDS = GRACE_SECONDS - 0.6


async def on_kept(caller, kind, after, stream):
    await caller.send(stream, kind)


async def on_new(caller, kind, after, stream):
    stream[1].close()
    stream = await caller.connect()
    if stream is not None:
        await caller.send(stream, kind)


async def pipelined(caller, kind, after, stream):
    await caller.send(stream, kind, count=3)


async def in_two_parts(caller, kind, after, stream):
    await caller.send(stream, kind, body_delay=0.1)


def set_work(deployment, seconds):
    for server in deployment.servers:
        server.rng = SteadyRandom(1)
        server.behaviour.mean_processing_seconds = seconds


async def start(tmp_path, monkeypatch, work, **options):
    monkeypatch.setattr(servers_module, "CONCURRENCY_LIMIT", 200)
    options = {"configuration": STOP_CONFIGURATION, **options}
    deployment = Deployment(tmp_path, bounds=STOP_BOUNDS, **options)
    await deployment.start()
    set_work(deployment, work)
    return deployment, StopCaller(deployment.hosts[0])


async def stop_under_requests(
    caller, kind, send, times, known_for=0.0, stopping_host=None
):
    """Stop a host; send a request at each time after the signal (seconds)."""
    streams = [await caller.connect() for _ in times]
    now = asyncio.get_running_loop().time
    stop_at = caller.stopped_at = now() + known_for

    async def send_at(after, stream):
        await asyncio.sleep(stop_at + after - now())
        await send(caller, kind, after, stream)

    async with asyncio.TaskGroup() as tasks:
        for after, stream in zip(times, streams, strict=True):
            tasks.create_task(send_at(after, stream))
        await asyncio.sleep(known_for)
        await stop_as_planned(stopping_host or caller.host)


def times_between(start, end, interval=SEND_INTERVAL_SECONDS):
    return [start + interval * step for step in range(int((end - start) / interval))]


@pytest.mark.parametrize("kind", SERVING_KINDS)
@pytest.mark.parametrize("work", WORK_SECONDS)
@pytest.mark.parametrize("send", [on_kept, on_new, pipelined, in_two_parts])
@pytest.mark.parametrize("times", [times_between(0.1, 6.2), CLOSE_TIMES])
def test_requests_during_a_planned_stop_are_answered(
    loop, tmp_path, monkeypatch, kind, work, send, times
):
    """Stop a host that has not served the route before."""

    async def main():
        deployment, caller = await start(tmp_path, monkeypatch, work)
        await stop_under_requests(caller, kind, send, times)
        await asyncio.sleep(2.0)
        assert wrong_ends(caller.sent, deployment.received_requests) == []
        assert caller.sent

    loop.run_until_complete(main())


@pytest.mark.parametrize("kind", SERVING_KINDS)
@pytest.mark.parametrize("work", WORK_SECONDS)
@pytest.mark.parametrize("send", [on_kept, on_new])
def test_servers_get_what_fits_into_the_grace(
    loop, tmp_path, monkeypatch, kind, work, send
):
    """Stop a host that knows how long servers work on the route."""

    async def main():
        deployment, caller = await start(tmp_path, monkeypatch, work)
        times = times_between(-BEFORE_STOP_SECONDS, GRACE_SECONDS + 0.2)
        await stop_under_requests(caller, kind, send, times, BEFORE_STOP_SECONDS)
        await asyncio.sleep(2.0)
        assert wrong_ends(caller.sent, deployment.received_requests) == []
        is_order = kind is RequestKind.ORDER
        # An order is refused in doubt, unless it was sent before the stop.
        needed = 2 * work if is_order else work
        fitting = [
            each
            for each in caller.sent
            if each.after + (needed if each.after > -0.05 else work) < LAST_SECONDS
            and each.after < CLOSING_SECONDS - 0.1
        ]
        assert {each.status for each in fitting} == {200}
        if is_order:
            assert not [
                each
                for each in caller.sent
                if each.status in MAY_HAVE_RUN and each.after > 0.0
            ]

    loop.run_until_complete(main())


@pytest.mark.parametrize("kind", SERVING_KINDS)
def test_requests_sent_early_get_the_whole_grace(loop, tmp_path, monkeypatch, kind):
    async def main():
        deployment, caller = await start(tmp_path, monkeypatch, LAST_SECONDS - 0.1)
        await stop_under_requests(caller, kind, on_kept, [0.01, 0.09])
        assert [each.status for each in caller.sent] == [200, 200]

    loop.run_until_complete(main())


@pytest.mark.parametrize("kind", SERVING_KINDS)
@pytest.mark.parametrize("work", WORK_SECONDS)
@pytest.mark.parametrize("stopping", [0, 1])
def test_requests_handed_over_are_answered(
    loop, tmp_path, monkeypatch, kind, work, stopping
):
    """Stop a host that reaches no server, or the one that serves its requests."""

    async def main():
        deployment, caller = await start(tmp_path, monkeypatch, work, hosts=2)
        loop.network.partition(caller.host.settings.ip, SERVERS_IP)
        await asyncio.sleep(STABLE_SECONDS)
        times = times_between(-1.0, GRACE_SECONDS + 0.2)
        host = deployment.hosts[stopping]
        await stop_under_requests(caller, kind, on_new, times, 1.0, host)
        await asyncio.sleep(2.0)
        assert wrong_ends(caller.sent, deployment.received_requests) == []
        assert caller.sent

    loop.run_until_complete(main())


def test_parts_gathered_for_another_host_are_not_cut(loop, tmp_path, monkeypatch):
    """Stop a relay while parts are under way that may not be requested again."""

    async def main():
        configuration = replace_routes(
            STOP_CONFIGURATION, max_attempts=1, latency_goal=TIMEOUT_SECONDS
        )
        deployment, _ = await start(
            tmp_path,
            monkeypatch,
            0.02,
            data_centres=("a", "b", "c"),
            configuration=configuration,
        )
        relay, _, gathering = deployment.hosts
        caller = StopCaller(gathering)
        for _ in range(3):
            await caller.send(await caller.connect(), RequestKind.GATHER)
        set_work(deployment, 4.9)
        caller.sent.clear()
        await stop_under_requests(
            caller, RequestKind.GATHER, on_kept, [-0.2], 1.0, relay
        )
        (sent,) = caller.sent
        assert sent.status == 200
        assert sent.headers[b"missing-parts"] == b"0"
        assert sum(relay.gateway.metrics.attempts.by_labels.values()) > 0

    loop.run_until_complete(main())


@pytest.mark.parametrize(("after", "is_accepted"), [(0.1, True), (5.4, False)])
def test_relay_refuses_what_would_not_end_before_its_stop(
    loop, tmp_path, monkeypatch, after, is_accepted
):
    """Simulate a host that has not heard that the relay leaves."""

    async def main():
        deployment, _ = await start(tmp_path, monkeypatch, 0.02)
        gateway = deployment.hosts[0].gateway
        gateway.start_leaving()
        await asyncio.sleep(after)
        target = f"{PATHS[RequestKind.GATHER]}x"
        query = RelayQuery(
            1, "a1", "GET", target, "soak.example", (), b"", 2.0, 0.1, 20, ()
        )
        admitted = gateway.request_service.admit_relay(query)
        assert (admitted != Cause.NO_CONNECTION) is is_accepted

    loop.run_until_complete(main())
