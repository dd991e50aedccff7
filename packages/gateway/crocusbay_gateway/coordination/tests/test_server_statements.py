import os

import msgspec
import pytest

from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.forward import ForwardHandler
from crocusbay_gateway.coordination.gather import ScatterGatherHandler
from crocusbay_gateway.coordination.partial import PartialAnswerPolicy
from crocusbay_gateway.coordination.refusal import JITTER_RATIO
from crocusbay_gateway.coordination.server_statements import (
    MAX_REST_SECONDS,
    REST_JITTER,
    RETENTION_SECONDS,
)
from crocusbay_gateway.coordination.stated_limit import (
    MAX_RETRY_AFTER_SECONDS,
    ServerLimit,
    StatedLimit,
)
from crocusbay_gateway.coordination.tests.simulation import (
    HTTP_CONVENTIONS,
    SimulatedGateway,
    make_request,
    make_route,
    run_to_completion,
)
from crocusbay_gateway.protocol import ServerReport
from crocusbay_gateway.state import (
    RouteKind,
    ServerEntry,
    ServerStatement,
    ToService,
    ToShards,
)

pytestmark = pytest.mark.anyio


def record_statement(gateway, limit=b"", **statement):
    """Record what server s-1 states in a response."""
    server = gateway.registry.find_server("s", "s-1")
    gateway.registry.on_statement(server, ServerStatement(limit, **statement))


def exhaust_limits(gateway, shards):
    """Use up the limits of all servers of some shards; they allow a send in 1 s."""
    now = gateway.timers.now()
    for shard in shards:
        for server in gateway.registry.by_service[shard]:
            server.limit = ServerLimit(StatedLimit(1.0, now), 1.0, now, phase=0.9)


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
def test_each_change_of_a_stated_limit_is_logged(stated, logged):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    for value in stated:
        record_statement(gateway, value)
    events = logged_events(gateway, "server-limit")
    assert [event["limit"] for event in events] == logged
    assert {event["server"] for event in events} <= {"s-1"}


@pytest.mark.parametrize(
    ("age", "reported", "expected"),
    [
        # Only what is newer than this host's own knowledge counts.
        (2.0, 3.0, 8.0),
        (0.5, 3.0, 3.0),
        (0.5, None, None),
        (2.0, None, 8.0),
    ],
)
async def test_newest_statement_of_a_server_counts(age, reported, expected):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    record_statement(gateway, b"8")
    await gateway.timers.advance(1.0)
    limits = gateway.context.server_statements
    limits.record_reports((ServerReport("s-1", 0, reported, age),))
    assert gateway.registry.find_server("s", "s-1").limit.stated.rate == expected


@pytest.mark.parametrize("server", [("s-1", 1), ("s-9", 0)])
def test_report_on_another_process_is_ignored(server):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    gateway.context.server_statements.record_reports((ServerReport(*server, 3.0, 0),))
    assert gateway.registry.find_server("s", "s-1").limit is None


async def test_limit_that_no_response_confirms_lapses():
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    record_statement(gateway, b"8")
    limits = gateway.context.server_statements
    for seconds, is_known in [(RETENTION_SECONDS - 1.0, True), (2.0, False)]:
        await gateway.timers.advance(seconds)
        limits.set_share(0.5)
        assert (gateway.registry.find_server("s", "s-1").limit is not None) == is_known
        assert bool(limits.reports_to_share()) == is_known


@pytest.mark.parametrize(
    ("rate", "share", "demand", "sends"),
    [
        # Requests per second over ten seconds, of which 0.9 of the share is used.
        (20.0, 0.5, 50.0, 90),
        (20.0, 0.1, 50.0, 18),
        (2.0, 0.1, 50.0, 2),
        (0.0, 0.5, 50.0, 1),
        # A burst of what 1.5 s allow may come on top.
        (20.0, 0.5, 8.0, 80),
    ],
)
def test_sends_are_paced_by_the_share_of_the_limit(rate, share, demand, sends):
    limit = ServerLimit(StatedLimit(rate, 0.0), share, 0.0)
    allowed = 0
    for number in range(int(10 * demand)):
        now = number / demand
        if limit.delay(now) == 0.0:
            limit.record_send(now)
            allowed += 1
    assert abs(allowed - sends) <= 2


