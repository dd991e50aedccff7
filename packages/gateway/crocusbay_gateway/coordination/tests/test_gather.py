import asyncio

import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun
from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.gather import ScatterGatherHandler
from crocusbay_gateway.coordination.partial import PartialAnswerPolicy, min_parts
from crocusbay_gateway.coordination.quarantine import request_fingerprint
from crocusbay_gateway.coordination.tests.simulation import (
    HTTP_CONVENTIONS,
    SimulatedGateway,
    make_request,
    make_route,
    run_to_completion,
)
from crocusbay_gateway.state import Bounds, ToShards
from crocusbay_gateway.transport import Listening

pytestmark = pytest.mark.anyio

SHARDS = tuple(f"s{number}" for number in range(10))
GOAL = 0.15
RESET = MayHaveRun(Cause.RESET)


def make_gateway(**settings):
    return SimulatedGateway(
        {shard: [(f"{shard}-a", "a"), (f"{shard}-b", "b")] for shard in SHARDS},
        **settings,
    )


def make_handler(
    gateway, latency=None, min_shard_share=0.8, deadline=1.0, attempt_id="a1"
):
    route = make_route(ToShards(SHARDS, 3, min_shard_share), latency_goal=GOAL)
    request = make_request(gateway, attempt_id, deadline)
    now = gateway.timers.now()
    policy = PartialAnswerPolicy(
        partial_answer_at=now + GOAL - 0.02,
        give_up_at=now + deadline,
        shard_count=len(SHARDS),
        min_parts=min_parts(route.target),
    )
    latency = latency or RouteLatency(GOAL)
    return ScatterGatherHandler(gateway.context, request, route, latency, policy)


def part_signatures(reply):
    headers = dict(reply.headers)
    return headers[HTTP_CONVENTIONS.shard_signatures].split(b", ")


async def test_reply_contains_the_greatest_records_of_all_shards():
    gateway = make_gateway()
    for index, shard in enumerate(SHARDS):
        gateway.set_script(
            f"{shard}-a", body=bytes([65 + index]) * 16 + b"!" * 16 + b"cut"
        )
    reply, elapsed = await run_to_completion(gateway, make_handler(gateway))
    assert reply.status == 200
    assert reply.body == b"J" * 16 + b"I" * 16 + b"H" * 16
    assert len(set(part_signatures(reply))) == len(SHARDS)
    assert dict(reply.headers)[HTTP_CONVENTIONS.missing_shards] == b"0"
    assert elapsed < 0.03


@pytest.mark.parametrize(
    ("failure", "missing"),
    [
        # One server of a shard fails and the other one responds.
        ({"verdict": RESET}, 0),
        ({"verdict": MayHaveRun(Cause.RESPONSE_MISMATCH)}, 0),
        ({"verdict": NotRun(Cause.CONNECT_FAILED), "delay": 0.0}, 0),
        ({"status": 500}, 0),
        ({"status": 503, "headers": ((HTTP_CONVENTIONS.not_run, b"1"),)}, 0),
        ({"verdict": None}, 0),
        ({"verdict": "no-connection"}, 0),
        ({"delay": 0.4}, 0),
    ],
)
async def test_sub_request_to_a_failing_server_is_served_by_another(failure, missing):
    gateway = make_gateway()
    gateway.set_script("s3-a", **failure)
    reply, elapsed = await run_to_completion(gateway, make_handler(gateway))
    assert reply.status == 200
    assert len(part_signatures(reply)) == len(SHARDS) - missing
    assert elapsed < GOAL


@pytest.mark.parametrize(
    ("lost_shards", "status", "max_elapsed"),
    [(1, 200, GOAL), (2, 200, GOAL), (3, 503, 0.5)],
)
async def test_shards_without_servers_are_missing_without_delay(
    lost_shards, status, max_elapsed
):
    gateway = make_gateway()
    for shard in SHARDS[:lost_shards]:
        for data_centre in "ab":
            gateway.set_script(
                f"{shard}-{data_centre}",
                verdict=NotRun(Cause.CONNECT_FAILED),
                delay=0.0,
            )
    reply, elapsed = await run_to_completion(gateway, make_handler(gateway))
    assert elapsed < max_elapsed
    if status == 200:
        assert reply.status == 200
        assert len(part_signatures(reply)) == len(SHARDS) - lost_shards
    else:
        assert reply.status in (502, 503, 504)


