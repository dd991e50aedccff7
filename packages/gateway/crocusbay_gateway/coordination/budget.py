"""Budget of extra sub-requests: hedges and retries in a sliding window.

Answers a load in which servers shed, stall or lose answers, so that every request would
be sent twice: extras stay a share of the requests, summed over all hosts.
"""

from collections import deque
from dataclasses import dataclass

from crocusbay_gateway.state import Bounds

BUCKET_SECONDS = 1.0
# Room for what the hosts can't see of each other: clocks of windows that differ, and
# the extras that a host sent before it was started anew.
RATIO_SAFETY = 0.8
BURST_SAFETY = 0.45
# A host that has not heard the others yet takes this part of the burst.
FIRST_SHARE = 0.1


@dataclass(slots=True)
class _Bucket:
    number: int
    requests: int = 0
    extras: int = 0


class ExtraBudget:
    """Bound the extras of one service on this host (seconds).

    `share` is this host's part of the burst that all hosts may send together.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.share = FIRST_SHARE
        self.bounds = bounds
        self._buckets: deque[_Bucket] = deque()

    def note_request(self, now: float) -> None:
        """Count one request for the service."""
        self._bucket(now).requests += 1

    def spend(self, now: float, share: float = 1.0) -> bool:
        """Take one extra if the allowance, or the share of it given, has room."""
        bucket = self._bucket(now)
        extras = sum(each.extras for each in self._buckets)
        if extras + 1 > share * self.allowance(now):
            return False
        bucket.extras += 1
        return True

    def allowance(self, now: float) -> float:
        """Return how many extras may be sent within a window."""
        bucket = self._bucket(now)
        oldest = bucket.number - int(self.bounds.extra_window / BUCKET_SECONDS) + 1
        requests = sum(each.requests for each in self._buckets if each.number >= oldest)
        burst = BURST_SAFETY * self.bounds.extra_burst * self.share
        return RATIO_SAFETY * self.bounds.extra_ratio * requests + burst

    def _bucket(self, now: float) -> _Bucket:
        number = int(now / BUCKET_SECONDS)
        oldest = number - int(self.bounds.extra_window / BUCKET_SECONDS)
        while self._buckets and self._buckets[0].number < oldest:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
