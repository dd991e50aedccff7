"""Replies to requests that are not served, with randomized retry times.

Without jitter, refused callers would all retry at the same moment. The delay depends on
how long the cause of the refusal is expected to last.
"""

import random

from crocusbay.state import Cause, MayHaveRun, NotRun, Verdict
from crocusbay_gateway.state import Reply

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Expected duration of each cause of a refusal.
RETRY_AFTER_SECONDS_BY_CAUSE = {
    Cause.SHED: 0.15,
    Cause.OVERLOAD: 0.25,
    Cause.NO_CONNECTION: 0.15,
    Cause.CONNECT_FAILED: 0.4,
    Cause.NO_UPSTREAM: 0.8,
    Cause.QUARANTINED: 60.0,
    Cause.PLATFORM_UNAVAILABLE: 0.3,
    Cause.DRAINING: 0.02,
    Cause.HOST_LEAVING: 0.02,
}
DEFAULT_RETRY_AFTER_SECONDS = 0.2
JITTER_RATIO = 0.5


def make_refusal(
    cause: Cause, remaining_time: float | None = None, retry_after: float = 0.0
) -> Reply:
    """Return a reply stating that the request was not executed.

    `remaining_time` is the time until the caller's deadline (seconds); the retry is due
    within a third of it. `retry_after` is when the cause is expected to have ended
    (seconds), or 0 if that is only known from the kind of cause.
    """
    if retry_after:
        retry_after *= random.uniform(1.0, 1.0 + JITTER_RATIO)
    else:
        retry_after = RETRY_AFTER_SECONDS_BY_CAUSE.get(
            cause, DEFAULT_RETRY_AFTER_SECONDS
        ) * random.uniform(1.0 - JITTER_RATIO, 1.0 + JITTER_RATIO)
    if remaining_time is not None and cause is not Cause.QUARANTINED:
        retry_after = min(retry_after, max(0.01, remaining_time / 3))
    return Reply(
        STATUS_UNAVAILABLE, retry_after=retry_after, outcome=f"not-run {cause}"
    )


def reply_to_failure(verdict: Verdict, remaining_time: float) -> Reply:
    """Return the reply to a failed request, given the remaining time (seconds)."""
    match verdict:
        case NotRun(cause, retry_after):
            return make_refusal(cause, remaining_time, retry_after)
        case MayHaveRun(Cause.DEADLINE as cause):
            return Reply(STATUS_GATEWAY_TIMEOUT, outcome=f"may-have-run {cause}")
        case MayHaveRun(cause):
            return Reply(STATUS_BAD_GATEWAY, outcome=f"may-have-run {cause}")
        case _:
            raise TypeError(f"{verdict!r} is neither NotRun nor MayHaveRun")
