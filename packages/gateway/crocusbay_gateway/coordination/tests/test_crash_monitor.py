import asyncio

import msgspec
import pytest

from crocusbay.state import Cause, MayHaveRun
from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.forward import ForwardHandler
from crocusbay_gateway.coordination.registry import END_DETECTION_SECONDS
from crocusbay_gateway.coordination.tests.simulation import (
    SimulatedGateway,
    make_request,
    make_route,
    run_to_completion,
)
from crocusbay_gateway.state import Bounds, ServerEntry, ToService
from crocusbay_gateway.transport import Listening

pytestmark = pytest.mark.anyio

RESET = MayHaveRun(Cause.RESET)


def remove(entry):
    return ServerEntry(entry.name, 2, is_removed=True)


def restart(entry):
    return msgspec.structs.replace(entry, revision=2, started_at=entry.started_at + 1)


def drain(entry):
    return msgspec.structs.replace(entry, revision=2, is_draining=True)


def has_crash(gateway, request):
    """Return whether a crash counts against the request."""
    monitor = gateway.context.crash_monitor
    return bool(monitor.quarantine.crashes(monitor.track(request).fingerprint))


def make_handler(gateway, request, max_attempts):
    """Return the handler of a request that goes to service s."""
    route = make_route(ToService("s"), max_attempts=max_attempts)
    latency = RouteLatency(route.latency_goal)
    return ForwardHandler(
        gateway.context, request, route, "s", latency, request.deadline
    )


async def forward(gateway, request, max_attempts):
    """Return the reply to a request that goes to service s."""
    handler = make_handler(gateway, request, max_attempts)
    reply, _ = await run_to_completion(gateway, handler)
    return reply


@pytest.mark.parametrize(
    ("script", "pause", "changes", "is_crash"),
    [
        # A reset is a crash if nothing listens any more.
        ({"verdict": RESET, "listening": Listening.REFUSED}, 0.0, [], True),
        # Another process may accept connections at the address of one that crashed.
        ({"verdict": RESET, "listening": Listening.ACCEPTED}, 1.0, [], False),
        ({"verdict": RESET, "listening": Listening.ACCEPTED}, 1.0, [remove], True),
        ({"verdict": RESET, "listening": Listening.ACCEPTED}, 1.0, [restart], True),
        (
            {"verdict": RESET, "listening": Listening.ACCEPTED},
            1.0,
            [drain, remove],
            False,
        ),
        (
            {"verdict": RESET, "listening": Listening.ACCEPTED},
            END_DETECTION_SECONDS + 1.0,
            [remove],
            False,
        ),
        ({"verdict": RESET, "listening": Listening.UNKNOWN}, 1.0, [], False),
        ({"verdict": RESET, "listening": Listening.UNKNOWN}, 1.0, [remove], True),
        # Silence is a crash if the server's entry ends soon.
        ({"verdict": None}, 1.0, [], False),
        ({"verdict": None}, 1.0, [remove], True),
        ({"verdict": None}, 1.0, [restart], True),
        ({"verdict": None}, END_DETECTION_SECONDS + 1.0, [remove], False),
        # A server that leaves may end with requests in progress.
        ({"verdict": None}, 1.0, [drain, remove], False),
        # A server's failure shows that it runs.
        ({"status": 500}, 1.0, [remove], False),
    ],
)
async def test_crash_is_told_from_other_failures(script, pause, changes, is_crash):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    gateway.set_script("s-1", **script)
    request = make_request(gateway, deadline=0.5)
    await forward(gateway, request, max_attempts=1)
    await gateway.timers.advance(pause)
    (server,) = gateway.registry.by_service["s"]
    for change in changes:
        gateway.registry.apply_entries([change(server.entry)])
    assert has_crash(gateway, request) == is_crash


