import random
from collections import Counter

import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay_gateway.coordination.admission import Split, admission_for
from crocusbay_gateway.coordination.budget import ExtraBudget
from crocusbay_gateway.coordination.entry import (
    EntryCandidate,
    choose_entries,
    gather_time,
)
from crocusbay_gateway.coordination.health import ServerHealth
from crocusbay_gateway.coordination.membership import FORGET_SECONDS, Membership
from crocusbay_gateway.coordination.partial import Decision, PartialPolicy
from crocusbay_gateway.coordination.quarantine import (
    STRIKE_LIFETIME_SECONDS,
    Quarantine,
)
from crocusbay_gateway.coordination.refusal import refuse
from crocusbay_gateway.protocol import KnownHost, Strike
from crocusbay_gateway.state import Bounds, HostStatus, ServerAnswer, WeightedService

POLICY = PartialPolicy(answer_by=0.15, give_up_at=1.0, shards=20, least_parts=18)
OK = Ran(ServerAnswer(200, b"", (), b""))


@pytest.mark.parametrize(
    ("now", "parts", "pending", "decision"),
    [
        (0.05, 20, 0, Decision.ANSWER),
        (0.05, 19, 1, Decision.WAIT),
        (0.15, 19, 1, Decision.ANSWER),
        (0.15, 17, 3, Decision.WAIT),
        # Past the goal, a partial answer is sent once it has enough parts.
        (0.30, 18, 2, Decision.ANSWER),
        # No part is pending.
        (0.05, 19, 0, Decision.ANSWER),
        (0.05, 17, 0, Decision.GIVE_UP),
        # The parts received and pending are too few.
        (0.05, 10, 7, Decision.GIVE_UP),
        (1.00, 17, 3, Decision.GIVE_UP),
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
    bounds = Bounds(extra_ratio=ratio, extra_burst=50.0, extra_window=10.0)
    budgets = [ExtraBudget(bounds) for _ in range(11)]
    for budget in budgets:
        budget.share = 0.1
    spent, requests = [], []
    for step in range(3_000):
        now = 100.0 + step * 0.01
        host = step % 10 if step < 1_500 or step % 10 else 10
        budgets[host].note_request(now)
        requests.append(now)
        while budgets[host].spend(now):
            spent.append(now)
    for start in range(100, 130):
        extras = sum(start <= at < start + 10 for at in spent)
        asked = sum(start <= at < start + 10 for at in requests)
        assert extras <= ratio * asked + bounds.extra_burst


def status(name, place="a", **fields):
    return HostStatus(name, 1, 1, place, f"{name}:80", f"{name}:81", **fields)


def candidates(*specs):
    return [
        EntryCandidate(address, place, load, time)
        for address, place, load, time in specs
    ]


@pytest.mark.parametrize(
    ("hosts", "place", "expected"),
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
def test_choose_entries_prefers_near_and_fast_hosts(hosts, place, expected):
    addresses = choose_entries(candidates(*hosts), place, {"a": 5, "b": 5})
    assert "".join(sorted(addresses)) == expected


def test_leaving_hosts_are_listed_only_if_no_other_is_ready():
    leaving = [EntryCandidate("1", "a", is_leaving=True), EntryCandidate("2", "a")]
    assert choose_entries(leaving, "a", {"a": 1}) == ("2",)
    assert choose_entries(leaving[:1], "a", {"a": 1}) == ("1",)
    assert choose_entries([EntryCandidate("1", "a", is_ready=False)], "a", {}) == ()


def test_gather_time_depends_on_link_and_processor():
    assert gather_time(0.5, 10.0) > gather_time(0.5, 100.0) > gather_time(2.0, 100.0)


@pytest.mark.parametrize(
    ("verdicts", "is_up"),
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
def test_only_failures_caused_by_the_server_back_it_off(verdicts, is_up):
    health = ServerHealth()
    for verdict in verdicts:
        health.learn(verdict, 0.02, 0.02, 100.0)
    assert health.is_up(100.0) == is_up
    assert health.is_up(110.0)


def test_slow_server_costs_more_than_a_remote_one_until_decay():
    slow, remote = ServerHealth(), ServerHealth()
    for _ in range(2):
        slow.learn(OK, 0.2, 0.02, 100.0)
    assert slow.cost(100.0, 2, is_remote=False) > remote.cost(100.0, 2, is_remote=True)
    assert slow.cost(130.0, 2, is_remote=False) < remote.cost(130.0, 2, is_remote=True)


def test_overdue_answer_raises_the_cost_of_a_server():
    paused = ServerHealth()
    paused.sent("exchange", overdue_at=100.1)
    initial_cost = paused.cost(100.0, 2, is_remote=False)
    assert paused.cost(100.2, 2, is_remote=False) > initial_cost + 1
    paused.done("exchange")
    assert paused.cost(100.2, 2, is_remote=False) < initial_cost


@pytest.mark.parametrize(("running", "ranks"), [(0, "012"), (52, "01"), (58, "0")])
def test_requests_of_lower_priority_are_refused_first(running, ranks):
    policy = admission_for(1.0)
    admitted = [rank for rank in range(3) if policy.admits(running, rank)]
    assert "".join(map(str, admitted)) == ranks


def test_split_follows_its_weights_at_every_step():
    split = Split()
    parts = (WeightedService("a", 7.0), WeightedService("b", 2.0))
    drawn = Counter()
    for number in range(1, 91):
        drawn[split.draw(parts)] += 1
        assert abs(drawn["a"] - number * 7 / 9) < 1
    # A removed part has no effect on later draws.
    for _ in range(10):
        assert split.draw(parts[:1]) == "a"


def test_request_is_quarantined_after_crashing_three_servers():
    quarantine = Quarantine()
    for number in range(3):
        assert not quarantine.holds("f", 10.0)
        quarantine.strike(Strike("f", f"s{number}"), 10.0)
        quarantine.strike(Strike("f", f"s{number}"), 10.0)
    assert quarantine.holds("f", 10.0)
    assert not quarantine.holds("f", 11.0 + STRIKE_LIFETIME_SECONDS)
    assert len(quarantine.recent(10.0)) == 3
    quarantine.clear("f")
    assert not quarantine.holds("f", 10.0)


@pytest.mark.parametrize("left", [0.1, 1.0, 30.0])
def test_retry_after_fits_the_deadline_and_has_jitter(left):
    times = [refuse(Cause.OVERLOAD, left).retry_after for _ in range(200)]
    assert all(0 < after <= left / 3 + 0.01 for after in times)
    if left > 1:
        assert max(times) > 1.5 * min(times)


def test_few_heartbeats_cross_data_centres():
    """Simulate 76 hosts; heartbeats must not grow with the square of their number."""
    random.seed(7)
    names = [(f"host-{number}", "abc"[number % 3]) for number in range(76)]
    place_of = dict(names)
    sent = Counter()
    for own, place in names:
        membership = Membership(own, place, 1)
        for name, other in names:
            membership.take_contact(KnownHost(name, name, other))
            if other == place:
                membership.take(status(name, other), 0.0)
        targets = [address.partition(":")[0] for address in membership.addresses()]
        assert len(targets) == len(set(targets)) and own not in targets
        for target in targets:
            sent[place_of[target] == place] += 1
    assert sent[False] <= 3 * 2 * 4
    assert sent[True] <= 76 * 9


def test_heartbeats_rotate_over_all_hosts_of_a_data_centre():
    membership = Membership("host-0", "a", 1)
    for number in range(30):
        membership.take(status(f"host-{number}"), 0.0)
    heard = set()
    for _ in range(5):
        heard |= set(membership.addresses())
    assert len(heard) == 29
    assert membership.lost_after > 4 * 0.25 * 29 / 9


def test_host_counts_of_a_data_centre_come_from_its_own_hosts():
    membership = Membership("host-0", "a", 1)
    membership.take(status("host-1"), 0.0)
    membership.take_counts("b", {"a": 9, "b": 5})
    membership.take_counts("b", {"c": 4})
    membership.take_counts("a", {"c": 3})
    assert membership.hosts_by_place == {"a": 2, "b": 5, "c": 3}
    assert membership.host_count == 10


def test_silent_host_is_marked_lost_and_later_deleted_once():
    membership = Membership("host-0", "a", 1)
    membership.take(status("host-1"), 0.0)
    assert [each.name for each in membership.tick(membership.lost_after + 0.1)] == [
        "host-1"
    ]
    assert membership.live == []
    assert membership.host_count == 2
    membership.tick(FORGET_SECONDS + 0.1)
    assert membership.host_count == 1
    assert membership.take_forgotten() == {"host-1"}
    assert membership.take_forgotten() == set()


@pytest.mark.parametrize(
    ("silence", "is_taken"),
    [
        # Heartbeats sent before and after a restart may arrive out of order briefly.
        (0.5, False),
        (2.0, True),
    ],
)
def test_lower_incarnation_is_accepted_only_after_the_host_is_lost(silence, is_taken):
    membership = Membership("host-0", "a", 1)
    membership.take(HostStatus("host-1", 2_000, 40, "a", "h:80", "h:90"), 0.0)
    membership.tick(silence)
    membership.take(HostStatus("host-1", 1_000, 1, "a", "h:80", "h:90"), silence)
    heard = [(status.name, status.incarnation) for status in membership.live]
    assert (("host-1", 1_000) in heard) is is_taken
