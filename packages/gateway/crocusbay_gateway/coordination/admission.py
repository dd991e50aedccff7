"""Admission control by number of concurrent requests and priority.

In a burst beyond what the processor can serve within the latency goal, each further
request delays all others, so the least urgent requests are rejected first, immediately.
"""

from collections.abc import Callable
from dataclasses import dataclass

# At about 60 ms latency and 5 ms of processor time per request, more requests at once
# would queue until their replies are no longer useful.
CONCURRENT_REQUESTS_PER_CORE = 60
MIN_CONCURRENT_REQUESTS = 24
# Share of the limit available to each priority (0 is the highest); the last one
# applies to all lower priorities.
LIMIT_SHARE_BY_PRIORITY = (1.0, 0.95, 0.85, 0.75)


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Admit requests by the number in progress and the priority of the new request."""

    limit: int

    def admits(self, running: int, priority: int) -> bool:
        """Return whether a request of this priority is admitted.

        >>> AdmissionPolicy(100).admits(90, priority=0)
        True
        >>> AdmissionPolicy(100).admits(90, priority=2)
        False
        """
        share = LIMIT_SHARE_BY_PRIORITY[min(priority, len(LIMIT_SHARE_BY_PRIORITY) - 1)]
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
        self,
        weighted_services,
        on_selected: Callable[[str], None] = lambda service: None,
    ) -> str:
        """Return the service for the next request, and pass it to `on_selected`."""
        total_weight = sum(each.weight for each in weighted_services)
        current_weights = self._current_weight_by_service
        for removed in current_weights.keys() - {
            each.service for each in weighted_services
        }:
            del current_weights[removed]
        for each in weighted_services:
            current_weights[each.service] = (
                current_weights.get(each.service, 0.0) + each.weight
            )
        chosen = max(weighted_services, key=lambda each: current_weights[each.service])
        current_weights[chosen.service] -= total_weight
        on_selected(chosen.service)
        return chosen.service
