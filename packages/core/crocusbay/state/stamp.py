"""Hybrid logical clock: orders the events of many processes causally."""

import re
import time
from collections.abc import Callable
from dataclasses import dataclass

from crocusbay.state.ranges import Ordinal

# Such numbers, and their successors, fit into messages between hosts.
_STAMP = re.compile(r"([0-9]{1,18})-([0-9]{1,18})")


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Timestamp: wall time in microseconds, then a logical counter."""

    micros: Ordinal
    counter: Ordinal = 0

    def __str__(self) -> str:
        return f"{self.micros}-{self.counter}"


def parse_stamp(text: str) -> Stamp | None:
    """Return the stamp written as ``micros-counter``, or None if it is malformed.

    >>> parse_stamp("1700000000000000-3")
    Stamp(micros=1700000000000000, counter=3)
    >>> parse_stamp("yesterday") is None
    True
    """
    match = _STAMP.fullmatch(text)
    return Stamp(int(match[1]), int(match[2])) if match else None


def _wall_micros() -> int:
    return time.time_ns() // 1000


MAX_CLOCK_SKEW_MICROS = 60_000_000
# More than a clock issues in a minute; leaves room for those that follow.
MAX_COUNTER = 10**12


class HybridClock:
    """Issue stamps greater than every stamp issued or observed."""

    def __init__(self, wall: Callable[[], int] = _wall_micros) -> None:
        self._wall = wall
        self._last = Stamp(0)

    def now(self) -> Stamp:
        """Return a stamp greater than all earlier ones."""
        wall = self._wall()
        if wall > self._last.micros:
            self._last = Stamp(wall)
        else:
            self._last = Stamp(self._last.micros, self._last.counter + 1)
        return self._last

    def observe(self, stamp: Stamp | None) -> None:
        """Advance past a received stamp, unless it is over a minute ahead."""
        if stamp is None or stamp <= self._last:
            return
        if stamp.micros - self._wall() > MAX_CLOCK_SKEW_MICROS:
            return
        if stamp.counter > MAX_COUNTER:
            return
        self._last = stamp
