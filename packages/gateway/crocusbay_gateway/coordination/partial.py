"""Policy for when to return a partial answer.

Each server pauses occasionally, so with many shards one is late in most requests. A
partial answer within the latency goal is worth the square of its share of shards, a
complete one after the goal almost nothing.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

from crocusbay_gateway.state import ToShards

# Network time to and from the caller: the request's transit, which had passed before
# the request was read, and that of the reply.
WAY_SECONDS = 0.02


class Decision(Enum):
    """Name the action for the parts received so far."""

    WAIT = auto()
    ANSWER = auto()
    GIVE_UP = auto()


@dataclass(frozen=True, slots=True)
class PartialPolicy:
    """Decide when to answer one request; times are monotonic (seconds)."""

    answer_by: float
    give_up_at: float
    shards: int
    least_parts: int

    def decide(self, now: float, parts: int, pending: int) -> Decision:
        """Return the action with `parts` received and `pending` still possible."""
        is_enough = parts >= self.least_parts
        if pending == 0:
            return Decision.ANSWER if is_enough else Decision.GIVE_UP
        if parts + pending < self.least_parts or now >= self.give_up_at:
            return Decision.ANSWER if is_enough else Decision.GIVE_UP
        if is_enough and now >= self.answer_by:
            return Decision.ANSWER
        return Decision.WAIT

    def next_check(self, now: float, parts: int) -> float:
        """Return when the decision may change without another part (seconds)."""
        if parts >= self.least_parts or now < self.answer_by:
            return min(max(self.answer_by, now), self.give_up_at)
        return self.give_up_at


def least_parts(target: ToShards) -> int:
    """Return the minimum number of parts for a successful answer.

    >>> least_parts(ToShards(("a", "b", "c", "d"), 5, 0.75))
    3
    """
    return max(1, math.ceil(target.least_share * len(target.services) - 1e-9))
