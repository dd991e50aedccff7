import pytest

from crocusbay_gateway.coordination.attempt import RouteLatency
from crocusbay_gateway.coordination.planned_stop import (
    NOTICE_SECONDS,
    PlannedStop,
    entry_lifetime,
    plan_stop,
)

STOP = plan_stop(100.0, 6.0)
GOAL_SECONDS = 0.3


def test_times_of_a_stop_are_in_order_and_before_its_end():
    assert PlannedStop(listen_until=104.2, answer_by=105.5, end_by=105.75) == STOP


@pytest.mark.parametrize(
    ("now", "expected_time", "accepts_idempotent", "accepts_other"),
    [
        # Early in the stop, what fits in the rest of it.
        (100.0, 0.3, True, True),
        (100.0, 2.7, True, True),
        (100.0, 2.8, True, False),
        (100.0, 5.5, True, False),
        (100.0, 5.6, False, False),
        # Late, even what is usually quick is refused.
        (104.8, 0.3, True, True),
        (105.0, 0.3, True, False),
        (105.3, 0.3, False, False),
        # After the last answers nothing fits.
        (105.6, 0.0, False, False),
    ],
)
def test_requests_that_would_not_end_before_the_stop_are_refused(
    now, expected_time, accepts_idempotent, accepts_other
):
    accepts = [
        STOP.accepts(now, expected_time, is_idempotent=is_idempotent)
        for is_idempotent in (True, False)
    ]
    assert accepts == [accepts_idempotent, accepts_other]


@pytest.mark.parametrize(
    ("samples", "low", "high"),
    [
        ([], GOAL_SECONDS, GOAL_SECONDS),
        ([0.01, 0.02], GOAL_SECONDS, GOAL_SECONDS),
        # One slow attempt counts at once, and less with each later one.
        ([0.01, 3.0], 3.0, 3.0),
        ([3.0] + 50 * [0.01], 1.0, 2.0),
        ([3.0] + 500 * [0.01], GOAL_SECONDS, GOAL_SECONDS),
    ],
)
def test_expected_time_is_that_of_the_slowest_recent_attempt(samples, low, high):
    latency = RouteLatency(GOAL_SECONDS)
    for sample in samples:
        latency.add_sample(sample)
    assert low <= latency.expected_time <= high


@pytest.mark.parametrize("stop_time", [1.0, 2.0, 6.0, 30.0])
def test_addresses_expire_while_a_leaving_host_listens(stop_time):
    """Callers keep them for as long as that, to send requests without a look-up."""
    lifetime = entry_lifetime(stop_time)
    named_until = NOTICE_SECONDS
    listen_until = plan_stop(0.0, stop_time).listen_until
    assert named_until + lifetime == pytest.approx(listen_until)
