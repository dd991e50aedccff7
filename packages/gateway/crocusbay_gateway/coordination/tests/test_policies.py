import random
from collections import Counter

import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay_gateway.coordination.admission import (
    WeightedRoundRobin,
    make_admission_policy,
)
from crocusbay_gateway.coordination.entry import (
    EntryCandidate,
    choose_entry_hosts,
    estimate_gather_time,
)
from crocusbay_gateway.coordination.health import ServerHealth
from crocusbay_gateway.coordination.membership import (
    LOST_HOST_RETENTION_SECONDS,
    REMOTE_RETENTION_SECONDS,
    Membership,
)
from crocusbay_gateway.coordination.partial import Decision, PartialAnswerPolicy
from crocusbay_gateway.coordination.refusal import make_refusal
from crocusbay_gateway.coordination.retry_budget import RetryBudget
from crocusbay_gateway.protocol import KnownHost
from crocusbay_gateway.state import Bounds, HostStatus, ServerResponse, WeightedService

POLICY = PartialAnswerPolicy(
    partial_answer_at=0.15, give_up_at=1.0, shard_count=20, min_parts=18
)
OK = Ran(ServerResponse(200, b"", (), b""))


@pytest.mark.parametrize(
    ("now", "parts", "pending", "decision"),
    [
        (0.05, 20, 0, Decision.ANSWER),
        (0.05, 19, 1, Decision.WAIT),
        (0.15, 19, 1, Decision.ANSWER),
        (0.15, 17, 3, Decision.WAIT),
        # Past the latency goal, a partial answer is sent once it has enough parts.
        (0.30, 18, 2, Decision.ANSWER),
        # No part is pending.
        (0.05, 19, 0, Decision.ANSWER),
        (0.05, 17, 0, Decision.FAIL),
        # The parts received and pending are too few.
        (0.05, 10, 7, Decision.FAIL),
        (1.00, 17, 3, Decision.FAIL),
        (1.00, 18, 2, Decision.ANSWER),
    ],
)
def test_partial_answer_is_sent_once_waiting_has_no_benefit(
    now, parts, pending, decision
):
    assert POLICY.decide(now, parts, pending) is decision


@pytest.mark.parametrize("ratio", [0.0, 0.2])
def test_hedges_and_retries_of_all_hosts_stay_within_bounds(ratio):
    """Simulate ten hosts that retry each request at once, as when all servers fail.

    One host restarts halfway, without the history of its budget. The sum over all
    hosts must still stay within the bounds.
    """
    bounds = Bounds(
        retry_budget_ratio=ratio, retry_budget_burst=50.0, retry_budget_window=10.0
    )
    budgets = [RetryBudget(bounds) for _ in range(11)]
    for budget in budgets:
        budget.burst_share = 0.1
    spent, requests = [], []
    for step in range(3_000):
        now = 100.0 + step * 0.01
        host = step % 10 if step < 1_500 or step % 10 else 10
        budgets[host].record_request(now)
        requests.append(now)
        while budgets[host].try_spend(now):
            spent.append(now)
    for start in range(100, 130):
        extra_count = sum(start <= at < start + 10 for at in spent)
        request_count = sum(start <= at < start + 10 for at in requests)
        assert extra_count <= ratio * request_count + bounds.retry_budget_burst


def status(name, data_centre="a", **fields):
    return HostStatus(name, 1, 1, data_centre, f"{name}:80", f"{name}:81", **fields)


def candidates(*specs):
    return [
        EntryCandidate(address, data_centre, load, time)
        for address, data_centre, load, time in specs
    ]


@pytest.mark.parametrize(
    ("hosts", "data_centre", "expected"),
    [
        # The caller's own data centre, if two hosts there are ready.
        ([("1", "a", 0, 0.1), ("2", "a", 0, 0.1), ("3", "b", 0, 0.1)], "a", "12"),
        ([("1", "a", 0, 0.1), ("2", "b", 0, 0.1), ("3", "b", 0, 0.1)], "a", "123"),
        # In a data centre without servers, hosts near servers are preferred.
        (
            [
                ("1", "c", 0, 0.1),
                ("2", "c", 0, 0.1),
                ("3", "a", 0, 0.1),
                ("4", "b", 0, 0.1),
            ],
            "c",
            "34",
        ),
        # Only the fastest hosts, if they can carry the load.
        ([("1", "a", 2, 0.02), ("2", "a", 2, 0.02), ("3", "a", 0, 0.2)], "a", "12"),
        ([("1", "a", 40, 0.02), ("2", "a", 40, 0.02), ("3", "a", 0, 0.2)], "a", "123"),
    ],
)
def test_near_and_fast_entry_hosts_are_preferred(hosts, data_centre, expected):
    addresses = choose_entry_hosts(candidates(*hosts), data_centre, {"a": 5, "b": 5})
    assert "".join(sorted(addresses)) == expected


