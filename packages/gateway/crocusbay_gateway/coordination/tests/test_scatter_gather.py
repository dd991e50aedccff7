import asyncio

import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun
from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.partial_answer import PartialAnswerPolicy, min_parts
from crocusbay_gateway.coordination.quarantine import fingerprint
from crocusbay_gateway.coordination.scatter_gather import ScatterGatherHandler
from crocusbay_gateway.coordination.tests.simulation import (
    HTTP_CONVENTIONS,
    SimulatedGateway,
    make_request,
    make_route,
    run_to_completion,
)
from crocusbay_gateway.state import Bounds, ToShards

pytestmark = pytest.mark.anyio

SHARDS = tuple(f"s{number}" for number in range(10))
GOAL = 0.15
RESET = MayHaveRun(Cause.RESET)


def make_world(**settings):
    return SimulatedGateway(
        {shard: [(f"{shard}-a", "a"), (f"{shard}-b", "b")] for shard in SHARDS},
        **settings,
    )


def make_gather(world, timing=None, least=0.8, deadline=1.0, attempt="a1"):
    route = make_route(ToShards(SHARDS, 3, least), goal=GOAL)
    request = make_request(world, attempt, deadline)
    now = world.timers.now()
    policy = PartialAnswerPolicy(
        partial_answer_at=now + GOAL - 0.02,
        give_up_at=now + deadline,
        shards=len(SHARDS),
        min_parts=min_parts(route.target),
    )
    timing = timing or RouteLatency(GOAL)
    return ScatterGatherHandler(world.context, request, route, timing, policy)


def part_signatures(reply):
    headers = dict(reply.headers)
    return headers[HTTP_CONVENTIONS.shard_signatures].split(b", ")


async def test_answer_holds_the_greatest_records_of_all_shards():
    world = make_world()
    for index, shard in enumerate(SHARDS):
        world.set_script(
            f"{shard}-a", body=bytes([65 + index]) * 16 + b"!" * 16 + b"cut"
        )
    reply, elapsed = await run_to_completion(world, make_gather(world))
    assert reply.status == 200
    assert reply.body == b"J" * 16 + b"I" * 16 + b"H" * 16
    assert len(set(part_signatures(reply))) == len(SHARDS)
    assert dict(reply.headers)[HTTP_CONVENTIONS.missing_shards] == b"0"
    assert elapsed < 0.03


@pytest.mark.parametrize(
    ("failure", "missing"),
    [
        # One server of a shard fails and the other one answers.
        ({"verdict": RESET}, 0),
        ({"verdict": MayHaveRun(Cause.RESPONSE_MISMATCH)}, 0),
        ({"verdict": NotRun(Cause.CONNECT_FAILED), "seconds": 0.0}, 0),
        ({"status": 500}, 0),
        ({"status": 503, "headers": ((HTTP_CONVENTIONS.not_run, b"1"),)}, 0),
        ({"verdict": None}, 0),
        ({"verdict": "no-connection"}, 0),
        ({"seconds": 0.4}, 0),
    ],
)
async def test_part_of_a_failing_server_is_served_by_another(failure, missing):
    world = make_world()
    world.set_script("s3-a", **failure)
    reply, elapsed = await run_to_completion(world, make_gather(world))
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
            world.set_script(
                f"{shard}-{place}", verdict=NotRun(Cause.CONNECT_FAILED), seconds=0.0
            )
    reply, elapsed = await run_to_completion(world, make_gather(world))
    assert elapsed < longest
    if status == 200:
        assert reply.status == 200
        assert len(part_signatures(reply)) == len(SHARDS) - lost_shards
    else:
        assert reply.status in (502, 503, 504)


async def test_silent_server_is_avoided_after_a_few_hedges():
    """Simulate a server that stops answering under steady load."""
    world = make_world()
    timing = RouteLatency(GOAL)
    world.set_script("s3-a", verdict=None)
    for number in range(60):
        reply, elapsed = await run_to_completion(
            world, make_gather(world, timing, attempt=f"a{number}")
        )
        assert reply.status == 200
        assert len(part_signatures(reply)) == len(SHARDS)
        assert elapsed < GOAL
        await world.timers.advance(0.05)
    assert world.received_counts()["s3-a"] <= 60 / 10


async def test_request_that_crashes_its_servers_is_quarantined():
    """Simulate a caller that repeats a request that crashes servers."""
    world = make_world()
    for name in world.pool_by_server:
        world.set_script(name, verdict=RESET)
    reply, _ = await run_to_completion(world, make_gather(world))
    assert reply.status == 502
    assert sum(world.received_counts().values()) == len(SHARDS)
    request = make_request(world)
    assert world.context.quarantine.is_quarantined(
        fingerprint(request), world.timers.now()
    )


async def test_hedges_stay_within_the_budget_when_every_server_is_slow():
    world = make_world()
    for name in world.pool_by_server:
        world.set_script(name, seconds=0.12)
    timing = RouteLatency(GOAL)
    budget = world.registry.budget("s0")
    world.registry.set_bounds(Bounds(retry_budget_burst=10.0, retry_budget_ratio=0.2))
    assert budget.bounds.retry_budget_burst == 10.0
    for number in range(40):
        await run_to_completion(world, make_gather(world, timing, attempt=f"a{number}"))
    sends = world.received_counts()["s0-a"] + world.received_counts()["s0-b"]
    assert sends <= 40 + 0.2 * 40 + 10


async def test_unsent_part_is_retried_without_using_the_extra_budget():
    """Simulate shards with unreachable first servers and an empty extra budget."""
    world = make_world(bounds=Bounds(retry_budget_burst=0.0, retry_budget_ratio=0.0))
    for shard in SHARDS[:4]:
        world.set_script(f"{shard}-a", verdict="no-connection")
    reply, elapsed = await run_to_completion(world, make_gather(world, least=1.0))
    assert reply.status == 200
    assert len(part_signatures(reply)) == len(SHARDS)
    assert elapsed < GOAL


async def test_late_part_is_hedged_once_a_server_becomes_available():
    world = make_world()
    world.set_script("s3-a", verdict=None)
    second = world.registry.by_service["s3"][1]
    entry = second.entry
    world.registry.apply_entries([entry.__class__(entry.name, 2, is_removed=True)])
    job = make_gather(world, least=1.0)
    task = asyncio.ensure_future(job.run())
    await world.timers.advance(0.06)
    world.registry.apply_entries([entry])
    world.registry.by_service["s3"][1].pool = world.pool_by_server["s3-b"]
    await world.timers.advance(0.06)
    assert task.done()
    assert len(part_signatures(task.result())) == len(SHARDS)


async def test_address_reused_by_another_service_gets_few_requests():
    """Simulate a shard without servers, one address reused by another service."""
    world = make_world()
    world.set_script("s3-a", verdict=NotRun(Cause.CONNECT_FAILED), seconds=0.0)
    world.set_script("s3-b", status=HTTP_CONVENTIONS.wrong_server_status, seconds=0.001)
    for number in range(40):
        reply, _ = await run_to_completion(
            world, make_gather(world, attempt=f"a{number}")
        )
        assert reply.status == 200
        await world.timers.advance(0.05)
    assert world.received_counts()["s3-b"] <= 2
