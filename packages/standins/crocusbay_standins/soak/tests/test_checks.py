"""The checks notice what they are there for."""

from dataclasses import replace

import pytest

from crocusbay_gateway.state import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ToShards,
)
from crocusbay_platform.names import DIALECT
from crocusbay_standins.soak import checks
from crocusbay_standins.soak.callers import Kind, Outcome
from crocusbay_standins.soak.hosts import ProcessHost, make_hosts
from crocusbay_standins.soak.servers import Arrival, records_of

SHARDS = ("s0", "s1", "s2")
GATHER = Configuration(
    1,
    (
        Route(
            "r",
            "soak.example",
            "/all/",
            RouteKind.IDEMPOTENT,
            ToShards(SHARDS, 4, 0.6),
            1.0,
            0.3,
        ),
    ),
    tuple(Service(name, 9) for name in SHARDS),
)


def observed(outcomes=(), arrivals=(), leaving=(), is_calm=True):
    return checks.Observed(
        list(outcomes),
        list(arrivals),
        [(0.0, GATHER)],
        list(leaving),
        lambda host, at: is_calm,
    )


def gathered(services, missing, attempt="a1", records=None):
    if records is None:
        records = sorted(
            (r for s in services for r in records_of(s, attempt)), reverse=True
        )[:4]
    signatures = ", ".join(f"{service}/0.{attempt}" for service in services)
    headers = {
        DIALECT.part_signatures.lower(): signatures.encode(),
        DIALECT.missing_parts.lower(): str(missing).encode(),
    }
    return Outcome(
        "a1", Kind.GATHER, "h", 1.0, 2.0, 200, headers, b"".join(records), "/all/"
    )


def order(status, attempt="a1"):
    return Outcome(attempt, Kind.ORDER, "h", 10.0, 11.0, status, {}, b"", "/order/")


def arrival(server="orders/0", at=10.5, attempt="a1"):
    return Arrival(at, attempt, server.partition("/")[0], server, True)


@pytest.mark.parametrize(
    ("outcome", "is_broken"),
    [
        (gathered(SHARDS, 0), False),
        (gathered(SHARDS[:2], 1), False),
        (gathered(SHARDS[:2], 0), True),
        (gathered(SHARDS[:1], 2), True),
        (gathered(("s0", "s0", "s1"), 0), True),
        (gathered(("s0", "s1", "x"), 0), True),
        (gathered(SHARDS, 0, attempt="a0"), True),
        (gathered(SHARDS, 0, records=[b"x" * 16] * 4), True),
    ],
)
def test_wrong_answer_is_noticed(outcome, is_broken):
    assert bool(checks.check_answers(observed([outcome]))) == is_broken


@pytest.mark.parametrize(
    ("status", "runs", "is_broken"),
    [(200, 1, False), (200, 2, True), (503, 0, False), (503, 1, True), (502, 1, False)],
)
def test_double_run_and_false_refusal_are_noticed(status, runs, is_broken):
    seen = observed([order(status)], [arrival()] * runs)
    assert bool(checks.check_single_runs(seen)) == is_broken


@pytest.mark.parametrize(
    ("since", "until", "is_calm", "is_broken"),
    [
        (9.0, 99.0, True, False),
        (1.0, 99.0, True, True),
        (1.0, 99.0, False, False),
        # Started anew before the request arrived, or after it.
        (1.0, 10.4, True, False),
        (1.0, 10.6, True, True),
    ],
)
def test_work_for_a_leaving_server_is_noticed(since, until, is_calm, is_broken):
    seen = observed(
        [order(200)],
        [arrival()],
        [checks.Leaving("orders/0", since, until)],
        is_calm=is_calm,
    )
    assert bool(checks.check_draining(seen)) == is_broken


@pytest.mark.parametrize(("extras", "is_broken"), [(10, False), (70, True)])
def test_extras_beyond_the_budget_are_noticed(extras, is_broken):
    seen = observed([], [arrival()] * (1 + extras))
    assert bool(checks.check_extras(seen)) == is_broken


@pytest.mark.parametrize(("most", "is_broken"), [(9, False), (10, True)])
def test_connections_beyond_the_limit_are_noticed(most, is_broken):
    seen = replace(observed(), most_connections={"s0/1": most})
    assert bool(checks.check_connections(seen)) == is_broken


@pytest.mark.parametrize(
    ("ended_at", "is_calm", "is_broken"),
    [(10.1, True, False), (11.0, True, True), (11.0, False, False)],
)
def test_request_cut_in_calm_is_noticed(ended_at, is_calm, is_broken):
    cut = Outcome("a1", Kind.FETCH, "h", 10.0, ended_at, 0, {}, b"", "/one/")
    seen = observed([cut], is_calm=is_calm)
    assert bool(checks.check_planned_stops(seen)) == is_broken


def test_host_that_runs_is_not_started_twice(tmp_path):
    (host,) = make_hosts(ProcessHost, 1, ["a"], tmp_path, [_NoProxy()], first_ip=251)
    try:
        host.start()
        first = host.process
        host.start()
        assert host.process is first
    finally:
        host.end()
    assert not host.is_running


class _NoProxy:
    address = "127.0.0.1:1"
