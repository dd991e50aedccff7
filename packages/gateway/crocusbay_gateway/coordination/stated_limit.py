"""Limit on requests per second that a server in need states in its responses."""

import math
from dataclasses import dataclass


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
