"""Limit on requests per second that a server in need states in its responses.

The limit is for all hosts together. Each host paces its own sends at its share, so that
the shares of all hosts add up to no more than the limit.
"""

import math
from dataclasses import dataclass

# Share of the limit that hosts divide; the rest is for what they can't see of each
# other yet, such as a load that moves.
USABLE_SHARE = 0.9
# Requests per second to a server that takes none: without any, no host would learn
# that its limit has ended.
MIN_RATE = 0.25
# Time over which an unused share accumulates for a burst.
BURST_SECONDS = 1.5
# Callers that return after this time compete with new ones all the same.
MAX_RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """Describe what a server last stated, and when it did (seconds).

    `rate` is the requests per second that it takes from all hosts together, or None if
    it states no limit.
    """

    rate: float | None
    stated_at: float


def parse_limit(value: bytes) -> float | None:
    """Return the limit in a header (requests per second); raise ValueError if invalid.

    >>> parse_limit(b"12.5")
    12.5
    >>> parse_limit(b"") is None
    True
    """
    if not value:
        return None
    rate = float(value)
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f"limit {value!r} is not a rate")
    return rate


class ServerLimit:
    """Pace the sends of this host to one server; times are in seconds.

    `share` is this host's share of the limit. The first send is due after a fraction of
    the time between two sends, `phase`, so that many hosts don't send at once.
    """

    __slots__ = ("stated", "_share", "_due_at", "_promised_until")

    def __init__(
        self, stated: StatedLimit, share: float, now: float, phase: float = 0.0
    ) -> None:
        self.stated = stated
        self._share = share
        # When the next send is due if all previous ones had been evenly spaced.
        self._due_at = now + self._burst_ahead(0) + phase * self._interval
        self._promised_until = now

    @property
    def is_in_force(self) -> bool:
        """Return whether the server states a limit."""
        return self.stated.rate is not None

    def update(self, stated: StatedLimit, share: float, now: float) -> None:
        """Replace the limit and the share; keep the sends that are still to wait for.

        >>> limit = ServerLimit(StatedLimit(10.0, 0.0), 0.1, 0.0)
        >>> for _ in range(3):
        ...     limit.record_send(0.0)
        >>> round(limit.delay(0.0), 2)
        3.33
        >>> limit.update(StatedLimit(10.0, 0.0), 0.2, 0.0)
        >>> round(limit.delay(0.0), 2)
        0.92
        """
        if self.is_in_force and stated.rate is not None:
            sends_ahead = max(0.0, self._due_at - now) / self._interval
        else:
            sends_ahead = 0.0
        self.stated = stated
        self._share = share
        if self.is_in_force:
            self._due_at = now + sends_ahead * self._interval

    def delay(self, now: float, *, is_urgent: bool = True) -> float:
        """Return the time until a send is allowed.

        Requests that are not urgent leave one send of a burst to those that are.
        """
        if not self.is_in_force:
            return 0.0
        ahead = self._burst_ahead(0 if is_urgent else 1)
        return max(0.0, self._due_at - ahead - now)

    def record_send(self, now: float) -> None:
        """Record that a request is sent to the server."""
        if self.is_in_force:
            self._due_at = max(self._due_at, now) + self._interval

    def reserve_return(self, now: float) -> float:
        """Return the time after which a refused caller may return.

        Callers that are refused one after the other return one after the other.
        """
        if not self.is_in_force:
            return 0.0
        return_at = max(self._promised_until, now + self.delay(now))
        if return_at - now < MAX_RETRY_AFTER_SECONDS:
            self._promised_until = return_at + self._interval
        return min(return_at - now, MAX_RETRY_AFTER_SECONDS)

    def _burst_ahead(self, reserved_sends: int) -> float:
        """Return how long before it is due a send is allowed."""
        return max(0.0, BURST_SECONDS - (1 + reserved_sends) * self._interval)

    @property
    def _interval(self) -> float:
        """Return the time between two sends of this host."""
        rate = max(MIN_RATE, self.stated.rate or 0.0)
        return 1.0 / (USABLE_SHARE * rate * self._share)
