import pytest

from crocusbay_gateway.coordination.views import (
    OUTAGE_AGE_SECONDS,
    REMOVAL_DELAY_SECONDS,
    REVIVAL_MARGIN_SECONDS,
    UNPOLLED_AGE_SECONDS,
    ConfigurationView,
    ServersView,
)
from crocusbay_gateway.state import Configuration, ServerEntry, make_revision


def entry(name="x", revision=1, **fields):
    return ServerEntry(name, revision, "s", "10.0.0.1:80", "a", **fields)


def removed(name="x", revision=2):
    return ServerEntry(name, revision, is_removed=True)


@pytest.mark.parametrize(
    ("updates", "expected_version"),
    [
        ([(1, 1), (2, 5)], 5),
        ([(2, 5), (1, 1)], 5),
        ([(2, 5), (3, 4)], 5),
        ([(2, 5), (2, 5)], 5),
        # The store was restored from an older copy.
        ([(9, 5), (make_revision(2, 1), 3)], 5),
        ([(9, 5), (make_revision(2, 1), 3), (make_revision(2, 2), 6)], 6),
        ([(make_revision(2, 1), 3), (9, 5)], 5),
    ],
)
def test_older_configuration_is_ignored(updates, expected_version):
    view = ConfigurationView()
    for revision, version in updates:
        view.update(revision, Configuration(version), 0.0)
    assert view.configuration.version == expected_version


@pytest.mark.parametrize(
    ("changes", "is_usable"),
    [
        ([entry()], True),
        ([entry(), removed()], False),
        ([entry(revision=3), removed(revision=3)], False),
        ([entry(), removed(), entry(revision=4)], True),
        ([entry(), entry(revision=2, is_draining=True)], False),
        # An older change that arrives late is ignored.
        ([entry(revision=5, is_draining=True), entry(revision=3)], False),
    ],
)
def test_newest_entry_of_a_server_is_used(changes, is_usable):
    view = ServersView()
    for change in changes:
        view.update([change], change.revision, 10.0)
    assert view.by_name["x"].is_usable == is_usable


@pytest.mark.parametrize(
    ("gap", "has_failed_calls", "after", "is_present"),
    [
        # Without an outage, a removal is applied at once.
        (0.5, False, 0.0, False),
        (0.5, True, 0.0, False),
        # No host polled for a while, but the store did not fail.
        (OUTAGE_AGE_SECONDS + 1, False, 0.0, False),
        # After an outage, the server has time to write its entry again.
        (OUTAGE_AGE_SECONDS + 1, True, 0.0, True),
        (OUTAGE_AGE_SECONDS + 1, True, REMOVAL_DELAY_SECONDS + 0.1, False),
        (UNPOLLED_AGE_SECONDS + 1, False, 0.0, True),
        (UNPOLLED_AGE_SECONDS + 1, False, REMOVAL_DELAY_SECONDS + 0.1, False),
    ],
)
def test_removals_after_an_outage_are_delayed(gap, has_failed_calls, after, is_present):
    view = ServersView()
    view.update([entry()], 1, 100.0)
    outage_end = 100.0 + gap
    view.replace_all([], 5, outage_end, has_failed_calls=has_failed_calls)
    if after:
        for step in range(10):
            view.update([], 6 + step, outage_end + after * (step + 1) / 10)
    assert (not view.by_name["x"].is_removed) == is_present


@pytest.mark.parametrize(
    ("gap", "after", "is_present"),
    [
        (UNPOLLED_AGE_SECONDS - 0.1, 0.1, False),
        (UNPOLLED_AGE_SECONDS + 1, 0.1, True),
        (UNPOLLED_AGE_SECONDS + 1, REMOVAL_DELAY_SECONDS + 0.1, False),
    ],
)
@pytest.mark.parametrize("is_merged", [True, False])
def test_removals_are_delayed_if_a_peer_polls_first_after_an_outage(
    gap, after, is_present, is_merged
):
    view = ServersView()
    view.update([entry()], 1, 100.0)
    outage_end = 100.0 + gap
    if is_merged:
        view.merge([entry("y", 2)], (2, 0), 2, outage_end)
    else:
        view.confirm(1, 2, outage_end)
    view.update([removed(revision=3)], 3, outage_end + after)
    assert (not view.by_name["x"].is_removed) == is_present


