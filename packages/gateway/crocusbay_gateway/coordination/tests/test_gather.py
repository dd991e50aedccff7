import asyncio

import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun
from crocusbay_gateway.coordination.attempt import RouteTiming
from crocusbay_gateway.coordination.gather import Gather
from crocusbay_gateway.coordination.partial import PartialPolicy, least_parts
from crocusbay_gateway.coordination.quarantine import fingerprint
from crocusbay_gateway.coordination.tests.replay import (
    DIALECT,
    World,
    finish,
    make_request,
    make_route,
)
from crocusbay_gateway.state import Bounds, ToShards

pytestmark = pytest.mark.anyio

SHARDS = tuple(f"s{number}" for number in range(10))
GOAL = 0.15
RESET = MayHaveRun(Cause.RESET)


def make_world(**settings):
    return World(
        {shard: [(f"{shard}-a", "a"), (f"{shard}-b", "b")] for shard in SHARDS},
        **settings,
    )


def make_gather(world, timing=None, least=0.8, deadline=1.0, attempt="a1"):
    route = make_route(ToShards(SHARDS, 3, least), goal=GOAL)
    request = make_request(world, attempt, deadline)
    now = world.timers.now()
    policy = PartialPolicy(
        answer_by=now + GOAL - 0.02,
        give_up_at=now + deadline,
        shards=len(SHARDS),
        least_parts=least_parts(route.target),
    )
    timing = timing or RouteTiming(GOAL)
    return Gather(world.context, request, route, timing, policy)


def part_signatures(reply):
    headers = dict(reply.headers)
    return headers[DIALECT.part_signatures].split(b", ")


async def test_answer_holds_the_greatest_records_of_all_shards():
    world = make_world()
    for index, shard in enumerate(SHARDS):
        world.script(f"{shard}-a", body=bytes([65 + index]) * 16 + b"!" * 16 + b"cut")
    reply, elapsed = await finish(world, make_gather(world))
    assert reply.status == 200
    assert reply.body == b"J" * 16 + b"I" * 16 + b"H" * 16
    assert len(set(part_signatures(reply))) == len(SHARDS)
    assert dict(reply.headers)[DIALECT.missing_parts] == b"0"
    assert elapsed < 0.03


@pytest.mark.parametrize(
    ("failure", "missing"),
    [
        # One server of a shard fails and the other one answers.
        ({"verdict": RESET}, 0),
        ({"verdict": MayHaveRun(Cause.CROSSED)}, 0),
        ({"verdict": NotRun(Cause.CONNECT_FAILED), "seconds": 0.0}, 0),
        ({"status": 500}, 0),
        ({"status": 503, "headers": ((DIALECT.not_run, b"1"),)}, 0),
        ({"verdict": None}, 0),
        ({"verdict": "no-connection"}, 0),
        ({"seconds": 0.4}, 0),
    ],
)
async def test_part_of_a_failing_server_is_served_by_another(failure, missing):
    world = make_world()
    world.script("s3-a", **failure)
    reply, elapsed = await finish(world, make_gather(world))
    assert reply.status == 200
    assert len(part_signatures(reply)) == len(SHARDS) - missing
    assert elapsed < GOAL


@pytest.mark.parametrize(
    ("lost_shards", "status", "longest"),
    [(1, 200, GOAL), (2, 200, GOAL), (3, 503, 0.5)],
)
async def test_shards_without_servers_are_missing_without_delay(
    lost_shards, status, longest
):
    world = make_world()
    for shard in SHARDS[:lost_shards]:
        for place in "ab":
            world.script(
                f"{shard}-{place}", verdict=NotRun(Cause.CONNECT_FAILED), seconds=0.0
            )
    reply, elapsed = await finish(world, make_gather(world))
    assert elapsed < longest
    if status == 200:
        assert reply.status == 200
        assert len(part_signatures(reply)) == len(SHARDS) - lost_shards
    else:
        assert reply.status in (502, 503, 504)


async def test_silent_server_is_avoided_after_a_few_hedges():
    """Simulate a server that stops answering under steady load."""
    world = make_world()
    timing = RouteTiming(GOAL)
    world.script("s3-a", verdict=None)
    for number in range(60):
        reply, elapsed = await finish(
            world, make_gather(world, timing, attempt=f"a{number}")
        )
        assert reply.status == 200
        assert len(part_signatures(reply)) == len(SHARDS)
        assert elapsed < GOAL
        await world.timers.advance(0.05)
    assert world.received()["s3-a"] <= 60 / 10


async def test_request_that_crashes_its_servers_is_quarantined():
    """Simulate a caller that repeats a request that crashes servers."""
    world = make_world()
    for name in world.pool_by_server:
        world.script(name, verdict=RESET)
    reply, _ = await finish(world, make_gather(world))
    assert reply.status == 502
    assert sum(world.received().values()) == len(SHARDS)
    request = make_request(world)
    assert world.context.quarantine.holds(fingerprint(request), world.timers.now())


async def test_hedges_stay_within_the_budget_when_every_server_is_slow():
    world = make_world()
    for name in world.pool_by_server:
        world.script(name, seconds=0.12)
    timing = RouteTiming(GOAL)
    budget = world.registry.budget("s0")
    world.registry.set_bounds(Bounds(extra_burst=10.0, extra_ratio=0.2))
    assert budget.bounds.extra_burst == 10.0
    for number in range(40):
        await finish(world, make_gather(world, timing, attempt=f"a{number}"))
    sends = world.received()["s0-a"] + world.received()["s0-b"]
    assert sends <= 40 + 0.2 * 40 + 10


async def test_unsent_part_is_retried_without_using_the_extra_budget():
    """Simulate shards with unreachable first servers and an empty extra budget."""
    world = make_world(bounds=Bounds(extra_burst=0.0, extra_ratio=0.0))
    for shard in SHARDS[:4]:
        world.script(f"{shard}-a", verdict="no-connection")
    reply, elapsed = await finish(world, make_gather(world, least=1.0))
    assert reply.status == 200
    assert len(part_signatures(reply)) == len(SHARDS)
    assert elapsed < GOAL


async def test_late_part_is_hedged_once_a_server_becomes_available():
    world = make_world()
    world.script("s3-a", verdict=None)
    second = world.registry.by_service["s3"][1]
    entry = second.entry
    world.registry.take([entry.__class__(entry.name, 2, is_gone=True)])
    job = make_gather(world, least=1.0)
    task = asyncio.ensure_future(job.run())
    await world.timers.advance(0.06)
    world.registry.take([entry])
    world.registry.by_service["s3"][1].pool = world.pool_by_server["s3-b"]
    await world.timers.advance(0.06)
    assert task.done()
    assert len(part_signatures(task.result())) == len(SHARDS)


async def test_address_reused_by_another_service_gets_few_requests():
    """Simulate a shard without servers, one address reused by another service."""
    world = make_world()
    world.script("s3-a", verdict=NotRun(Cause.CONNECT_FAILED), seconds=0.0)
    world.script("s3-b", status=DIALECT.wrong_server_status, seconds=0.001)
    for number in range(40):
        reply, _ = await finish(world, make_gather(world, attempt=f"a{number}"))
        assert reply.status == 200
        await world.timers.advance(0.05)
    assert world.received()["s3-b"] <= 2
