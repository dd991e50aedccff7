import pytest

from crocusbay.state import Cause, NotRun
from crocusbay_gateway.coordination.refusal import (
    JITTER_RATIO,
    RETRY_AFTER_SECONDS_BY_CAUSE,
    reply_to_failure,
)

EXPECTED = RETRY_AFTER_SECONDS_BY_CAUSE[Cause.OVERLOAD]


@pytest.mark.parametrize(
    ("verdict", "remaining_time", "earliest", "latest"),
    [
        (
            NotRun(Cause.OVERLOAD),
            9.0,
            EXPECTED * (1 - JITTER_RATIO),
            EXPECTED * (1 + JITTER_RATIO),
        ),
        # A known time is never told too early, except to callers with no time left.
        (NotRun(Cause.SERVER_LIMIT, 1.0), 9.0, 1.0, 1.0 + JITTER_RATIO),
        (NotRun(Cause.SERVER_LIMIT, 1.0), 0.9, 0.3, 0.3),
    ],
)
def test_retry_time_depends_on_what_is_known(verdict, remaining_time, earliest, latest):
    for _ in range(50):
        reply = reply_to_failure(verdict, remaining_time)
        assert reply.status == 503
        assert earliest - 1e-9 <= reply.retry_after <= latest + 1e-9
