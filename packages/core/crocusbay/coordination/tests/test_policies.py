import pytest

from crocusbay.coordination import (
    AdmissionControl,
    Membership,
    ObjectCache,
    Quarantine,
    rank_entry_addresses,
)
from crocusbay.coordination.membership import (
    LOSS_TIMEOUT_SECONDS,
    LOST_HOST_RETENTION_SECONDS,
)
from crocusbay.coordination.quarantine import (
    CRASH_RETENTION_SECONDS,
    MAX_FINGERPRINTS,
    request_fingerprint,
)
from crocusbay.coordination.retry_budget import RetryBudget
from crocusbay.protocol.peer import CrashReport
from crocusbay.protocol.platform import ListedHost, StoredObject
from crocusbay.state import Load, Member


class FakeClock:
    def __init__(self):
        self.seconds = 0.0

    def __call__(self):
        return self.seconds


def member(name, place="a", incarnation=1, beat=1, **fields):
    return Member(name, place, f"{name}:80", f"{name}:81", incarnation, beat, **fields)


@pytest.mark.parametrize(
    ("offers", "kept"),
    [
        ([("k", 1), ("k", 2)], {"k": 2}),
        ([("k", 2), ("k", 1)], {"k": 2}),
        ([("k", 2), ("k", 2)], {"k": 2}),
        ([("k", 2), ("j", 1)], {"k": 2, "j": 1}),
    ],
)
def test_object_never_reverts(offers, kept):
    cache = ObjectCache()
    changes = []
    cache.subscribe(lambda stored: changes.append((stored.key, stored.version)))
    for key, version in offers:
        cache.merge([StoredObject(key, version, b"")], version)
    assert {key: each.version for key, each in cache.by_key.items()} == kept
    assert len(changes) == len(set(changes))
    assert cache.revision == 2


def test_extra_requests_stay_within_budget():
    budget = RetryBudget(ratio=0.1, burst=5.0)
    spent = 0
    for _ in range(1_000):
        budget.deposit()
        spent += budget.try_spend()
    assert spent <= 0.1 * 1_000 + 5


def test_admission_rejects_beyond_limit_with_retry_after():
    admission = AdmissionControl(2)
    assert [admission.try_acquire() for _ in range(3)] == [True, True, False]
    assert admission.retry_after > 0
    admission.release(0.1)
    assert admission.try_acquire()


def test_silent_host_is_lost_then_removed():
    clock = FakeClock()
    membership = Membership("host-1", clock)
    assert membership.update(member("host-2"))
    clock.seconds = LOSS_TIMEOUT_SECONDS + 0.1
    assert [each.name for each in membership.expire()] == ["host-2"]
    assert membership.live == []
    assert membership.host_count == 2
    clock.seconds = LOST_HOST_RETENTION_SECONDS + 0.1
    membership.expire()
    assert membership.host_count == 1


@pytest.mark.parametrize(
    ("first", "second", "kept"),
    [
        (member("h", beat=5), member("h", beat=4), 5),
        (member("h", beat=5), member("h", beat=6), 6),
        (member("h", incarnation=1, beat=5), member("h", incarnation=2, beat=1), 1),
        (member("h", incarnation=2, beat=1), member("h", incarnation=1, beat=9), 1),
    ],
)
def test_newer_description_of_host_is_kept(first, second, kept):
    membership = Membership("host-1", FakeClock())
    membership.update(first)
    membership.update(second)
    assert membership.by_name["h"].member.beat == kept


def test_host_leaving_by_heartbeat_or_platform_list_is_not_serving():
    membership = Membership("host-1", FakeClock())
    membership.update(member("host-2", is_leaving=True))
    membership.update(member("host-3"))
    membership.update(member("host-4"))
    listed = ListedHost("host-3", "a", "host-3:80", "host-3:81", is_leaving=True)
    membership.set_platform_hosts([listed])
    assert [each.name for each in membership.serving] == ["host-4"]


def test_entry_addresses_begin_in_data_centre_of_caller():
    members = [member("far", place="b"), member("near", place="a")]
    for _ in range(20):
        assert rank_entry_addresses(members, "a") == ("near:80", "far:80")


def test_entry_addresses_split_callers_in_proportion_to_headroom():
    busy = member("busy", load=Load(75, 100))
    free = member("free", load=Load(25, 100))
    firsts = [rank_entry_addresses([busy, free], "a")[0] for _ in range(4_000)]
    assert 0.20 <= firsts.count("busy:80") / 4_000 <= 0.30


def test_quarantine_needs_two_servers_and_expires():
    clock = FakeClock()
    quarantine = Quarantine(clock)
    fingerprint = request_fingerprint("shop", "/documents/7")
    quarantine.record_crash(CrashReport(fingerprint, "price", "price.1"))
    quarantine.record_crash(CrashReport(fingerprint, "price", "price.1"))
    assert not quarantine.is_quarantined(fingerprint, "price")
    quarantine.record_crash(CrashReport(fingerprint, "price", "price.2"))
    assert quarantine.is_quarantined(fingerprint, "price")
    assert not quarantine.is_quarantined(fingerprint, "orders")
    clock.seconds = CRASH_RETENTION_SECONDS + 1
    assert not quarantine.is_quarantined(fingerprint, "price")


def test_quarantine_notifies_subscribers_once():
    quarantine = Quarantine(FakeClock())
    notifications = []
    quarantine.subscribe(lambda: notifications.append("quarantined"))
    for upstream in ("price.1", "price.1", "price.2", "price.2", "price.3"):
        quarantine.record_crash(CrashReport("bad", "price", upstream))
    assert notifications == ["quarantined"]


def test_quarantine_ends_although_hosts_report_the_crashes_to_each_other():
    clock = FakeClock()
    first, second = Quarantine(clock), Quarantine(clock)
    for upstream in ("price.1", "price.2"):
        first.record_crash(CrashReport("bad", "price", upstream))
    while clock.seconds <= CRASH_RETENTION_SECONDS:
        for sender, receiver in ((first, second), (second, first)):
            for crash in sender.recent_crashes():
                receiver.record_crash(crash)
            assert receiver.is_quarantined("bad", "price")
        clock.seconds += 10.0
    for sender, receiver in ((first, second), (second, first)):
        for crash in sender.recent_crashes():
            receiver.record_crash(crash)
        assert not receiver.is_quarantined("bad", "price")


def test_quarantine_is_shared_and_bounded():
    quarantine, other = Quarantine(FakeClock()), Quarantine(FakeClock())
    for number in range(MAX_FINGERPRINTS + 10):
        quarantine.record_crash(CrashReport(f"f{number}", "price", "price.1"))
    quarantine.record_crash(CrashReport("bad", "price", "price.1"))
    quarantine.record_crash(CrashReport("bad", "price", "price.2"))
    for crash in quarantine.recent_crashes():
        other.record_crash(crash)
    assert other.is_quarantined("bad", "price")
    assert len(quarantine._crashes_by_key) == MAX_FINGERPRINTS
