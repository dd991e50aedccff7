"""Policy for when to reply with a partial answer.

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
CALLER_ROUND_TRIP_SECONDS = 0.02


class Decision(Enum):
    """List the actions of the policy, given the parts received so far."""

    WAIT = auto()
    ANSWER = auto()
    FAIL = auto()


@dataclass(frozen=True, slots=True)
class PartialAnswerPolicy:
    """Decide when to reply to one request; times are monotonic (seconds)."""

    partial_answer_at: float
    give_up_at: float
    shard_count: int
    min_parts: int

    def decide(self, now: float, parts: int, pending: int) -> Decision:
        """Return the action with `parts` received and `pending` still possible."""
        is_enough = parts >= self.min_parts
        if pending == 0:
            return Decision.ANSWER if is_enough else Decision.FAIL
        if parts + pending < self.min_parts or now >= self.give_up_at:
            return Decision.ANSWER if is_enough else Decision.FAIL
        if is_enough and now >= self.partial_answer_at:
            return Decision.ANSWER
        return Decision.WAIT

    def next_check(self, now: float, parts: int) -> float:
        """Return when the decision may change without another part (seconds)."""
        if parts >= self.min_parts or now < self.partial_answer_at:
            return min(max(self.partial_answer_at, now), self.give_up_at)
        return self.give_up_at


def min_parts(target: ToShards) -> int:
    """Return the minimum number of parts for a successful reply.

    >>> min_parts(ToShards(("a", "b", "c", "d"), 5, 0.75))
    3
    """
    return max(1, math.ceil(target.min_shard_share * len(target.services) - 1e-9))