def test_leaving_hosts_are_listed_only_if_no_other_is_ready():
    leaving = [EntryCandidate("1", "a", is_leaving=True), EntryCandidate("2", "a")]
    assert choose_entry_hosts(leaving, "a", {"a": 1}) == ("2",)
    assert choose_entry_hosts(leaving[:1], "a", {"a": 1}) == ("1",)
    assert choose_entry_hosts([EntryCandidate("1", "a", is_ready=False)], "a", {}) == ()


@pytest.mark.parametrize(
    ("cut_off", "expected"),
    [
        ("", "12"),
        # Fewer than two of the data centre reach servers.
        ("2", "134"),
        ("12", "34"),
        ("123", "1234"),
        ("1234", "1234"),
    ],
)
def test_callers_are_sent_to_entry_hosts_that_reach_servers(cut_off, expected):
    hosts = [
        EntryCandidate(name, data_centre, is_cut_off=name in cut_off)
        for name, data_centre in [("1", "a"), ("2", "a"), ("3", "b"), ("4", "b")]
    ]
    addresses = choose_entry_hosts(hosts, "a", {"a": 5, "b": 5})
    assert "".join(sorted(addresses)) == expected


def test_gather_time_depends_on_link_and_processor():
    assert (
        estimate_gather_time(0.5, 10.0)
        > estimate_gather_time(0.5, 100.0)
        > estimate_gather_time(2.0, 100.0)
    )


@pytest.mark.parametrize(
    ("verdicts", "is_available"),
    [
        ([OK], True),
        ([MayHaveRun(Cause.RESET)], True),
        ([MayHaveRun(Cause.RESET)] * 2, False),
        ([MayHaveRun(Cause.RESET), OK, MayHaveRun(Cause.RESET)], True),
        ([MayHaveRun(Cause.SILENT)], False),
        ([NotRun(Cause.CONNECT_FAILED)], False),
        ([MayHaveRun(Cause.CANCELLED)] * 5, True),
    ],
)
def test_only_failures_caused_by_the_server_back_it_off(verdicts, is_available):
    health = ServerHealth()
    for verdict in verdicts:
        health.record_result(verdict, 0.02, 0.02, 100.0)
    assert health.is_available(100.0) == is_available
    assert health.is_available(110.0)


def test_slow_server_costs_more_than_a_remote_one_until_decay():
    slow, remote = ServerHealth(), ServerHealth()
    for _ in range(2):
        slow.record_result(OK, 0.2, 0.02, 100.0)
    assert slow.cost(100.0, 2, is_remote=False) > remote.cost(100.0, 2, is_remote=True)
    assert slow.cost(130.0, 2, is_remote=False) < remote.cost(130.0, 2, is_remote=True)


def test_overdue_response_raises_the_cost_of_a_server():
    paused = ServerHealth()
    paused.record_sent("exchange", overdue_at=100.1)
    initial_cost = paused.cost(100.0, 2, is_remote=False)
    assert paused.cost(100.2, 2, is_remote=False) > initial_cost + 1
    paused.record_finished("exchange")
    assert paused.cost(100.2, 2, is_remote=False) < initial_cost


@pytest.mark.parametrize(("running", "priorities"), [(0, "012"), (52, "01"), (58, "0")])
def test_requests_of_lower_priority_are_refused_first(running, priorities):
    policy = make_admission_policy(1.0)
    admitted = [priority for priority in range(3) if policy.admits(running, priority)]
    assert "".join(map(str, admitted)) == priorities


def test_round_robin_follows_its_weights_at_every_step():
    round_robin = WeightedRoundRobin()
    services = (WeightedService("a", 7.0), WeightedService("b", 2.0))
    selected = Counter()
    for number in range(1, 91):
        selected[round_robin.select(services)] += 1
        assert abs(selected["a"] - number * 7 / 9) < 1
    # A removed service has no effect on later selections.
    for _ in range(10):
        assert round_robin.select(services[:1]) == "a"


@pytest.mark.parametrize("remaining_time", [0.1, 1.0, 30.0])
def test_retry_after_fits_the_deadline_and_has_jitter(remaining_time):
    times = [
        make_refusal(Cause.OVERLOAD, remaining_time).retry_after for _ in range(200)
    ]
    assert all(0 < after <= remaining_time / 3 + 0.01 for after in times)
    if remaining_time > 1:
        assert max(times) > 1.5 * min(times)