@pytest.mark.parametrize("pause", [0.0, 1.0])
def test_changes_may_have_been_unknown_since_the_first_of_several_outages(pause):
    view = ServersView()
    view.update([entry()], 1, 100.0)
    view.replace_all([entry()], 2, 110.0, has_failed_calls=True)
    view.update([], 3, 110.0 + pause)
    again_at = 110.0 + pause + OUTAGE_AGE_SECONDS + 0.1
    view.replace_all([], 4, again_at, has_failed_calls=True)
    assert view.unknown_for(again_at) >= again_at - 100.0


def test_entry_written_again_after_an_outage_stays():
    view = ServersView()
    view.update([entry()], 1, 100.0)
    view.replace_all([], 5, 110.0)
    view.update([entry(revision=7)], 8, 111.0)
    view.update([], 9, 113.0)
    assert view.by_name["x"].is_usable


def test_merged_view_keeps_its_age():
    first, second = ServersView(), ServersView()
    first.update([entry("x", 1), entry("y", 4)], 6, 50.0)
    second.merge(first.changed_since(0), first.cursor, first.seen_revision, 49.5)
    assert second.by_name == first.by_name
    assert second.age(51.0) == pytest.approx(1.5)
    # A view without the newest change of this one does not confirm it.
    second.confirm(revision=2, seen_revision=3, confirmed_at=60.0)
    assert second.age(61.0) == pytest.approx(11.5)


def test_confirmation_by_a_peer_does_not_skip_a_returned_entry():
    """Simulate two hosts that poll alternately after an outage of the store.

    If the peer's confirmation advanced `seen_revision`, this view would not read that
    the entry was written again, and would remove it.
    """
    view = ServersView()
    view.update([entry()], 1, 100.0)
    view.update([removed(revision=3)], 3, 110.0)
    # The peer has read the entry written again unchanged, so its revision is the same.
    view.confirm(revision=1, seen_revision=9, confirmed_at=111.0)
    assert view.seen_revision == 3
    assert view.age(111.0) == 0.0
    view.update([entry(revision=4)], 10, 113.0)
    view.update([], 11, 116.0)
    assert view.by_name["x"].is_usable
    view.confirm(revision=1, seen_revision=12, confirmed_at=117.0)
    assert view.seen_revision == 12


def test_new_host_uses_the_view_of_a_peer_that_delays_removals():
    peer = ServersView()
    peer.update([entry(), entry("z")], 1, 100.0)
    peer.update([removed(revision=2)], 2, 110.0)
    # Another host applied a later change, up to which this one has not read.
    peer.merge([entry("y", 5)], (5, 0), 6, 110.1)
    view = ServersView()
    entries = peer.changed_since(0)
    view.merge(entries, peer.cursor, peer.seen_revision, 110.2)
    assert view.seen_revision == peer.seen_revision
    view.confirm(5, 6, 110.3)
    assert view.age(110.4) < 1.0


def test_removal_in_a_peer_view_is_applied():
    view = ServersView()
    view.update([entry()], 1, 100.0)
    view.update([removed(revision=3)], 3, 110.0)
    view.merge([removed(revision=9)], (9, 0), 9, 113.0)
    assert view.by_name["x"].is_removed
    view.confirm(revision=9, seen_revision=10, confirmed_at=114.0)
    assert view.seen_revision == 10


def fetch(receiver, sender, now):
    """Merge another host's view as hosts do, if the receiver is behind."""
    if sender.cursor > receiver.cursor:
        receiver.merge(
            sender.changed_since(receiver.revision),
            sender.cursor,
            sender.seen_revision,
            now,
        )


def test_delayed_removal_reaches_a_host_that_knows_the_later_changes():
    """Simulate a store that changes nothing more after the delayed removal."""
    first, second = ServersView(), ServersView()
    first.update([entry("x", 1), entry("y", 2)], 2, 100.0)
    fetch(second, first, 100.0)
    changes = [removed("x", 3), entry("y", 4, is_draining=True)]
    first.update(changes, 4, 110.0)
    fetch(second, first, 110.0)
    assert second.by_name["x"].is_usable
    assert not second.by_name["y"].is_usable
    for now in (111.0, 112.0, 113.0):
        first.update([], 4, now)
    assert first.by_name["x"].is_removed
    fetch(second, first, 114.0)
    assert second.by_name["x"].is_removed
    assert second.cursor == first.cursor


def test_change_during_a_list_reaches_hosts_that_know_a_later_one():
    """Simulate a list in pages: y is on the second, x changes after the first."""
    first, second = ServersView(), ServersView()
    first.replace_all([entry("x", 2), entry("y", 9)], 5, 100.0)
    fetch(second, first, 100.0)
    assert second.by_name["y"].revision == 9
    first.update([entry("x", 7, is_draining=True), entry("y", 9)], 9, 101.0)
    fetch(second, first, 101.0)
    assert not second.by_name["x"].is_usable