def test_requests_that_are_not_urgent_leave_a_send_to_urgent_ones():
    limit = ServerLimit(StatedLimit(10.0, 0.0), 1.0, 0.0)
    now = 10.0
    while limit.delay(now, is_urgent=False) == 0.0:
        limit.record_send(now)
    assert limit.delay(now) == 0.0


@pytest.mark.parametrize(
    ("limited_shards", "waiting_time", "status", "parts"),
    [
        (0, 0.0, 200, 10),
        # Parts that can't be sent for in time are left out.
        (2, 0.0, 200, 8),
        # Too few remain: none of the other shards is asked.
        (3, 0.0, 503, 0),
        # The next send is due within the goal, and is waited for.
        (2, 0.95, 200, 10),
    ],
)
async def test_gather_is_refused_if_limits_leave_too_few_shards(
    limited_shards, waiting_time, status, parts
):
    shards = tuple(f"s{number}" for number in range(10))
    gateway = SimulatedGateway({shard: [(f"{shard}-a", "a")] for shard in shards})
    exhaust_limits(gateway, shards[:limited_shards])
    await gateway.timers.advance(waiting_time)
    route = make_route(ToShards(shards, 3, 0.8))
    now = gateway.timers.now()
    handler = ScatterGatherHandler(
        gateway.context,
        make_request(gateway),
        route,
        RouteLatency(route.latency_goal),
        PartialAnswerPolicy(now + 0.13, now + 1.0, len(shards), 8),
    )
    reply, elapsed = await run_to_completion(gateway, handler)
    assert reply.status == status
    assert sum(gateway.received_counts().values()) == parts
    assert elapsed < (route.latency_goal if status == 200 else 0.01)
    assert (reply.retry_after is not None) == (status == 503)


def leaving_report(server="s-1", started_at=0):
    return ServerReport(server, started_at, None, 1e9, is_leaving=True)


@pytest.mark.parametrize("source", ["own", "peer"])
def test_server_that_leaves_is_not_used_and_reported(source):
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    statements = gateway.context.server_statements
    if source == "own":
        record_statement(gateway, is_leaving=True)
    else:
        statements.record_reports((leaving_report(),))
    assert gateway.registry.find_server("s", "s-1") is None
    assert [s.entry.name for s in gateway.registry.servers()] == ["s-2"]
    (report,) = statements.reports_to_share()
    assert (report.server, report.is_leaving) == ("s-1", True)
    # A heartbeat later, the server still leaves and is reported.
    statements.set_share(0.5)
    assert statements.reports_to_share()
    (event,) = logged_events(gateway, "server-leaving")
    assert event["source"] == source


def test_report_of_a_leaving_server_does_not_end_a_limit():
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    record_statement(gateway, b"8")
    gateway.context.server_statements.record_reports((leaving_report(),))
    server = gateway.registry.find_process("s-1", 0)
    assert server.is_leaving
    assert server.limit.stated.rate == 8.0