def test_few_heartbeats_cross_data_centres():
    """Simulate 76 hosts; heartbeats must not grow with the square of their number."""
    random.seed(7)
    names = [(f"host-{number}", "abc"[number % 3]) for number in range(76)]
    data_centre_by_name = dict(names)
    sent = Counter()
    for own_name, data_centre in names:
        membership = Membership(own_name, data_centre, 1)
        for name, other_data_centre in names:
            membership.add_contact(KnownHost(name, name, other_data_centre))
            if other_data_centre == data_centre:
                membership.update(status(name, other_data_centre), 0.0)
        targets = [
            address.partition(":")[0]
            for address in membership.local_targets() + membership.bridge_targets()
        ]
        assert len(targets) == len(set(targets)) and own_name not in targets
        for target in targets:
            sent[data_centre_by_name[target] == data_centre] += 1
    assert sent[False] <= 3 * 2 * 4
    assert sent[True] <= 76 * 9


def test_heartbeats_rotate_over_all_hosts_of_a_data_centre():
    membership = Membership("host-0", "a", 1)
    for number in range(30):
        membership.update(status(f"host-{number}"), 0.0)
    targets = set()
    for _ in range(5):
        targets |= {*membership.local_targets(), *membership.bridge_targets()}
    assert len(targets) == 29
    assert membership.loss_timeout > 4 * 0.25 * 29 / 9


def test_counts_and_loads_of_a_data_centre_come_from_its_own_hosts():
    membership = Membership("host-0", "a", 1)
    membership.own_load = 2.0
    membership.update(status("host-1", load=5.0), 0.0)
    membership.update_data_centres("b", {"a": 9, "b": 5}, {"a": 1.0, "b": 6.0})
    membership.update_data_centres("b", {"c": 4}, {"c": 2.0})
    membership.update_data_centres("a", {"c": 3}, {"c": 7.0})
    assert membership.host_counts_by_data_centre == {"a": 2, "b": 5, "c": 3}
    assert membership.host_count == 10
    assert membership.loads_by_data_centre == {"a": 7.0, "b": 6.0, "c": 7.0}
    assert membership.load_share == 0.1


@pytest.mark.parametrize(
    ("local_cut_off", "own_cut_off", "is_shared"),
    [(0, False, False), (12, False, True), (12, True, True), (11, False, False)],
)
def test_hosts_elsewhere_are_named_to_a_data_centre_that_reaches_no_server(
    local_cut_off, own_cut_off, is_shared
):
    bridge, local = (Membership(name, "a", 1) for name in ("bridge", "local"))
    for number in range(12):
        is_cut_off = number < local_cut_off
        bridge.update(status(f"a-{number}", "a", is_cut_off=is_cut_off), 0.0)
    bridge.update(status("b-0", "b"), 0.0)
    bridge.update(status("b-1", "b", is_cut_off=True), 0.0)
    shared = bridge.remote_hosts_to_share(is_cut_off=own_cut_off)
    assert [each.name for each in shared] == (["b-0"] if is_shared else [])
    local.learn_remote_hosts("a", shared, 0.0)
    local.learn_remote_hosts("c", (status("c-0", "c"),), 0.0)
    assert local.known_hosts == list(shared)
    local.expire(REMOTE_RETENTION_SECONDS + 0.1)
    assert local.known_hosts == []


def test_silent_host_is_marked_lost_and_later_deleted_once():
    membership = Membership("host-0", "a", 1)
    membership.update(status("host-1"), 0.0)
    assert [each.name for each in membership.expire(membership.loss_timeout + 0.1)] == [
        "host-1"
    ]
    assert membership.live_hosts == []
    assert membership.host_count == 2
    membership.expire(LOST_HOST_RETENTION_SECONDS + 0.1)
    assert membership.host_count == 1
    assert membership.pop_deleted() == {"host-1"}
    assert membership.pop_deleted() == set()


@pytest.mark.parametrize(
    ("silence", "is_accepted"),
    [
        # Heartbeats sent before and after a restart may arrive out of order briefly.
        (0.5, False),
        (2.0, True),
    ],
)
def test_lower_incarnation_is_accepted_only_after_the_host_is_lost(
    silence, is_accepted
):
    membership = Membership("host-0", "a", 1)
    membership.update(HostStatus("host-1", 2_000, 40, "a", "h:80", "h:90"), 0.0)
    membership.expire(silence)
    membership.update(HostStatus("host-1", 1_000, 1, "a", "h:80", "h:90"), silence)
    live = [(status.name, status.incarnation) for status in membership.live_hosts]
    assert (("host-1", 1_000) in live) is is_accepted
