"""Refusals: what a caller is told when its request is not served, and when to return.

Answers a load in which refused callers would all come back at the same moment: the
times are spread, and grow with what the callers wait for.
"""

import random

from crocusbay.state import Cause, MayHaveRun, NotRun, Verdict
from crocusbay_gateway.state import Reply

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Time until the cause has probably passed, by cause (seconds).
RETURN_SECONDS_BY_CAUSE = {
    Cause.SHED: 0.15,
    Cause.OVERLOAD: 0.25,
    Cause.NO_CONNECTION: 0.15,
    Cause.CONNECT_FAILED: 0.4,
    Cause.NO_UPSTREAM: 0.8,
    Cause.QUARANTINED: 60.0,
    Cause.PLATFORM_UNAVAILABLE: 0.3,
    Cause.DRAINING: 0.02,
}
DEFAULT_RETURN_SECONDS = 0.2
SPREAD = 0.5


def refuse(cause: Cause, left: float | None = None) -> Reply:
    """Return a reply that promises that the request has not run (seconds).

    `left` is the time that the caller still has; it returns within a third of it.
    """
    after = RETURN_SECONDS_BY_CAUSE.get(cause, DEFAULT_RETURN_SECONDS)
    after *= random.uniform(1.0 - SPREAD, 1.0 + SPREAD)
    if left is not None and cause is not Cause.QUARANTINED:
        after = min(after, max(0.01, left / 3))
    return Reply(STATUS_UNAVAILABLE, retry_after=after, outcome=f"not-run {cause}")


def reply_to_failure(verdict: Verdict, left: float) -> Reply:
    """Return the reply for a request that ended without an answer (seconds)."""
    match verdict:
        case NotRun(cause):
            return refuse(cause, left)
        case MayHaveRun(Cause.DEADLINE as cause):
            return Reply(STATUS_GATEWAY_TIMEOUT, outcome=f"may-have-run {cause}")
        case MayHaveRun(cause):
            return Reply(STATUS_BAD_GATEWAY, outcome=f"may-have-run {cause}")
        case _:
            raise TypeError(f"{verdict!r} is not a failure")
