"""When a gathered answer is good enough.

Answers a load in which each server pauses now and then, so that one of many shards is
late in most requests: a partial answer inside the goal is worth the square of its
share, a whole one after it almost nothing.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

from crocusbay_gateway.state import ToShards

# From a reply's writing to its arrival: the way back, and the way here that had passed
# before the request was read.
WAY_SECONDS = 0.02


class Decision(Enum):
    """Name what to do with the parts that are in."""

    WAIT = auto()
    ANSWER = auto()
    GIVE_UP = auto()


@dataclass(frozen=True, slots=True)
class PartialPolicy:
    """Decide for one request; times are on the monotonic clock (seconds)."""

    answer_by: float
    give_up_at: float
    shards: int
    least_parts: int

    def decide(self, now: float, parts: int, pending: int) -> Decision:
        """Return what to do with `parts` in and `pending` that may still come."""
        is_enough = parts >= self.least_parts
        if pending == 0:
            return Decision.ANSWER if is_enough else Decision.GIVE_UP
        if parts + pending < self.least_parts or now >= self.give_up_at:
            return Decision.ANSWER if is_enough else Decision.GIVE_UP
        if is_enough and now >= self.answer_by:
            return Decision.ANSWER
        return Decision.WAIT

    def next_check(self, now: float, parts: int) -> float:
        """Return when time alone may change the decision."""
        if parts >= self.least_parts or now < self.answer_by:
            return min(max(self.answer_by, now), self.give_up_at)
        return self.give_up_at


def least_parts(target: ToShards) -> int:
    """Return how many parts a success needs.

    >>> least_parts(ToShards(("a", "b", "c", "d"), 5, 0.75))
    3
    """
    return max(1, math.ceil(target.least_share * len(target.services) - 1e-9))
