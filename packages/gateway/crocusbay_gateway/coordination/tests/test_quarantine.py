from dataclasses import replace

import pytest

from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.quarantine import (
    CRASH_RETENTION_SECONDS,
    CRASH_SHARING_SECONDS,
    MAX_SHARED_CRASHES,
    MAX_SHARED_DISMISSALS,
    Crash,
    Quarantine,
)
from crocusbay_gateway.coordination.sources import SOURCE_OWN, SOURCE_PEER
from crocusbay_gateway.coordination.tests.simulation import SimulatedGateway

NOW = 10.0


def add_crashes(quarantine, fingerprint, *crashes):
    """Record crashes given as service, server, start and whether none responded."""
    return [
        quarantine.record_crash(
            fingerprint, Crash(service, server, start, NOW, is_unanswered), NOW
        )
        for service, server, start, is_unanswered in crashes
    ]


@pytest.mark.parametrize(
    ("crashes", "is_quarantined"),
    [
        # Three servers of a service, or three starts of one server.
        ([("s", "a", 1, False), ("s", "b", 1, False), ("s", "c", 1, False)], True),
        ([("s", "a", 1, False), ("s", "a", 2, False), ("s", "a", 3, False)], True),
        # One start counts once, whoever reports it.
        ([("s", "a", 1, False)] * 3, False),
        ([("s", "a", 1, False), ("s", "b", 1, False)], False),
        # Crashes of several services count together only if no server responded.
        ([("s", "a", 1, False), ("t", "b", 1, False), ("u", "c", 1, False)], False),
        ([("s", "a", 1, True), ("t", "b", 1, True), ("u", "c", 1, True)], True),
        # The end of a copy without a response changes what is known of its crashes.
        (
            [("s", "a", 1, False), ("t", "b", 1, True), ("u", "c", 1, True)]
            + [("s", "a", 1, True)],
            True,
        ),
    ],
)
def test_request_is_quarantined_after_crashing_three_servers(crashes, is_quarantined):
    quarantine = Quarantine()
    was_quarantined = add_crashes(quarantine, "f", *crashes)
    assert quarantine.is_quarantined("f", NOW) == is_quarantined
    assert was_quarantined == [False] * (len(crashes) - 1) + [is_quarantined]
    late = NOW + 1.0 + CRASH_RETENTION_SECONDS
    assert not quarantine.is_quarantined("f", late)


def test_response_of_a_server_shows_that_earlier_crashes_had_another_cause():
    quarantine = Quarantine()
    crashes = [("s", name, 1, True) for name in "abc"] + [("t", "d", 1, True)]
    add_crashes(quarantine, "f", *crashes)
    assert quarantine.record_response("f", "s", NOW + 1.0) == len(crashes)
    # Responses of the other shards of a gather affect nothing more.
    assert quarantine.record_response("f", "u", NOW + 1.0) == 0
    # Reports of other hosts may arrive later than the response.
    add_crashes(quarantine, "f", *crashes)
    assert not quarantine.is_quarantined("f", NOW + 1.0)
    assert list(quarantine.crashes("f").values()) == [Crash("t", "d", 1, NOW)]


@pytest.mark.parametrize(
    ("service", "responded_at", "is_quarantined"),
    [
        # A response to another copy came after those of the crashes were sent.
        ("s", NOW + 0.1, False),
        ("s", NOW - 0.1, True),
        ("t", NOW + 0.1, True),
    ],
)
def test_response_counts_though_no_crash_was_known(
    service, responded_at, is_quarantined
):
    quarantine = Quarantine()
    quarantine.record_response("f", service, responded_at)
    add_crashes(quarantine, "f", *(("s", name, 1, False) for name in "abc"))
    assert quarantine.is_quarantined("f", NOW) == is_quarantined


