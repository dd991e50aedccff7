import pytest

from crocusbay.state import Event, EventKind, HybridClock, Stamp, merge_events
from crocusbay.state.stamp import MAX_CLOCK_SKEW_MICROS


def test_now_advances_while_wall_clock_stands_still():
    clock = HybridClock(wall=lambda: 100)
    assert [clock.now(), clock.now()] == [Stamp(100), Stamp(100, 1)]


@pytest.mark.parametrize(
    ("observed", "expected"),
    [
        (Stamp(50), Stamp(100)),
        (Stamp(200, 7), Stamp(200, 8)),
        (Stamp(100 + MAX_CLOCK_SKEW_MICROS + 1), Stamp(100)),
        (None, Stamp(100)),
    ],
)
def test_observe(observed, expected):
    clock = HybridClock(wall=lambda: 100)
    clock.observe(observed)
    assert clock.now() == expected


def test_merge_puts_cause_before_effect_when_clocks_differ():
    ahead = HybridClock(wall=lambda: 5_000)
    behind = HybridClock(wall=lambda: 1_000)
    cause = Event(ahead.now(), "host-1", EventKind.REQUEST_STARTED)
    behind.observe(cause.stamp)
    effect = Event(behind.now(), "upstream", EventKind.UPSTREAM_RAN)
    assert merge_events([effect], [cause]) == [cause, effect]
