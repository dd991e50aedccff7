import pytest

from crocusbay_gateway.coordination.views import (
    OUTAGE_SECONDS,
    RETURN_SECONDS,
    ConfigurationView,
    ServersView,
)
from crocusbay_gateway.state import Configuration, ServerEntry


def entry(name="x", revision=1, **fields):
    return ServerEntry(name, revision, "s", "10.0.0.1:80", "a", **fields)


def gone(name="x", revision=2):
    return ServerEntry(name, revision, is_gone=True)


@pytest.mark.parametrize(
    ("offers", "version"),
    [
        ([(1, 1), (2, 5)], 5),
        ([(2, 5), (1, 1)], 5),
        ([(2, 5), (3, 4)], 5),
        ([(2, 5), (2, 5)], 5),
    ],
)
def test_configuration_never_goes_back(offers, version):
    view = ConfigurationView()
    for revision, offered in offers:
        view.offer(revision, Configuration(offered), 0.0)
    assert view.configuration.version == version


@pytest.mark.parametrize(
    ("changes", "usable"),
    [
        ([entry()], True),
        ([entry(), gone()], False),
        ([entry(revision=3), gone(revision=3)], False),
        ([entry(), gone(), entry(revision=4)], True),
        ([entry(), entry(revision=2, is_draining=True)], False),
        # What is older comes too late.
        ([entry(revision=5, is_draining=True), entry(revision=3)], False),
    ],
)
def test_newest_entry_of_a_server_counts(changes, usable):
    view = ServersView()
    for change in changes:
        view.update([change], change.revision, 10.0)
    assert view.by_name["x"].is_usable == usable


@pytest.mark.parametrize(
    ("gap", "after", "is_there"),
    [
        # Without an outage a removal counts at once.
        (0.5, 0.0, False),
        # After one, the server has the time to write its entry again.
        (OUTAGE_SECONDS + 1, 0.0, True),
        (OUTAGE_SECONDS + 1, RETURN_SECONDS + 0.1, False),
    ],
)
def test_entries_that_lapsed_in_an_outage_have_the_time_to_return(gap, after, is_there):
    view = ServersView()
    view.update([entry()], 1, 100.0)
    back_at = 100.0 + gap
    view.replace_all([], 5, back_at)
    if after:
        for step in range(10):
            view.update([], 6 + step, back_at + after * (step + 1) / 10)
    assert (not view.by_name["x"].is_gone) == is_there


def test_entry_that_returned_stays():
    view = ServersView()
    view.update([entry()], 1, 100.0)
    view.replace_all([], 5, 110.0)
    view.update([entry(revision=7)], 8, 111.0)
    view.update([], 9, 113.0)
    assert view.by_name["x"].is_usable


def test_view_handed_on_is_as_fresh_as_it_was():
    first, second = ServersView(), ServersView()
    first.update([entry("x", 1), entry("y", 4)], 6, 50.0)
    second.merge(first.changed_after(0), first.revision, first.seen, 49.5)
    assert second.by_name == first.by_name
    assert second.age(51.0) == pytest.approx(1.5)
    # A view that lacks this one's newest change says nothing of it.
    second.confirm(revision=2, seen=3, fresh_at=60.0)
    assert second.age(61.0) == pytest.approx(11.5)


def test_word_of_a_peer_hides_no_return_of_an_entry_that_lapsed():
    """Replays two hosts that poll in turn once the store is back."""
    view = ServersView()
    view.update([entry()], 1, 100.0)
    view.update([gone(revision=3)], 3, 110.0)
    # The peer has seen the entry return unchanged, so its view has no newer change.
    view.confirm(revision=1, seen=9, fresh_at=111.0)
    assert view.seen == 3
    assert view.age(111.0) == 0.0
    view.update([entry(revision=4)], 10, 113.0)
    view.update([], 11, 116.0)
    assert view.by_name["x"].is_usable
    view.confirm(revision=1, seen=12, fresh_at=117.0)
    assert view.seen == 12


def test_word_of_a_peer_that_an_entry_is_gone_counts():
    view = ServersView()
    view.update([entry()], 1, 100.0)
    view.update([gone(revision=3)], 3, 110.0)
    view.merge([gone(revision=9)], 9, 9, 113.0)
    assert view.by_name["x"].is_gone
    view.confirm(revision=9, seen=10, fresh_at=114.0)
    assert view.seen == 10
