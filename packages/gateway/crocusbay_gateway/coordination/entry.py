"""Entry answers: which hosts a caller is named.

Answers a load in which callers stand in a data centre without servers: a host there
fetches every part across data centres, so callers are named hosts beside the servers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# An answer names two hosts or more where it can, so that a caller has a second.
LEAST_HOSTS = 2
MAX_HOSTS = 64
# A data centre with at least this share of the servers of the fullest one serves its
# own callers.
SERVING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class EntryCandidate:
    """Describe one host that a caller could be named."""

    address: str
    place: str
    load: float = 0.0
    is_ready: bool = True
    is_leaving: bool = False


def serving_places(servers_by_place: Mapping[str, int]) -> frozenset[str]:
    """Return the data centres that hold enough servers to serve callers from."""
    most = max(servers_by_place.values(), default=0)
    return frozenset(
        place
        for place, servers in servers_by_place.items()
        if servers and servers >= SERVING_SHARE * most
    )


def choose_entries(
    candidates: Iterable[EntryCandidate],
    place: str,
    servers_by_place: Mapping[str, int],
) -> tuple[str, ...]:
    """Return the addresses for a caller at a data centre, or none if no host serves."""
    hosts = list(candidates)
    serving = serving_places(servers_by_place)
    ready = [host for host in hosts if host.is_ready and not host.is_leaving]
    beside = [host for host in ready if host.place in serving]
    own = [host for host in beside if host.place == place]
    for choice in (own, beside, ready):
        if len(choice) >= LEAST_HOSTS:
            return _addresses(choice)
    still_serving = [host for host in hosts if host.is_ready]
    return _addresses(ready or still_serving)


def _addresses(hosts: list[EntryCandidate]) -> tuple[str, ...]:
    ordered = sorted(hosts, key=lambda host: host.load)
    return tuple(host.address for host in ordered[:MAX_HOSTS])