RESTORED_AT = 100.0
LEASE_SECONDS = 3.6
REVIVED_AT = RESTORED_AT + LEASE_SECONDS + REVIVAL_MARGIN_SECONDS


def restored(number):
    return make_revision(2, number)


@pytest.mark.parametrize(
    ("known", "copy", "is_delayed"),
    [
        (removed(revision=9), entry(revision=3), True),
        (entry(revision=9, is_draining=True), entry(revision=3), True),
        # The copy has an earlier process of the same name.
        (entry(revision=9, started_at=20), entry(revision=3, started_at=10), True),
        # A process that has started since the copy.
        (removed(revision=9), entry(revision=12, started_at=30), False),
        (entry(revision=9), entry(revision=12, is_draining=True), False),
    ],
)
@pytest.mark.parametrize("is_merged", [True, False])
def test_entries_of_an_older_copy_are_applied_once_their_leases_would_have_ended(
    known, copy, is_delayed, is_merged
):
    view = ServersView(LEASE_SECONDS)
    view.update([entry(started_at=20)], 1, RESTORED_AT - 2.0)
    view.update([known], 9, RESTORED_AT - 1.0)
    before = view.by_name["x"]
    listed = ServerEntry(
        "x",
        restored(copy.revision),
        "s",
        "10.0.0.1:80",
        "a",
        is_draining=copy.is_draining,
        started_at=copy.started_at or 20,
    )
    if is_merged:
        cursor = listed.revision, 0
        view.merge([listed], cursor, restored(12), RESTORED_AT)
    else:
        view.replace_all([listed], restored(12), RESTORED_AT)
    assert (view.by_name["x"] == before) == is_delayed
    view.update([], restored(13), REVIVED_AT - 0.1)
    assert (view.by_name["x"] == before) == is_delayed
    view.confirm(view.revision, restored(13), REVIVED_AT + 0.1)
    assert view.by_name["x"].is_draining == copy.is_draining
    assert view.by_name["x"].started_at == listed.started_at


def test_removal_that_the_view_knew_reaches_hosts_that_read_the_older_copy():
    known, fresh = ServersView(LEASE_SECONDS), ServersView(LEASE_SECONDS)
    known.update([entry(started_at=20)], 1, RESTORED_AT - 2.0)
    known.update([removed(revision=9)], 9, RESTORED_AT - 1.0)
    copy = entry(revision=restored(3), started_at=20)
    for view in (known, fresh):
        view.replace_all([copy], restored(12), RESTORED_AT)
    assert fresh.by_name["x"].is_usable
    known.update([removed(revision=restored(13))], restored(13), RESTORED_AT + 1.0)
    assert known.cursor > fresh.cursor
    fresh.merge(
        known.changed_since(fresh.revision),
        known.cursor,
        known.seen_revision,
        RESTORED_AT + 1.0,
    )
    assert fresh.by_name["x"].is_removed
    for view in (known, fresh):
        view.update([], restored(14), REVIVED_AT + 1.0)
        assert view.by_name["x"].is_removed


def test_servers_missing_from_an_older_copy_have_time_to_write_again():
    view = ServersView(LEASE_SECONDS)
    view.update([entry()], 9, RESTORED_AT)
    view.replace_all([], restored(4), RESTORED_AT + 0.1)
    assert view.by_name["x"].is_usable
    view.update([], restored(5), RESTORED_AT + REMOVAL_DELAY_SECONDS + 0.2)
    assert view.by_name["x"].is_removed


def test_response_from_before_a_restore_changes_nothing():
    view = ServersView()
    view.update([entry(revision=restored(3))], restored(4), 100.0)
    view.replace_all([], 90, 101.0)
    assert view.by_name["x"].is_usable
    assert view.confirmed_at == 100.0


@pytest.mark.parametrize("started_at", [0, 20])
def test_removal_in_a_new_era_reaches_other_hosts_at_once(started_at):
    """Hosts of the previous version send removals without the process's start."""
    view = ServersView(LEASE_SECONDS)
    view.update([entry(started_at=20)], 9, RESTORED_AT - 1.0)
    view.confirm(9, restored(10), RESTORED_AT)
    removal = ServerEntry("x", restored(11), is_removed=True, started_at=started_at)
    view.merge([removal], (removal.revision, 0), restored(11), RESTORED_AT + 3.0)
    assert view.by_name["x"].is_removed
