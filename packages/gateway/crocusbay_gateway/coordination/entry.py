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
# What one part costs the host that gathers it: processor time on one core, measured
# with a profile of the gather path, and bytes on the wire with their headers.
PART_SECONDS = 0.00025
PART_BYTES = 1_200
USUAL_PARTS = 100
# The hosts named may be this busy; beyond, requests queue.
MAX_BUSY = 0.6
# Hosts this much slower than the fastest are named only when the others are busy.
SLOWER = 1.5


@dataclass(frozen=True, slots=True)
class EntryCandidate:
    """Describe one host that a caller could be named.

    `load` is in requests a second, `gather_time` in seconds for each.
    """

    address: str
    place: str
    load: float = 0.0
    gather_time: float = 0.0
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
            return _addresses(_enough(choice))
    still_serving = [host for host in hosts if host.is_ready]
    return _addresses(ready or still_serving)


def gather_time(cores: float, link_mbps: float) -> float:
    """Return what a request to a hundred shards takes of a host itself (seconds).

    >>> round(gather_time(2.0, 100.0), 4)
    0.0221
    """
    processing = USUAL_PARTS * PART_SECONDS / max(0.01, cores)
    transfer = USUAL_PARTS * PART_BYTES * 8 / (max(0.01, link_mbps) * 1e6)
    return processing + transfer


def _enough(hosts: list[EntryCandidate]) -> list[EntryCandidate]:
    """Return the fastest hosts, so many that they carry the load of all.

    Few hosts learn more of each server and use their connections again.
    """
    ordered = sorted(hosts, key=lambda host: (host.gather_time, host.address))
    load = sum(host.load for host in hosts)
    fastest = ordered[0].gather_time
    chosen: list[EntryCandidate] = []
    capacity = 0.0
    for host in ordered:
        is_fast = host.gather_time <= SLOWER * fastest
        if len(chosen) >= LEAST_HOSTS and not is_fast and load <= MAX_BUSY * capacity:
            break
        chosen.append(host)
        capacity += 1.0 / max(1e-6, host.gather_time)
    return chosen


def _addresses(hosts: list[EntryCandidate]) -> tuple[str, ...]:
    ordered = sorted(hosts, key=lambda host: host.load)
    return tuple(host.address for host in ordered[:MAX_HOSTS])
