import os

import msgspec
import pytest

from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.forward import ForwardHandler
from crocusbay_gateway.coordination.tests.simulation import (
    SimulatedGateway,
    make_request,
    make_route,
    run_to_completion,
)
from crocusbay_gateway.state import ToService

pytestmark = pytest.mark.anyio


async def forward(gateway):
    """Return the reply to a request that goes to service s."""
    route = make_route(ToService("s"))
    request = make_request(gateway)
    latency = RouteLatency(route.latency_goal)
    handler = ForwardHandler(
        gateway.context, request, route, "s", latency, request.deadline
    )
    reply, _ = await run_to_completion(gateway, handler)
    return reply


def logged_events(gateway, event):
    gateway.context.log.info("end")
    lines = os.read(gateway.log_pipe, 1 << 20).splitlines()
    decoded = [msgspec.json.decode(line) for line in lines]
    return [line for line in decoded if line["event"] == event]


@pytest.mark.parametrize(
    ("stated", "logged"),
    [
        ([b""], []),
        ([b"12.5", b"12.5"], [12.5]),
        ([b"12.5", b"0", b""], [12.5, 0.0, None]),
        # A limit that can't be read changes nothing.
        ([b"8", b"-1", b"nan", b"many", b"inf"], [8.0]),
    ],
)
async def test_each_change_of_a_stated_limit_is_logged(stated, logged):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    for value in stated:
        gateway.set_script("s-1", stated_limit=value)
        reply = await forward(gateway)
        assert reply.status == 200
        await gateway.timers.advance(1.0)
    events = logged_events(gateway, "server-limit")
    assert [event["limit"] for event in events] == logged
    assert {event["server"] for event in events} <= {"s-1"}