@pytest.mark.parametrize(
    ("started_at", "is_usable"),
    [
        # The entry of the process was removed, or was not known yet.
        (0, False),
        # Another process, at the same address.
        (5, True),
    ],
)
@pytest.mark.parametrize("is_known", [True, False])
def test_leaving_concerns_a_process_and_not_its_name(started_at, is_usable, is_known):
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    registry = gateway.registry
    entry = registry.find_server("s", "s-1").entry
    removal = ServerEntry("s-1", 2, is_removed=True)
    if not is_known:
        registry.apply_entries([removal])
    gateway.context.server_statements.record_reports((leaving_report(),))
    registry.apply_entries([removal])
    returned = msgspec.structs.replace(entry, revision=3, started_at=started_at)
    registry.apply_entries([returned])
    assert (registry.find_server("s", "s-1") is not None) == is_usable


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([b"3"], 3.0),
        ([b"0.25"], 0.25),
        ([b"0"], 0.0),
        ([b"3", b"1"], 3.0),
        ([b"1", b"3"], 3.0),
        ([b"1e12"], MAX_REST_SECONDS),
        # What is not a time in seconds is logged and changes nothing.
        ([b"Fri, 31 Dec 1999 23:59:59 GMT"], 0.0),
        ([b"3", b"soon", b"-1", b"nan", b"inf"], 3.0),
    ],
)
def test_longest_rest_counts(values, expected):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    for value in values:
        record_statement(gateway, rest=value)
    rest = gateway.registry.find_server("s", "s-1").rest_time(gateway.timers.now())
    assert expected <= rest <= expected * (1 + REST_JITTER)
    ignored = [value for value in values if value.isalpha() or value[:1] in b"-F"]
    assert len(logged_events(gateway, "server-rest-ignored")) == len(ignored)


@pytest.mark.parametrize("kind", list(RouteKind))
async def test_request_rejected_with_a_rest_is_retried_on_another_server(kind):
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    rejection = {
        "status": 503,
        "headers": ((HTTP_CONVENTIONS.not_run, b"1"),),
        "statement": ServerStatement(rest=b"3"),
    }
    gateway.set_script("s-1", **rejection)
    for _ in range(5):
        reply = await forward(gateway, make_route(ToService("s"), kind=kind))
        assert reply.status == 200
    assert gateway.received_counts()["s-1"] <= 1
    await gateway.timers.advance(3.0 * (1 + REST_JITTER))
    assert gateway.registry.send_delay("s", is_urgent=True) == 0.0


async def test_request_is_refused_with_the_time_of_the_first_server_to_return():
    gateway = SimulatedGateway({"s": [("s-1", "a"), ("s-2", "a")]})
    for name, rest in [("s-1", b"3"), ("s-2", b"1")]:
        server = gateway.registry.find_server("s", name)
        gateway.registry.on_statement(server, ServerStatement(rest=rest))
    reply = await forward(gateway, make_route(ToService("s")), deadline=30.0)
    assert reply.status == 503
    assert 1.0 <= reply.retry_after <= (1 + REST_JITTER) * (1 + JITTER_RATIO)
    assert not any(gateway.received_counts().values())


@pytest.mark.parametrize(("started_at", "is_resting"), [(0, True), (5, False)])
def test_rest_outlasts_the_removal_of_the_entry(started_at, is_resting):
    gateway = SimulatedGateway({"s": [("s-1", "a")]})
    registry = gateway.registry
    record_statement(gateway, rest=b"3")
    entry = registry.find_server("s", "s-1").entry
    registry.apply_entries([ServerEntry("s-1", 2, is_removed=True)])
    returned = msgspec.structs.replace(entry, revision=3, started_at=started_at)
    registry.apply_entries([returned])
    rest = registry.find_server("s", "s-1").rest_time(gateway.timers.now())
    assert bool(rest) == is_resting


async def forward(gateway, route, deadline=1.0):
    """Return the reply to a request, which must come at once."""
    handler = ForwardHandler(
        gateway.context,
        make_request(gateway, deadline=deadline),
        route,
        "s",
        RouteLatency(route.latency_goal),
        gateway.timers.now() + deadline,
    )
    reply, elapsed = await run_to_completion(gateway, handler)
    assert elapsed < route.latency_goal
    return reply


def test_refused_callers_return_one_after_the_other():
    limit = ServerLimit(StatedLimit(10.0, 0.0), 0.5, 0.0)
    for _ in range(3):
        limit.record_send(0.0)
    returns = [limit.reserve_return(0.0) for _ in range(4)]
    assert returns == sorted(set(returns))
    assert returns[0] >= limit.delay(0.0)
    assert limit.reserve_return(0.0) <= MAX_RETRY_AFTER_SECONDS
