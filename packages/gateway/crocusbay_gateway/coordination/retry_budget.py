"""Retry budget: a limit on hedges and retries (extras) over a sliding window.

When servers shed load, stall or lose responses, unlimited hedges and retries would
double the load. The budget limits extras to a share of the requests, summed over all
hosts.
"""

from collections import deque
from dataclasses import dataclass

from crocusbay_gateway.state import Bounds

BUCKET_SECONDS = 1.0
# Safety factors for what hosts cannot see of each other: unaligned windows, and extras
# that a host sent before it restarted.
RATIO_SAFETY_FACTOR = 0.8
BURST_SAFETY_FACTOR = 0.45
# Burst share of a host that has not yet received the status of other hosts.
INITIAL_BURST_SHARE = 0.1


@dataclass(slots=True)
class _Bucket:
    number: int
    requests: int = 0
    extras: int = 0


class RetryBudget:
    """Limit the extras that this host sends to one service; times are in seconds.

    `burst_share` is this host's share of the burst allowed over all hosts.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.burst_share = INITIAL_BURST_SHARE
        self.bounds = bounds
        self._buckets: deque[_Bucket] = deque()

    def record_request(self, now: float) -> None:
        """Count one request for the service."""
        self._bucket(now).requests += 1

    def try_spend(self, now: float, share: float = 1.0) -> bool:
        """Consume one extra if that uses no more than `share` of the allowance."""
        bucket = self._bucket(now)
        extras = sum(each.extras for each in self._buckets)
        if extras + 1 > share * self.allowance(now):
            return False
        bucket.extras += 1
        return True

    def allowance(self, now: float) -> float:
        """Return the number of extras allowed in the current window."""
        bucket = self._bucket(now)
        oldest = (
            bucket.number - int(self.bounds.retry_budget_window / BUCKET_SECONDS) + 1
        )
        requests = sum(each.requests for each in self._buckets if each.number >= oldest)
        burst = BURST_SAFETY_FACTOR * self.bounds.retry_budget_burst * self.burst_share
        return RATIO_SAFETY_FACTOR * self.bounds.retry_budget_ratio * requests + burst

    def _bucket(self, now: float) -> _Bucket:
        number = int(now / BUCKET_SECONDS)
        oldest = number - int(self.bounds.retry_budget_window / BUCKET_SECONDS)
        while self._buckets and self._buckets[0].number < oldest:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
