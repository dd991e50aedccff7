import pytest

from crocusbay.coordination import (
    Admission,
    Membership,
    ObjectCache,
    Quarantine,
    order_entries,
)
from crocusbay.coordination.budget import Budget
from crocusbay.coordination.membership import FORGET_SECONDS, LOST_SECONDS
from crocusbay.coordination.quarantine import (
    MAX_ENTRIES,
    STRIKE_LIFETIME_SECONDS,
    fingerprint,
)
from crocusbay.protocol.peer import Strike
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
        cache.offer([StoredObject(key, version, b"")], version)
    assert {key: each.version for key, each in cache.by_key.items()} == kept
    assert len(changes) == len(set(changes))
    assert cache.revision == 2


def test_extra_requests_stay_within_budget():
    budget = Budget(ratio=0.1, burst=5.0)
    spent = 0
    for _ in range(1_000):
        budget.earn()
        spent += budget.spend()
    assert spent <= 0.1 * 1_000 + 5


def test_admission_rejects_beyond_limit_with_retry_after():
    admission = Admission(2)
    assert [admission.enter() for _ in range(3)] == [True, True, False]
    assert admission.retry_after > 0
    admission.leave(0.1)
    assert admission.enter()


def test_silent_host_is_lost_then_removed():
    clock = FakeClock()
    membership = Membership("host-1", clock)
    assert membership.take(member("host-2"))
    clock.seconds = LOST_SECONDS + 0.1
    assert [each.name for each in membership.tick()] == ["host-2"]
    assert membership.live == []
    assert membership.host_count == 2
    clock.seconds = FORGET_SECONDS + 0.1
    membership.tick()
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
    membership.take(first)
    membership.take(second)
    assert membership.by_name["h"].member.beat == kept


def test_host_leaving_by_heartbeat_or_platform_list_is_not_serving():
    membership = Membership("host-1", FakeClock())
    membership.take(member("host-2", is_leaving=True))
    membership.take(member("host-3"))
    membership.take(member("host-4"))
    listed = ListedHost("host-3", "a", "host-3:80", "host-3:81", is_leaving=True)
    membership.take_list([listed])
    assert [each.name for each in membership.serving] == ["host-4"]


def test_entries_begin_with_data_centre_of_caller():
    members = [member("far", place="b"), member("near", place="a")]
    for _ in range(20):
        assert order_entries(members, "a") == ("near:80", "far:80")


def test_entries_split_callers_in_proportion_to_headroom():
    busy = member("busy", load=Load(75, 100))
    free = member("free", load=Load(25, 100))
    firsts = [order_entries([busy, free], "a")[0] for _ in range(4_000)]
    assert 0.20 <= firsts.count("busy:80") / 4_000 <= 0.30


def test_quarantine_needs_two_servers_and_expires():
    clock = FakeClock()
    quarantine = Quarantine(clock)
    request = fingerprint("shop", "/documents/7")
    quarantine.strike(Strike(request, "price", "price.1"))
    quarantine.strike(Strike(request, "price", "price.1"))
    assert not quarantine.holds(request, "price")
    quarantine.strike(Strike(request, "price", "price.2"))
    assert quarantine.holds(request, "price")
    assert not quarantine.holds(request, "orders")
    clock.seconds = STRIKE_LIFETIME_SECONDS + 1
    assert not quarantine.holds(request, "price")


def test_quarantine_notifies_subscribers_once():
    quarantine = Quarantine(FakeClock())
    notifications = []
    quarantine.subscribe(lambda: notifications.append("quarantined"))
    for upstream in ("price.1", "price.1", "price.2", "price.2", "price.3"):
        quarantine.strike(Strike("bad", "price", upstream))
    assert notifications == ["quarantined"]


def test_quarantine_is_shared_and_bounded():
    quarantine, other = Quarantine(FakeClock()), Quarantine(FakeClock())
    for number in range(MAX_ENTRIES + 10):
        quarantine.strike(Strike(f"f{number}", "price", "price.1"))
    quarantine.strike(Strike("bad", "price", "price.1"))
    quarantine.strike(Strike("bad", "price", "price.2"))
    for strike in quarantine.shared():
        other.strike(strike)
    assert other.holds("bad", "price")
    assert len(quarantine._by_request) == MAX_ENTRIES
