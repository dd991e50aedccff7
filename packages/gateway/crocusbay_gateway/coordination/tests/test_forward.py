import asyncio

import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun
from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.forward import ForwardHandler
from crocusbay_gateway.coordination.tests.simulation import (
    HTTP_CONVENTIONS,
    SimulatedGateway,
    make_request,
    make_route,
    run_ready_tasks,
    run_to_completion,
)
from crocusbay_gateway.state import RouteKind, ToService

pytestmark = pytest.mark.anyio

SERVERS = {"s": [("s-1", "a"), ("s-2", "a"), ("s-3", "a")]}
RESET = MayHaveRun(Cause.RESET)
NOT_RUN_HEADERS = ((HTTP_CONVENTIONS.not_run, b"1"),)


def make_handler(gateway, route, deadline=1.0):
    request = make_request(gateway, deadline=deadline)
    give_up_at = gateway.timers.now() + min(deadline, route.timeout)
    latency = RouteLatency(route.latency_goal)
    return ForwardHandler(gateway.context, request, route, "s", latency, give_up_at)


@pytest.mark.parametrize(
    ("kind", "max_attempts", "script", "status", "server_count"),
    [
        # An idempotent request that failed is retried on another server if the route
        # allows two attempts.
        ("idempotent", 2, {"verdict": RESET}, 502, 2),
        ("idempotent", 1, {"verdict": RESET}, 502, 1),
        ("idempotent", 1, {"status": 504}, 504, 1),
        ("idempotent", 1, {"status": 500}, 500, 1),
        ("idempotent", 2, {"status": 500}, 500, 2),
        # A non-idempotent request is repeated only if a server states it did not run.
        ("non-idempotent", 2, {"verdict": RESET}, 502, 1),
        ("non-idempotent", 2, {"status": 500}, 500, 1),
        # A server's 503 or 429 without the not-run header is reported as a 502.
        ("non-idempotent", 2, {"status": 503}, 502, 1),
        ("non-idempotent", 2, {"status": 429}, 502, 1),
    ],
)
async def test_failed_request_runs_on_no_more_servers_than_allowed(
    kind, max_attempts, script, status, server_count
):
    gateway = SimulatedGateway(SERVERS)
    for name in gateway.pool_by_server:
        gateway.set_script(name, **script)
    route = make_route(ToService("s"), kind=RouteKind(kind), max_attempts=max_attempts)
    reply, _ = await run_to_completion(gateway, make_handler(gateway, route))
    assert reply.status == status
    servers_used = [name for name, count in gateway.received_counts().items() if count]
    assert len(servers_used) == server_count


async def test_server_that_ran_a_request_still_counts_after_it_rejects_a_retry():
    gateway = SimulatedGateway(SERVERS)
    for name in gateway.pool_by_server:
        gateway.set_script(name, status=500)
    route = make_route(ToService("s"), max_attempts=1)
    handler = make_handler(gateway, route)
    task = asyncio.ensure_future(handler.run())
    await run_ready_tasks()
    for name in gateway.pool_by_server:
        gateway.set_script(name, verdict=NotRun(Cause.DEADLINE), delay=0.0)
    await gateway.timers.advance(1.0)
    reply = await task
    assert reply.status == 500
    assert sum(1 for count in gateway.received_counts().values() if count) == 1


@pytest.mark.parametrize("kind", list(RouteKind))
async def test_request_rejected_by_a_server_is_retried_on_another(kind):
    gateway = SimulatedGateway(SERVERS)
    first = gateway.registry.choose_server("s").entry.name
    gateway.set_script(first, status=503, headers=NOT_RUN_HEADERS)
    reply, elapsed = await run_to_completion(
        gateway, make_handler(gateway, make_route(ToService("s"), kind=kind))
    )
    assert reply.status == 200
    assert elapsed < 0.1


@pytest.mark.parametrize(
    ("kind", "status"), [(RouteKind.IDEMPOTENT, 200), (RouteKind.NON_IDEMPOTENT, 502)]
)
async def test_success_without_a_signature_is_no_response(kind, status):
    gateway = SimulatedGateway(SERVERS)
    first = gateway.registry.choose_server("s").entry.name
    gateway.set_script(first, is_signed=False, body=b"not of the server")
    reply, _ = await run_to_completion(
        gateway, make_handler(gateway, make_route(ToService("s"), kind=kind))
    )
    assert reply.status == status
    assert reply.body != b"not of the server"


@pytest.mark.parametrize(
    ("verdict", "status"),
    [(NotRun(Cause.CONNECT_FAILED), 503), (RESET, 502)],
)
async def test_only_requests_that_did_not_run_get_a_retry_time(verdict, status):
    gateway = SimulatedGateway(SERVERS)
    for name in gateway.pool_by_server:
        gateway.set_script(name, verdict=verdict, delay=0.0)
    route = make_route(ToService("s"), kind=RouteKind.NON_IDEMPOTENT)
    reply, elapsed = await run_to_completion(gateway, make_handler(gateway, route))
    assert reply.status == status
    assert (reply.retry_after is not None) == (status == 503)
    assert elapsed < 0.5


async def test_request_to_silent_server_is_hedged_within_the_goal():
    gateway = SimulatedGateway(SERVERS)
    first = gateway.registry.choose_server("s").entry.name
    gateway.set_script(first, verdict=None)
    route = make_route(ToService("s"))
    reply, elapsed = await run_to_completion(gateway, make_handler(gateway, route))
    assert reply.status == 200
    assert elapsed < route.latency_goal


async def test_route_timeout_limits_the_request():
    gateway = SimulatedGateway(SERVERS)
    for name in gateway.pool_by_server:
        gateway.set_script(name, verdict=None)
    route = make_route(ToService("s"), timeout=0.4)
    reply, elapsed = await run_to_completion(
        gateway, make_handler(gateway, route, deadline=8.0)
    )
    assert reply.status == 504
    assert elapsed == pytest.approx(0.4, abs=0.01)


@pytest.mark.parametrize("kind", list(RouteKind))
async def test_request_waiting_for_a_connection_is_retried_on_another_server(kind):
    gateway = SimulatedGateway(SERVERS)
    first = gateway.registry.choose_server("s").entry.name
    gateway.set_script(first, verdict="no-connection")
    route = make_route(ToService("s"), kind=kind)
    reply, elapsed = await run_to_completion(gateway, make_handler(gateway, route))
    assert reply.status == 200
    assert elapsed < route.latency_goal


@pytest.mark.parametrize("kind", list(RouteKind))
async def test_interrupted_request_that_waits_for_a_connection_is_not_sent(kind):
    gateway = SimulatedGateway(SERVERS)
    for name in gateway.pool_by_server:
        gateway.set_script(name, verdict="no-connection")
    handler = make_handler(gateway, make_route(ToService("s"), kind=kind))
    task = asyncio.ensure_future(handler.run())
    await run_ready_tasks()
    (exchange,) = [each for p in gateway.pool_by_server.values() for each in p.received]
    assert handler.may_be_interrupted
    handler.interrupt()
    # A connection opens before the task resumes; the pool sends what is not done.
    exchange.is_sent = not exchange.is_done
    assert await task is None
    assert not exchange.is_sent
