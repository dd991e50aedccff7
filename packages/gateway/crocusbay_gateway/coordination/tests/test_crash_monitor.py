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
from crocusbay_gateway.state import ServerEntry, ToService
from crocusbay_gateway.transport import Listening

pytestmark = pytest.mark.anyio

RESET = MayHaveRun(Cause.RESET)


def remove(entry):
    return ServerEntry(entry.name, 2, is_removed=True)


def restart(entry):
    return msgspec.structs.replace(entry, revision=2, started_at=entry.started_at + 1)


def drain(entry):
    return msgspec.structs.replace(entry, revision=2, is_draining=True)


async def forward(gateway, request, max_attempts):
    """Return the reply to a request that goes to service s."""
    route = make_route(ToService("s"), max_attempts=max_attempts)
    latency = RouteLatency(route.latency_goal)
    handler = ForwardHandler(
        gateway.context, request, route, "s", latency, request.deadline
    )
    reply, _ = await run_to_completion(gateway, handler)
    return reply


@pytest.mark.parametrize(
    ("script", "pause", "changes", "is_crash"),
    [
        # A reset is a crash if nothing listens any more.
        ({"verdict": RESET, "listening": Listening.REFUSED}, 0.0, [], True),
        ({"verdict": RESET, "listening": Listening.ACCEPTED}, 1.0, [remove], False),
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
    fingerprint = gateway.context.crash_monitor.track(request).fingerprint
    crashes = gateway.context.crash_monitor.quarantine.crashes(fingerprint)
    assert bool(crashes) == is_crash


async def test_response_of_another_server_clears_a_crash():
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    first = gateway.registry.choose_server("s").entry.name
    gateway.set_script(first, verdict=RESET, listening=Listening.REFUSED)
    request = make_request(gateway)
    assert (await forward(gateway, request, max_attempts=2)).status == 200
    monitor = gateway.context.crash_monitor
    assert not monitor.quarantine.crashes(monitor.track(request).fingerprint)
