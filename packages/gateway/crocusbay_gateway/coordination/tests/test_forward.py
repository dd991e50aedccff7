import asyncio

import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun
from crocusbay_gateway.coordination.attempt import RouteTiming
from crocusbay_gateway.coordination.forward import Forward
from crocusbay_gateway.coordination.tests.replay import (
    DIALECT,
    World,
    finish,
    make_request,
    make_route,
    settle,
)
from crocusbay_gateway.state import RouteKind, ToService

pytestmark = pytest.mark.anyio

SERVERS = {"s": [("s-1", "a"), ("s-2", "a"), ("s-3", "a")]}
RESET = MayHaveRun(Cause.RESET)
REFUSED = ((DIALECT.not_run, b"1"),)


def forward(world, route, deadline=1.0):
    request = make_request(world, deadline=deadline)
    give_up_at = world.timers.now() + min(deadline, route.timeout)
    timing = RouteTiming(route.goal)
    return Forward(world.context, request, route, "s", timing, give_up_at)


@pytest.mark.parametrize(
    ("kind", "max_attempts", "script", "status", "servers_run"),
    [
        # A failure of an idempotent request is tried on another server, if the route
        # allows a second.
        ("idempotent", 2, {"verdict": RESET}, 502, 2),
        ("idempotent", 1, {"verdict": RESET}, 502, 1),
        ("idempotent", 1, {"status": 504}, 504, 1),
        ("idempotent", 1, {"status": 500}, 500, 1),
        ("idempotent", 2, {"status": 500}, 500, 2),
        # Nothing else than a server's word allows to send an order once more.
        ("non-idempotent", 2, {"verdict": RESET}, 502, 1),
        ("non-idempotent", 2, {"status": 500}, 500, 1),
        # A server's own 503 without a promise is not passed on as one.
        ("non-idempotent", 2, {"status": 503}, 502, 1),
        ("non-idempotent", 2, {"status": 429}, 502, 1),
    ],
)
async def test_failure_runs_on_no_more_servers_than_allowed(
    kind, max_attempts, script, status, servers_run
):
    world = World(SERVERS)
    for name in world.pool_by_server:
        world.script(name, **script)
    route = make_route(ToService("s"), kind=RouteKind(kind), max_attempts=max_attempts)
    reply, _ = await finish(world, forward(world, route))
    assert reply.status == status
    run_on = [name for name, count in world.received().items() if count]
    assert len(run_on) == servers_run


async def test_server_that_ran_a_request_still_counts_after_it_refused_a_repeat():
    world = World(SERVERS)
    for name in world.pool_by_server:
        world.script(name, status=500)
    route = make_route(ToService("s"), max_attempts=1)
    job = forward(world, route)
    task = asyncio.ensure_future(job.run())
    await settle()
    for name in world.pool_by_server:
        world.script(name, verdict=NotRun(Cause.DEADLINE), seconds=0.0)
    await world.timers.advance(1.0)
    reply = await task
    assert reply.status == 500
    assert sum(1 for count in world.received().values() if count) == 1


@pytest.mark.parametrize("kind", list(RouteKind))
async def test_refusal_of_a_server_is_tried_elsewhere(kind):
    world = World(SERVERS)
    first = world.registry.choose("s").entry.name
    world.script(first, status=503, headers=REFUSED)
    reply, elapsed = await finish(
        world, forward(world, make_route(ToService("s"), kind=kind))
    )
    assert reply.status == 200
    assert elapsed < 0.1


@pytest.mark.parametrize(
    ("verdict", "status"),
    [(NotRun(Cause.CONNECT_FAILED), 503), (RESET, 502)],
)
async def test_only_a_request_that_did_not_run_is_refused(verdict, status):
    world = World(SERVERS)
    for name in world.pool_by_server:
        world.script(name, verdict=verdict, seconds=0.0)
    route = make_route(ToService("s"), kind=RouteKind.NON_IDEMPOTENT)
    reply, elapsed = await finish(world, forward(world, route))
    assert reply.status == status
    assert (reply.retry_after is not None) == (status == 503)
    assert elapsed < 0.5


async def test_silent_server_is_hedged_and_timeout_is_kept():
    world = World(SERVERS)
    first = world.registry.choose("s").entry.name
    world.script(first, verdict=None)
    route = make_route(ToService("s"))
    reply, elapsed = await finish(world, forward(world, route))
    assert reply.status == 200
    assert elapsed < route.goal


async def test_timeout_of_the_route_ends_the_wait():
    world = World(SERVERS)
    for name in world.pool_by_server:
        world.script(name, verdict=None)
    route = make_route(ToService("s"), timeout=0.4)
    reply, elapsed = await finish(world, forward(world, route, deadline=8.0))
    assert reply.status == 504
    assert elapsed == pytest.approx(0.4, abs=0.01)


@pytest.mark.parametrize("kind", list(RouteKind))
async def test_request_that_waits_for_a_connection_moves_on(kind):
    world = World(SERVERS)
    first = world.registry.choose("s").entry.name
    world.script(first, verdict="no-connection")
    route = make_route(ToService("s"), kind=kind)
    reply, elapsed = await finish(world, forward(world, route))
    assert reply.status == 200
    assert elapsed < route.goal
