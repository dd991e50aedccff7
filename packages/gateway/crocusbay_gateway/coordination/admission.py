"""Admission control by number of concurrent requests and rank.

In a burst beyond what the processor can serve within the latency goal, each further
request delays all others, so the least urgent requests are rejected first, immediately.
"""

from collections.abc import Callable
from dataclasses import dataclass

# At about 60 ms latency and 5 ms of processor time per request, more requests at once
# than this queue for longer than their answers are worth.
CONCURRENT_REQUESTS_PER_CORE = 60
MIN_CONCURRENT_REQUESTS = 24
# Share of the limit available to each rank; the last applies to all higher ranks.
LIMIT_SHARE_BY_RANK = (1.0, 0.95, 0.85, 0.75)


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Admit requests by the number in progress and the rank of the new request."""

    limit: int

    def admits(self, running: int, rank: int) -> bool:
        """Return whether a request of this rank is admitted.

        >>> AdmissionPolicy(100).admits(90, rank=0)
        True
        >>> AdmissionPolicy(100).admits(90, rank=2)
        False
        """
        share = LIMIT_SHARE_BY_RANK[min(rank, len(LIMIT_SHARE_BY_RANK) - 1)]
        return running < share * self.limit


def make_admission_policy(cores: float) -> AdmissionPolicy:
    """Return the admission policy for a host with the given number of cores."""
    return AdmissionPolicy(
        max(MIN_CONCURRENT_REQUESTS, int(CONCURRENT_REQUESTS_PER_CORE * cores))
    )


class WeightedRoundRobin:
    """Distribute requests over services by smooth weighted round robin.

    No service is ever more than one request away from its share.
    """

    def __init__(self) -> None:
        self._current_weight_by_service: dict[str, float] = {}

    def select(
        self, parts, on_selected: Callable[[str], None] = lambda service: None
    ) -> str:
        """Return the service for the next request."""
        total = sum(part.weight for part in parts)
        current_weights = self._current_weight_by_service
        for stale in current_weights.keys() - {part.service for part in parts}:
            del current_weights[stale]
        for part in parts:
            current_weights[part.service] = (
                current_weights.get(part.service, 0.0) + part.weight
            )
        chosen = max(parts, key=lambda part: current_weights[part.service])
        current_weights[chosen.service] -= total
        on_selected(chosen.service)
        return chosen.service