async def test_silent_server_is_avoided_after_a_few_hedges():
    """Simulate a server that stops responding under steady load."""
    gateway = make_gateway()
    latency = RouteLatency(GOAL)
    gateway.set_script("s3-a", verdict=None)
    for number in range(60):
        reply, elapsed = await run_to_completion(
            gateway, make_handler(gateway, latency, attempt_id=f"a{number}")
        )
        assert reply.status == 200
        assert len(part_signatures(reply)) == len(SHARDS)
        assert elapsed < GOAL
        await gateway.timers.advance(0.05)
    assert gateway.received_counts()["s3-a"] <= 60 / 10


async def test_request_that_crashes_its_servers_is_quarantined():
    """Simulate a caller that repeats a request that crashes servers."""
    gateway = make_gateway()
    for name in gateway.pool_by_server:
        gateway.set_script(name, verdict=RESET, listening=Listening.REFUSED)
    reply, _ = await run_to_completion(gateway, make_handler(gateway))
    assert reply.status == 502
    assert sum(gateway.received_counts().values()) == len(SHARDS)
    request = make_request(gateway)
    assert gateway.context.crash_monitor.quarantine.is_quarantined(
        request_fingerprint(request), gateway.timers.now()
    )


async def test_hedges_stay_within_the_budget_when_every_server_is_slow():
    gateway = make_gateway()
    for name in gateway.pool_by_server:
        gateway.set_script(name, delay=0.12)
    latency = RouteLatency(GOAL)
    budget = gateway.registry.retry_budget("s0")
    gateway.registry.set_bounds(Bounds(retry_budget_burst=10.0, retry_budget_ratio=0.2))
    assert budget.bounds.retry_budget_burst == 10.0
    for number in range(40):
        await run_to_completion(
            gateway, make_handler(gateway, latency, attempt_id=f"a{number}")
        )
    request_count = (
        gateway.received_counts()["s0-a"] + gateway.received_counts()["s0-b"]
    )
    assert request_count <= 40 + 0.2 * 40 + 10


async def test_unsent_request_is_retried_without_using_the_retry_budget():
    """Simulate shards with unreachable first servers and an empty retry budget."""
    gateway = make_gateway(
        bounds=Bounds(retry_budget_burst=0.0, retry_budget_ratio=0.0)
    )
    for shard in SHARDS[:4]:
        gateway.set_script(f"{shard}-a", verdict="no-connection")
    reply, elapsed = await run_to_completion(
        gateway, make_handler(gateway, min_shard_share=1.0)
    )
    assert reply.status == 200
    assert len(part_signatures(reply)) == len(SHARDS)
    assert elapsed < GOAL


async def test_late_sub_request_is_hedged_once_a_server_becomes_available():
    gateway = make_gateway()
    gateway.set_script("s3-a", verdict=None)
    second = gateway.registry.by_service["s3"][1]
    entry = second.entry
    gateway.registry.apply_entries([entry.__class__(entry.name, 2, is_removed=True)])
    handler = make_handler(gateway, min_shard_share=1.0)
    task = asyncio.ensure_future(handler.run())
    await gateway.timers.advance(0.06)
    gateway.registry.apply_entries([entry])
    gateway.registry.by_service["s3"][1].pool = gateway.pool_by_server["s3-b"]
    await gateway.timers.advance(0.06)
    assert task.done()
    assert len(part_signatures(task.result())) == len(SHARDS)


async def test_address_reused_by_another_service_gets_few_requests():
    """Simulate a shard without servers, one address reused by another service."""
    gateway = make_gateway()
    gateway.set_script("s3-a", verdict=NotRun(Cause.CONNECT_FAILED), delay=0.0)
    gateway.set_script("s3-b", status=HTTP_CONVENTIONS.wrong_server_status, delay=0.001)
    for number in range(40):
        reply, _ = await run_to_completion(
            gateway, make_handler(gateway, attempt_id=f"a{number}")
        )
        assert reply.status == 200
        await gateway.timers.advance(0.05)
    assert gateway.received_counts()["s3-b"] <= 2