@pytest.mark.parametrize("is_response_first", [False, True])
@pytest.mark.parametrize("is_report_first", [False, True])
def test_host_tells_others_which_crashes_had_another_cause(
    is_report_first, is_response_first
):
    sender, receiver = Quarantine(), Quarantine()
    crashes = [("s", name, 1, False) for name in "abc"]

    def learn_of_response():
        sender.record_response("f", "s", NOW + 0.1)

    if is_response_first:
        learn_of_response()
    add_crashes(sender, "f", *crashes)
    if not is_response_first:
        learn_of_response()
    if is_report_first:
        add_crashes(receiver, "f", *crashes)
        assert receiver.is_quarantined("f", NOW)
    dismissals = sender.dismissals_to_share(NOW + 1.0)
    assert [receiver.dismiss(each, NOW + 1.0) for each in dismissals] == [True] * 3
    assert not any(receiver.dismiss(each, NOW + 1.0) for each in dismissals)
    if not is_report_first:
        add_crashes(receiver, "f", *crashes)
    assert not receiver.is_quarantined("f", NOW + 1.0)
    # Hosts of other data centres may hear from the receiver only.
    assert set(receiver.dismissals_to_share(NOW + 1.0)) == set(dismissals)
    later = NOW + CRASH_SHARING_SECONDS + 2.0
    assert sender.dismissals_to_share(later) == ()


def test_dismissals_take_turns_in_heartbeats():
    quarantine = Quarantine()
    names = [f"s{number}" for number in range(2 * MAX_SHARED_DISMISSALS)]
    add_crashes(quarantine, "f", *(("s", name, 1, False) for name in names))
    quarantine.record_response("f", "s", NOW + 0.1)
    shared = [quarantine.dismissals_to_share(NOW + 0.1) for _ in range(2)]
    assert [len(each) for each in shared] == [MAX_SHARED_DISMISSALS] * 2
    assert {each.server for each in sum(shared, ())} == set(names)


def test_every_request_is_reported_while_it_is_quarantined():
    """Other hosts may start, or be reached again, at any time."""
    sender, receiver = (SimulatedGateway({}) for _ in range(2))
    quarantine = Quarantine()
    fingerprints = [f"f{number}" for number in range(6)]
    for fingerprint in fingerprints:
        add_crashes(
            quarantine, fingerprint, *((name, name, 1, True) for name in "abcde")
        )
    now = sender.timers.now()
    monitor = CrashMonitor(
        Quarantine(), receiver.context.log, receiver.context.metrics, receiver.timers
    )
    for _ in fingerprints:
        reports = quarantine.reports_to_share(NOW + CRASH_SHARING_SECONDS + 1.0)
        assert len(reports) <= MAX_SHARED_CRASHES
        monitor.record_reports(reports, SOURCE_PEER)
    for fingerprint in fingerprints:
        assert monitor.quarantine.is_quarantined(fingerprint, now)
    # The receiver reports the crashes with their age, so they expire everywhere.
    reports = monitor.quarantine.reports_to_share(now)
    assert all(report.age > CRASH_SHARING_SECONDS for report in reports)


def test_crashes_below_the_threshold_are_reported_again_to_a_host_that_is_found():
    quarantine = Quarantine()
    add_crashes(quarantine, "f", ("s", "a", 1, True), ("s", "b", 1, True))
    later = NOW + CRASH_SHARING_SECONDS + 1.0
    assert quarantine.reports_to_share(later) == ()
    quarantine.share_again(later)
    reports = quarantine.reports_to_share(later)
    assert {report.server for report in reports} == {"a", "b"}
    assert quarantine.reports_to_share(later + CRASH_SHARING_SECONDS + 1.0) == ()


@pytest.mark.anyio
async def test_crashes_are_reported_at_once_and_together():
    gateway = SimulatedGateway({})
    reports = []
    context = gateway.context
    monitor = CrashMonitor(
        Quarantine(),
        context.log,
        context.metrics,
        gateway.timers,
        lambda: reports.append(gateway.timers.now()),
    )
    crash = Crash("s", "a", 1, gateway.timers.now())
    monitor.record_crash("f", crash, SOURCE_PEER)
    for server in "bcb":
        monitor.record_crash("f", replace(crash, server=server), SOURCE_OWN)
    await gateway.timers.advance(1.0)
    assert len(reports) == 1
    monitor.record_crash("f", replace(crash, server="d"), SOURCE_OWN)
    await gateway.timers.advance(1.0)
    assert len(reports) == 2


def test_crash_is_reported_after_those_of_later_requests():
    quarantine = Quarantine()
    add_crashes(quarantine, "a", ("s", "s1", 1, True))
    add_crashes(quarantine, "b", ("s", "s1", 1, True))
    later = NOW + CRASH_SHARING_SECONDS + 6.0
    for name in ("s2", "s3"):
        quarantine.record_crash("a", Crash("s", name, 1, later, True), later)
    reports = quarantine.reports_to_share(later)
    assert {report.server for report in reports} == {"s1", "s2", "s3"}
    assert {report.fingerprint for report in reports} == {"a"}
