"""Admission: how many requests a host serves at once, and whose give way.

Answers a burst: beyond what the processor can gather in time, another request makes
every one late, so that the less urgent are refused first, at once.
"""

from collections.abc import Callable
from dataclasses import dataclass

# Requests in progress for each core: with some 60 ms a request and 5 ms of processor
# time, more than this many queue for longer than they are worth.
REQUESTS_PER_CORE = 60
LEAST_REQUESTS = 24
# Of the limit, the part open to each rank; the last stands for all further ones.
SHARE_BY_RANK = (1.0, 0.95, 0.85, 0.75)


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Decide by the requests in progress and the rank of a new one."""

    limit: int

    def admits(self, running: int, rank: int) -> bool:
        """Return whether a request of this rank may start.

        >>> AdmissionPolicy(100).admits(90, rank=0)
        True
        >>> AdmissionPolicy(100).admits(90, rank=2)
        False
        """
        share = SHARE_BY_RANK[min(rank, len(SHARE_BY_RANK) - 1)]
        return running < share * self.limit


def admission_for(cores: float) -> AdmissionPolicy:
    """Return the policy for a host of so many cores."""
    return AdmissionPolicy(max(LEAST_REQUESTS, int(REQUESTS_PER_CORE * cores)))


class Split:
    """Draw the parts of a split so that each gets its weight at any time.

    Smooth weighted round robin: no part is more than one request away from its share.
    """

    def __init__(self) -> None:
        self._credit_by_service: dict[str, float] = {}

    def draw(self, parts, note: Callable[[str], None] = lambda service: None) -> str:
        """Return the service that the next request goes to."""
        total = sum(part.weight for part in parts)
        credits = self._credit_by_service
        for stale in credits.keys() - {part.service for part in parts}:
            del credits[stale]
        for part in parts:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight
        chosen = max(parts, key=lambda part: credits[part.service])
        credits[chosen.service] -= total
        note(chosen.service)
        return chosen.service