@pytest.mark.parametrize(
    ("script", "change", "is_crash_at_change", "is_crash_at_end"),
    [
        ({"verdict": RESET}, remove, False, True),
        ({"verdict": None}, remove, False, True),
        # It accepts no connection, so the crash counts before the attempt fails.
        ({"verdict": None, "listening": Listening.REFUSED}, remove, True, True),
        ({"verdict": None, "listening": Listening.UNKNOWN}, remove, True, True),
        # A server may leave without saying so, and finish its requests.
        ({}, remove, False, False),
        # A server that leaves does not end before its drain time is over.
        ({"verdict": RESET, "listening": Listening.REFUSED}, drain, False, True),
        (
            {"verdict": RESET, "listening": Listening.REFUSED, "delay": 4.0},
            drain,
            False,
            False,
        ),
    ],
)
async def test_crash_counts_if_the_entry_changes_before_the_attempt_fails(
    script, change, is_crash_at_change, is_crash_at_end
):
    gateway = SimulatedGateway({"s": [("s-1", "a")]}, bounds=Bounds(drain_time=3.0))
    gateway.set_script("s-1", **{"delay": 0.2} | script)
    request = make_request(gateway, deadline=5.0)
    task = asyncio.ensure_future(make_handler(gateway, request, 1).run())
    await gateway.timers.advance(0.1)
    (server,) = gateway.registry.by_service["s"]
    gateway.registry.apply_entries([change(server.entry)])
    assert has_crash(gateway, request) == is_crash_at_change
    await gateway.timers.advance(10.0)
    assert task.done()
    assert has_crash(gateway, request) == is_crash_at_end


@pytest.mark.parametrize(
    ("age", "changes", "is_crash"),
    [
        # The response was due, and the server may have crashed in silence.
        (0.3, [], False),
        (0.3, [remove], True),
        (0.3, [restart], True),
        (0.3, [drain, remove], False),
        # A request that is not late says nothing of a server that ends later.
        (0.01, [remove], False),
    ],
)
async def test_silent_crash_counts_though_the_caller_leaves(age, changes, is_crash):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    gateway.set_script("s-1", verdict=None)
    request = make_request(gateway, deadline=5.0)
    task = asyncio.ensure_future(make_handler(gateway, request, 1).run())
    await gateway.timers.advance(age)
    task.cancel()
    await gateway.timers.advance(1.0)
    assert task.cancelled()
    (server,) = gateway.registry.by_service["s"]
    for change in changes:
        gateway.registry.apply_entries([change(server.entry)])
    assert has_crash(gateway, request) == is_crash


async def test_response_of_another_server_clears_a_crash():
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    first = gateway.registry.choose_server("s").entry.name
    gateway.set_script(first, verdict=RESET, listening=Listening.REFUSED)
    request = make_request(gateway)
    assert (await forward(gateway, request, max_attempts=2)).status == 200
    monitor = gateway.context.crash_monitor
    assert not monitor.quarantine.crashes(monitor.track(request).fingerprint)


async def test_response_after_the_send_clears_a_silent_crash():
    """Another copy is served while the first one waits for its deadline."""
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    server = gateway.registry.choose_server("s")
    gateway.set_script(server.entry.name, verdict=None)
    request = make_request(gateway, deadline=2.0)
    task = asyncio.ensure_future(make_handler(gateway, request, 1).run())
    await gateway.timers.advance(0.1)
    assert (await forward(gateway, request, max_attempts=1)).status == 200
    await gateway.timers.advance(5.0)
    assert task.done()
    gateway.registry.apply_entries([remove(server.entry)])
    assert not has_crash(gateway, request)


async def test_response_during_the_check_of_an_address_clears_the_suspicion():
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    server = gateway.registry.choose_server("s")
    gateway.set_script(
        server.entry.name,
        verdict=RESET,
        listening=Listening.UNKNOWN,
        check_delay=0.5,
    )
    request = make_request(gateway)
    assert (await forward(gateway, request, max_attempts=2)).status == 200
    await gateway.timers.advance(1.0)
    gateway.registry.apply_entries([remove(server.entry)])
    assert not has_crash(gateway, request)
